#ifndef BORAGEPADDLE_EVENT_WORKER_CONNECTION_H_
#define BORAGEPADDLE_EVENT_WORKER_CONNECTION_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/optional/optional.hpp>
#include <memory>
#include <string>

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "boragepaddle/event/worker_connection_pool.h"

namespace boragepaddle::event {

/// One HTTP connection to the local worker.
class WorkerConnection : public std::enable_shared_from_this<WorkerConnection> {
 public:
  WorkerConnection(WorkerConnectionPool& pool, const Tcp::endpoint& worker);

  /// Sends a request. The connection must be new or idle.
  void Run(uint64_t id, WorkerRequest request, WorkerConnectionPool::Done done);
  /// Cancels the request in progress and closes the connection.
  void Cancel();
  /// Ends the request in progress with kInvalidResponse and closes the
  /// connection.
  void AbortResponse();
  /// Closes the connection without reporting a result. Callers outside the
  /// class may use it only while the connection is idle.
  void Close();
  /// Closes the idle connection when the worker closes it or sends data.
  void WatchIdle();

  uint64_t id() const { return this->call_id; }
  uint64_t buffered_bytes() const { return this->buffered; }
  const Tcp::endpoint& worker() const { return this->endpoint; }
  /// Time at which the connection was established; infinite future before that.
  absl::Time connected_at() const { return this->opened_at; }
  /// True if a request with the id was sent on the connection before.
  bool HasSent(absl::string_view request_id) const;
  /// Time from which the idle connection must not be reused.
  absl::Time usable_until() const { return this->reuse_until; }

 private:
  using Request =
      boost::beast::http::request<boost::beast::http::span_body<const char>>;
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  enum class BodyEnd : uint8_t { kComplete, kTruncated, kUndecided };

  void Connect();
  void Write();
  void Read();
  void ReadSome();
  /// Reports the number of buffered response bytes to the pool, and reserves
  /// the memory. May end the request.
  void UpdateBufferedBytes();
  /// Frees the request body once it is written.
  void ReleaseRequestBody();
  void OnRead(const boost::system::error_code& error);
  /// Whether the end of the stream may be the end of the response.
  BodyEnd CheckBodyEnd() const;
  void OnAnswer();
  void Finish(WorkerResult result, bool reusable);
  void RememberRequest();

  WorkerConnectionPool& pool;
  const Tcp::endpoint endpoint;
  Tcp::socket socket;
  boost::beast::flat_buffer buffer;
  boost::optional<Request> request;
  /// Body of the request; only one of them is used.
  std::string request_body;
  SharedBody shared_request_body;
  boost::optional<Parser> parser;
  WorkerConnectionPool::Done done;
  uint64_t call_id = 0;
  std::string request_id;
  /// Ids of the last requests that were sent on this connection, and of those
  /// before them.
  absl::flat_hash_set<std::string> recent_request_ids;
  absl::flat_hash_set<std::string> older_request_ids;
  absl::Time opened_at = absl::InfiniteFuture();
  bool connected = false;
  bool sending = false;
  bool sent_any = false;
  bool written = false;
  /// The stream ended behind a response without a length while the request was
  /// being sent; the end of that write decides whether the response is whole.
  bool ended_while_sending = false;
  bool closed = false;
  bool is_idle = false;
  uint32_t skipped_responses = 0;
  uint32_t interim_responses = 0;
  /// Bytes of the incomplete response, as last reported to the pool.
  uint64_t buffered = 0;
  /// Memory of the response.
  MemoryReservation reservation;
  absl::Time reuse_until;
};

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_WORKER_CONNECTION_H_
