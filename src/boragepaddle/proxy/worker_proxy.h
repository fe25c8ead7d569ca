#ifndef BORAGEPADDLE_PROXY_WORKER_PROXY_H_
#define BORAGEPADDLE_PROXY_WORKER_PROXY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "boragepaddle/admission/admission_rate.h"
#include "boragepaddle/admission/worker_limiter.h"
#include "boragepaddle/event/worker_connection_pool.h"
#include "boragepaddle/proxy/dialect.h"
#include "boragepaddle/proxy/node_settings.h"
#include "boragepaddle/proxy/store_state.h"
#include "boragepaddle/schema/messages.h"
#include "boragepaddle/telemetry/event_log.h"
#include "boragepaddle/telemetry/request_metrics.h"

namespace boragepaddle::proxy {

/// What a running request hands on to the calls that it makes.
struct ParentCall {
  uint32_t priority = 0;
  bool repeat = false;
  bool wants_use = false;
  absl::Time deadline;
};

/// The side of a node that stands in front of its worker: admits calls of all
/// nodes, gives them to the worker and answers them.
class WorkerProxy {
 public:
  using Reply = std::function<void(schema::HttpAnswer)>;

  WorkerProxy(const NodeSettings& settings,
              const HttpDialect& dialect,
              const StoreState& store,
              event::WorkerConnectionPool& pool,
              telemetry::EventLog& log,
              telemetry::RequestMetrics& metrics);

  /// Returns an id for Cancel. The reply may come before this returns.
  uint64_t Handle(schema::HttpCall call, Reply reply);

  /// The sender no longer waits. Queued calls are dropped, and running ones
  /// are broken off if they may be repeated.
  void Cancel(uint64_t id);

  /// The list of workers changed.
  void OnDirectoryChanged();

  void Tick(absl::Time now);

  /// Refuses calls that were queued before a pause of this process: their
  /// senders have acted without them.
  void OnProcessPause();

  /// Asks the other nodes to send calls elsewhere; calls that still come are
  /// taken.
  void StartDraining() { this->draining = true; }
  /// Refuses new calls.
  void StopAccepting() { this->refuses_calls = true; }

  /// The request if it runs at the worker.
  absl::optional<ParentCall> FindRunning(absl::string_view request_id) const;

  /// A call that a running request made had no success.
  void RecordNestedFailure(absl::string_view request_id);

  /// A call that a running request made told what it used.
  void AddNestedUse(absl::string_view request_id,
                    absl::Span<const schema::ServiceUse> use);

  schema::LoadNotice MakeLoadNotice() const;
  void LogLoad();
  /// The worker is near its limit, so that its grant matters.
  bool IsNearLimit() const {
    return this->grant.load >= this->grant.settings.idle_load;
  }
  size_t in_flight() const { return this->calls.size(); }
  absl::Duration mean_call_time() const { return this->gate.mean_time; }

 private:
  struct Call {
    schema::HttpCall message;
    Reply reply;
    absl::Time arrived;
    absl::Time started_at;
    absl::Time deadline;
    /// Of the calls that the request made.
    std::vector<schema::ServiceUse> nested_use;
    bool nested_failed = false;
    bool started = false;
    bool cancelled = false;
  };

  const catalog::WorkerEntry* LocalWorker() const;
  schema::Reason CheckCall(const schema::HttpCall& call) const;
  void ApplyDecisions(const admission::SlotDecisions& actions, absl::Time now);
  void StartCall(uint64_t id, absl::Time now);
  void OnResult(uint64_t id, event::WorkerResult result);
  void AttachUse(uint64_t id, schema::HttpAnswer& answer, absl::Time now);
  void Refuse(uint64_t id, schema::Reason reason);
  void Finish(uint64_t id, schema::HttpAnswer answer);
  event::WorkerRequest MakeRequest(Call& call, absl::Time now) const;
  schema::GateLoad CurrentLoad() const;
  void LogAnswer(const Call& call, const schema::HttpAnswer& answer);

  const NodeSettings& settings;
  const HttpDialect& dialect;
  const StoreState& store;
  event::WorkerConnectionPool& pool;
  telemetry::EventLog& log;
  telemetry::RequestMetrics& metrics;
  admission::WorkerLimiter gate;
  admission::AdmissionRateController grant;
  admission::AdmissionRateInput grant_input;
  absl::flat_hash_map<uint64_t, Call> calls;
  /// Started calls by request id.
  absl::flat_hash_map<std::string, uint64_t> running;
  uint64_t next_id = 1;
  bool draining = false;
  bool refuses_calls = false;
};

}  // namespace boragepaddle::proxy

#endif  // BORAGEPADDLE_PROXY_WORKER_PROXY_H_
