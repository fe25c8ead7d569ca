#ifndef BORAGEPADDLE_EVENT_WORKER_CONNECTION_POOL_H_
#define BORAGEPADDLE_EVENT_WORKER_CONNECTION_POOL_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/event/accept_probe.h"
#include "boragepaddle/event/http_exchange.h"
#include "boragepaddle/event/memory_budget.h"
#include "boragepaddle/event/shared_body.h"
#include "boragepaddle/event/socket_options.h"

namespace boragepaddle::event {

/// Names of the header fields that are interpreted in responses.
struct WorkerFieldNames {
  /// Request id, which the worker echoes.
  std::string request_id;
  /// Present if the worker did not execute the request.
  std::string not_run;
};

/// A request to the worker.
struct WorkerRequest {
  std::string request_id;
  std::string method;
  std::string target;
  std::string host;
  std::vector<schema::HttpField> fields;
  std::string body;
  /// Replaces `body` unless it is null.
  SharedBody shared_body;
};

/// How a request to the worker ended.
enum class WorkerOutcome : uint8_t {
  /// A complete response to this request was received.
  kAnswered,
  /// The worker reported that it did not execute the request.
  kNotRun,
  /// Nothing of the request was sent.
  kNotSent,
  /// Sent, but the connection ended before a complete response.
  kConnectionLost,
  /// Sent, but the response is malformed, encoded, too large or not to this
  /// request.
  kInvalidResponse,
  /// Sent, but the response does not fit into the memory budget.
  kNoMemory,
  /// Sent, then cancelled by the caller of the pool.
  kCancelled,
};

/// Name in logs.
absl::string_view ToString(WorkerOutcome outcome);

struct WorkerResult {
  WorkerOutcome outcome = WorkerOutcome::kConnectionLost;
  uint32_t status = 0;
  std::vector<schema::HttpField> fields;
  std::string body;
  /// Memory of a body above kMaxWholeBodyBytes.
  MemoryReservation reservation;
};

class WorkerConnection;

/// Pool of HTTP connections to the local worker. Each connection carries one
/// request at a time.
class WorkerConnectionPool {
 public:
  using Done = std::function<void(WorkerResult)>;

  WorkerConnectionPool(boost::asio::io_context& loop,
                       const WorkerFieldNames& names,
                       MemoryBudget& memory);
  ~WorkerConnectionPool();

  /// Sets the worker's address and closes idle connections to the previous one.
  void SetWorker(const Tcp::endpoint& endpoint);

  /// Limits the total bytes of incomplete responses over all connections.
  void SetMaxBufferedBytes(uint64_t bytes) { this->max_buffered_bytes = bytes; }

  /// Sends the request. Calls `done` once, never from within Send.
  void Send(uint64_t id, WorkerRequest request, Done done);

  /// Cancels a request and closes its connection. `done` gets kCancelled, or
  /// kNotSent if nothing was sent.
  void Cancel(uint64_t id);

  /// Closes idle connections that are about to reach the worker's idle timeout.
  void Tick(absl::Time now);

  /// Called when the worker closes an idle connection.
  void SetOnIdleClosed(std::function<void()> on_idle_closed) {
    this->on_idle_closed = std::move(on_idle_closed);
  }

  /// Opens a connection to the worker and closes it after a while. `done` is
  /// never called from within Probe.
  void Probe(const ProbeSettings& settings,
             std::function<void(ProbeResult)> done);

  /// True if a connection that was established before the time is still open.
  bool HasConnectionFrom(absl::Time before) const;

  bool HasConnections() const {
    return !this->idle.empty() || !this->busy.empty();
  }
  size_t idle_connections() const { return this->idle.size(); }
  uint64_t opened() const { return this->opened_count; }

 private:
  friend class WorkerConnection;

  void Dispatch(uint64_t id, WorkerRequest request, Done done);
  void Release(const std::shared_ptr<WorkerConnection>& connection);
  void Remove(const std::shared_ptr<WorkerConnection>& connection);
  /// Updates the total after a connection's buffered bytes changed. If the
  /// total exceeds the limit, aborts the largest response.
  void OnBufferedBytesChanged(uint64_t before, uint64_t now);

  boost::asio::io_context& loop;
  const WorkerFieldNames names;
  MemoryBudget& memory;
  Tcp::endpoint worker;
  std::function<void()> on_idle_closed;
  /// The most recently used connection is last.
  std::vector<std::shared_ptr<WorkerConnection>> idle;
  absl::flat_hash_map<uint64_t, std::shared_ptr<WorkerConnection>> busy;
  uint64_t opened_count = 0;
  uint64_t buffered_bytes = 0;
  uint64_t max_buffered_bytes = 64u << 20;
};

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_WORKER_CONNECTION_POOL_H_
