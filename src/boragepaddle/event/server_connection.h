#ifndef BORAGEPADDLE_EVENT_SERVER_CONNECTION_H_
#define BORAGEPADDLE_EVENT_SERVER_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "boragepaddle/event/http_exchange.h"
#include "boragepaddle/event/http_server.h"
#include "boragepaddle/event/memory_budget.h"
#include "boragepaddle/event/request_reader.h"
#include "boragepaddle/event/response_writer.h"
#include "boragepaddle/event/socket_options.h"

namespace boragepaddle::event {

/// One client connection. Reads requests, passes them to the server's handler,
/// and writes the responses in the order of the requests. Holds no memory for
/// input while the client sends nothing.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(HttpServer& server, Tcp::socket socket);

  void Start();
  /// Closes the connection if no request is in progress.
  void CloseIfIdle();
  /// Enforces the timeouts.
  void Tick(absl::Time now);
  /// True if a request is being read or answered.
  bool busy() const;

  /// Time from which on the connection may be ended to free memory, because its
  /// client has stalled; infinite future if it holds none.
  absl::Time evictable_at() const;
  /// Ends what the client has stalled: refuses the incomplete request, or
  /// closes the connection if the response is not being read.
  void EndStalled();

  /// Closes the connection at the end of the server. Responses that come later
  /// have no effect.
  void Detach();

 private:
  friend class ConnectionExchange;

  /// A request that was passed to the handler, or refused, and whose response
  /// has not been written.
  struct PendingResponse {
    uint64_t number = 0;
    bool keep_alive = false;
    bool is_head = false;
    std::function<void()> on_client_disconnect;
    /// Empty while the request runs.
    absl::optional<HttpReply> reply;
    MemoryReservation memory;
  };

  bool MayRead() const;
  /// True if no request is running.
  bool all_answered() const;
  /// Bytes that are held for the request that is being read.
  uint64_t held_bytes() const {
    return this->reader.held_bytes() + this->unparsed_memory.bytes();
  }
  void WaitForInput();
  void OnInput();
  void ReadSocket();
  void ParseInput(absl::string_view received);
  void ParseRequests(absl::string_view& input);
  /// False if there is no memory for the input.
  bool KeepUnparsed(absl::string_view input);
  void SendContinue();
  void OnRequest(ReceivedRequest received);
  void Dispatch(ReceivedRequest received);
  /// Goes on after a response was written.
  void ResumeReading();

  PendingResponse* FindPending(uint64_t number);
  void Answer(uint64_t number, HttpReply reply);
  void RefuseRequest(uint32_t status, absl::string_view why);
  /// Cancels the requests behind the one with the number, which closes the
  /// connection.
  void CancelBehind(uint64_t number);
  void StopReading();
  void WriteNext();
  void OnWritten(const boost::system::error_code& error);

  void OnClientClosed();
  /// Cancels all requests and closes the connection.
  void Abort();
  void Linger();
  void DiscardInput();
  void Close();

  HttpServer& server;
  Tcp::socket socket;
  RequestReader reader;
  ResponseWriter writer;
  /// Input that could not be parsed yet.
  std::string unparsed;
  MemoryReservation unparsed_memory;
  /// A complete request that waits until it is the first.
  absl::optional<ReceivedRequest> held;
  /// In the order of the requests.
  std::vector<PendingResponse> responses;
  uint64_t last_number = 0;
  bool waiting_for_input = false;
  /// Input is left in the socket, so that a close behind it ends no wait.
  bool leaves_input_unread = false;
  bool parsing = false;
  bool continue_sent = false;
  /// No further request is read.
  bool reading_ended = false;
  /// The response that is being written is the last one.
  bool closes_after_write = false;
  bool lingering = false;
  bool closed = false;
  absl::Time idle_since;
  /// Time at which the first byte of an incomplete head was read.
  absl::Time head_since = absl::InfiniteFuture();
  /// Time since which the client has sent less of a request than counts as
  /// progress.
  absl::Time stalled_since;
  size_t bytes_since_stall = 0;
  absl::Time lingering_since;
};

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_SERVER_CONNECTION_H_
