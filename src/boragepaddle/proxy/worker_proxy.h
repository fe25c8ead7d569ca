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
#include "boragepaddle/admission/call_times.h"
#include "boragepaddle/admission/recent_maximum.h"
#include "boragepaddle/admission/worker_limiter.h"
#include "boragepaddle/event/worker_connection_pool.h"
#include "boragepaddle/proxy/capacity_refusal.h"
#include "boragepaddle/proxy/dialect.h"
#include "boragepaddle/proxy/node_settings.h"
#include "boragepaddle/proxy/request_quarantine.h"
#include "boragepaddle/proxy/shutdown_state.h"
#include "boragepaddle/proxy/store_state.h"
#include "boragepaddle/quarantine/crash_detector.h"
#include "boragepaddle/schema/messages.h"
#include "boragepaddle/telemetry/event_log.h"
#include "boragepaddle/telemetry/request_metrics.h"

namespace boragepaddle::proxy {

/// Rates and shares in messages are in thousandths.
inline constexpr double kRateUnit = 1000;

/// Properties that nested calls inherit from a running request.
struct ParentCall {
  uint32_t priority = 0;
  std::string account;
  bool repeat = false;
  bool wants_use = false;
  absl::Time deadline;
};

/// Proxy in front of the local worker: admits calls of all nodes, sends them to
/// the worker and returns the answers.
class WorkerProxy {
 public:
  /// The reservation is that of the answer's body if it is large.
  using Reply =
      std::function<void(schema::HttpAnswer, event::MemoryReservation)>;

  WorkerProxy(const NodeSettings& settings,
              const HttpDialect& dialect,
              StoreState& store,
              const ShutdownState& shutdown,
              event::WorkerConnectionPool& pool,
              telemetry::EventLog& log,
              telemetry::RequestMetrics& metrics,
              RequestQuarantine& quarantine);

  /// Returns an id for Cancel. The reply may be invoked before this returns.
  /// `body` replaces the body of the message unless it is null.
  uint64_t Handle(schema::HttpCall call, event::SharedBody body, Reply reply);

  /// The sender no longer waits. Queued calls are dropped; running ones are
  /// aborted if they are idempotent or past their deadline.
  void Cancel(uint64_t id);

  /// The list of workers changed.
  void OnDirectoryChanged();

  void Tick(absl::Time now);

  /// Refuses calls that were queued before a pause of this process: their
  /// senders have retried elsewhere or given up.
  void OnProcessPause();

  /// Reports to other nodes that no more calls are wanted; calls that still
  /// arrive are accepted.
  void StartDraining() { this->draining = true; }

  /// Returns the request if it is running at the worker.
  absl::optional<ParentCall> FindRunning(absl::string_view request_id) const;

  /// A nested call of a running request failed; `refusal` is the refusal of
  /// that call or of a call nested in it.
  void RecordNestedFailure(absl::string_view request_id,
                           const CapacityRefusal& refusal);

  /// A nested call of a running request reported the capacity that it used.
  void AddNestedUse(absl::string_view request_id,
                    absl::Span<const schema::ServiceUse> use);

  schema::LoadNotice MakeLoadNotice() const;
  void LogLoad();
  /// Sets the gauges about the speed of the worker's machine.
  void SetSpeedGauges();
  /// True if the worker is near its limit, so that other nodes need its
  /// admission rate.
  bool IsNearLimit() const {
    return this->admission_rate.load >= this->admission_rate.settings.idle_load;
  }
  /// Queued calls dropped for calls of accounts with fewer queued calls.
  uint64_t account_evictions() const { return this->limiter.account_evictions; }
  size_t in_flight() const { return this->calls.size(); }
  absl::Duration mean_call_time() const { return this->limiter.mean_time; }
  /// Time of the longest recent call.
  absl::Duration LongestCallTime(absl::Time now) const {
    return admission::Get(this->call_times, now);
  }

 private:
  struct Call {
    schema::HttpCall message;
    event::SharedBody body;
    /// Identifies the request in all its attempts.
    uint64_t fingerprint = 0;
    /// Name of its route; empty if this node does not know it.
    std::string route;
    Reply reply;
    absl::Time arrived;
    absl::Time started_at;
    absl::Time deadline;
    /// Capacity used by the nested calls of the request.
    std::vector<schema::ServiceUse> nested_use;
    bool nested_failed = false;
    /// Last refusal for lack of capacity among the nested calls.
    CapacityRefusal refusal;
    /// Dropped from the queue for a call of an account with fewer queued calls.
    bool over_fair_share = false;
    bool started = false;
    bool cancelled = false;
    /// How the call ended at the worker; none if it did not get there.
    absl::optional<event::WorkerOutcome> worker_outcome;
  };

  const catalog::WorkerEntry* LocalWorker() const;
  /// Name of the route of the call; empty without one.
  std::string RouteOf(const schema::HttpCall& call) const;
  /// True if the process stops and is expected to end before the call does.
  bool OutlastsProcess(const Call& call, absl::Time now) const;
  schema::Reason CheckCall(const Call& call, absl::Time now) const;
  /// Advances a due check for a crash of the worker.
  void TickCrashCheck(absl::Time now);
  /// Keeps a connection to the worker for a while if there is no other one, so
  /// that its end after an unanswered call is noticed.
  void WatchWorker();
  /// Ends the check; reports a crash to the other nodes.
  void EndCrashCheck(quarantine::WorkerSign sign);
  void ApplyDecisions(const admission::SlotDecisions& actions, absl::Time now);
  void StartCall(uint64_t id, absl::Time now);
  void OnResult(uint64_t id, event::WorkerResult result);
  /// Applies what the worker asks for in the fields of an answer.
  void ApplyWorkerFields(const Call& call,
                         const event::WorkerResult& result,
                         absl::Time now);
  void SetRateLimit(uint32_t rate_limit, absl::Time now);
  /// Records the load figures of an answer; invalid ones are counted.
  void RecordWorkerLoad(absl::string_view figures, absl::Time now);
  /// Records the time of a call that ended at the worker.
  void RecordCallTime(const Call& call,
                      const event::WorkerResult& result,
                      absl::Time now);
  /// Notices a new start of the worker, which may follow a crash.
  void RecordWorkerStart(const catalog::WorkerEntry& worker);
  /// Updates what is known of crashes by the end of a call at the worker.
  void RecordCallEnd(uint64_t fingerprint,
                     event::WorkerOutcome outcome,
                     absl::Time now);
  void AttachUse(uint64_t id, schema::HttpAnswer& answer, absl::Time now);
  void Refuse(uint64_t id, schema::Reason reason);
  void Finish(uint64_t id,
              schema::HttpAnswer answer,
              event::MemoryReservation reservation);
  event::WorkerRequest MakeRequest(Call& call, absl::Time now) const;
  schema::GateLoad CurrentLoad() const;
  void LogAnswer(const Call& call, const schema::HttpAnswer& answer);
  void LogCrashNotConfirmed(quarantine::WorkerSign sign);

  const NodeSettings& settings;
  const HttpDialect& dialect;
  StoreState& store;
  const ShutdownState& shutdown;
  event::WorkerConnectionPool& pool;
  telemetry::EventLog& log;
  telemetry::RequestMetrics& metrics;
  RequestQuarantine& quarantine;
  quarantine::CrashDetector crash_detector;
  bool is_watching_worker = false;
  /// Start that the worker last registered; 0 before the first.
  int64_t worker_started_ms = 0;
  admission::WorkerLimiter limiter;
  admission::RecentMaximum call_times;
  /// Times from arrival to answer, by route.
  admission::CallTimes route_times;
  /// Instance that the rate limit belongs to, and whether the worker has
  /// answered this process.
  std::string rate_limited_instance;
  bool has_answered = false;
  /// As in GateLoad.
  uint32_t rate_limit = 0;
  /// Answers with invalid load figures.
  uint64_t invalid_load_figures = 0;
  admission::AdmissionRateController admission_rate;
  admission::AdmissionRateInput admission_rate_input;
  absl::flat_hash_map<uint64_t, Call> calls;
  /// Started calls by request id.
  absl::flat_hash_map<std::string, uint64_t> running;
  uint64_t next_id = 1;
  bool draining = false;
};

}  // namespace boragepaddle::proxy

#endif  // BORAGEPADDLE_PROXY_WORKER_PROXY_H_
