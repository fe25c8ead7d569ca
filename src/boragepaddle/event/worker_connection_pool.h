#ifndef BORAGEPADDLE_EVENT_WORKER_CONNECTION_POOL_H_
#define BORAGEPADDLE_EVENT_WORKER_CONNECTION_POOL_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "boragepaddle/event/http_exchange.h"
#include "boragepaddle/event/socket_options.h"

namespace boragepaddle::event {

/// Field names by which an answer is recognized.
struct WorkerFieldNames {
  /// Echoed by the worker; names the request.
  std::string request_id;
  /// Present if the worker did not run the request.
  std::string not_run;
};

/// A request for the worker.
struct WorkerRequest {
  std::string request_id;
  std::string method;
  std::string target;
  std::string host;
  std::vector<schema::HttpField> fields;
  std::string body;
};

/// How a request to the worker ended.
enum class WorkerOutcome : uint8_t {
  /// A whole answer that belongs to the request.
  kAnswered,
  /// The worker says that it did not run the request.
  kNotRun,
  /// No byte of the request was sent.
  kNotSent,
  /// Sent; no whole answer came back.
  kConnectionLost,
  /// Sent; what came back was not a valid answer to this request.
  kInvalidResponse,
  /// Sent; cancelled by the caller of the pool.
  kCancelled,
};

struct WorkerResult {
  WorkerOutcome outcome = WorkerOutcome::kConnectionLost;
  uint32_t status = 0;
  std::vector<schema::HttpField> fields;
  std::string body;
};

class WorkerConnection;

/// Connections to the local worker, one request at a time on each.
class WorkerConnectionPool {
 public:
  using Done = std::function<void(WorkerResult)>;

  WorkerConnectionPool(boost::asio::io_context& loop,
                       const WorkerFieldNames& names);
  ~WorkerConnectionPool();

  /// The worker's address. Idle connections to another address are closed.
  void SetWorker(const Tcp::endpoint& endpoint);

  /// Bound on the bytes of unfinished answers over all connections.
  void SetMaxBufferedBytes(uint64_t bytes) { this->max_buffered_bytes = bytes; }

  /// Sends the request and calls `done` once, never from within Send.
  void Send(uint64_t id, WorkerRequest request, Done done);

  /// Breaks off a request: closes its connection. `done` gets kCancelled, or
  /// kNotSent if no byte was sent.
  void Cancel(uint64_t id);

  /// Closes idle connections that the worker may be about to close.
  void Tick(absl::Time now);

  size_t idle_connections() const { return this->idle.size(); }
  uint64_t opened() const { return this->opened_count; }

 private:
  friend class WorkerConnection;

  void Dispatch(uint64_t id, WorkerRequest request, Done done);
  void Release(const std::shared_ptr<WorkerConnection>& connection);
  void Remove(const std::shared_ptr<WorkerConnection>& connection);
  /// A connection holds `now` instead of `before` bytes of an answer. Gives up
  /// the largest answer if all together are too large.
  void OnBufferedBytesChanged(uint64_t before, uint64_t now);

  boost::asio::io_context& loop;
  const WorkerFieldNames names;
  Tcp::endpoint worker;
  /// Most recently used last.
  std::vector<std::shared_ptr<WorkerConnection>> idle;
  absl::flat_hash_map<uint64_t, std::shared_ptr<WorkerConnection>> busy;
  uint64_t opened_count = 0;
  uint64_t buffered_bytes = 0;
  uint64_t max_buffered_bytes = 64u << 20;
};

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_WORKER_CONNECTION_POOL_H_
