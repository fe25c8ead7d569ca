#ifndef BORAGEPADDLE_PROXY_WORKER_SIDE_H_
#define BORAGEPADDLE_PROXY_WORKER_SIDE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "boragepaddle/admission/worker_gate.h"
#include "boragepaddle/event/worker_pool.h"
#include "boragepaddle/proxy/dialect.h"
#include "boragepaddle/proxy/node_settings.h"
#include "boragepaddle/proxy/store_state.h"
#include "boragepaddle/schema/messages.h"
#include "boragepaddle/telemetry/event_log.h"

namespace boragepaddle::proxy {

/// The side of a node that stands in front of its worker: admits calls of all
/// nodes, gives them to the worker and answers them.
class WorkerSide {
 public:
  using Reply = std::function<void(schema::HttpAnswer)>;

  WorkerSide(const NodeSettings& settings,
             const HttpDialect& dialect,
             const StoreState& store,
             event::WorkerPool& pool,
             telemetry::EventLog& log);

  /// Returns an id for Cancel. The reply may come before this returns.
  uint64_t Handle(schema::HttpCall call, Reply reply);

  /// The sender no longer waits. Queued calls are dropped, and running ones
  /// are broken off if they may be repeated.
  void Cancel(uint64_t id);

  /// The list of workers changed.
  void OnDirectory();

  void Tick(absl::Time now);

  /// Refuses calls that were queued before a pause of this process: their
  /// senders have acted without them.
  void OnPause();

  /// Takes no new calls.
  void StartLeaving() { this->leaving = true; }

  schema::LoadNotice Notice() const;
  size_t in_flight() const { return this->calls.size(); }

 private:
  struct Call {
    schema::HttpCall message;
    Reply reply;
    absl::Time arrived;
    absl::Time give_up_at;
    bool started = false;
    bool cancelled = false;
  };

  const catalog::WorkerEntry* OwnWorker() const;
  schema::Reason Check(const schema::HttpCall& call) const;
  void Perform(const admission::GateActions& actions, absl::Time now);
  void StartCall(uint64_t id, absl::Time now);
  void OnResult(uint64_t id, event::WorkerResult result);
  void Refuse(uint64_t id, schema::Reason reason);
  void Finish(uint64_t id, schema::HttpAnswer answer);
  event::WorkerRequest MakeRequest(Call& call, absl::Time now) const;
  schema::GateLoad Load() const;
  void LogEnd(const Call& call, const schema::HttpAnswer& answer);

  const NodeSettings& settings;
  const HttpDialect& dialect;
  const StoreState& store;
  event::WorkerPool& pool;
  telemetry::EventLog& log;
  admission::WorkerGate gate;
  absl::flat_hash_map<uint64_t, Call> calls;
  uint64_t next_id = 1;
  bool leaving = false;
};

}  // namespace boragepaddle::proxy

#endif  // BORAGEPADDLE_PROXY_WORKER_SIDE_H_
