#include "boragepaddle/admission/worker_gate.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace boragepaddle::admission {

namespace {

/// Ranks of root requests begin here.
constexpr uint32_t kRootRank = 1000;

/// A nested call continues work that was begun, so it goes first.
uint32_t RankOf(uint32_t priority, bool nested) {
  const uint32_t bounded = std::min(priority, kRootRank - 1);
  return nested ? bounded : kRootRank + bounded;
}

absl::Duration AllowedWait(const GateSettings& settings,
                           const GateCall& call,
                           absl::Time now) {
  if (call.nested) {
    return (call.give_up_at - now) * settings.nested_wait_share;
  }
  const absl::Duration by_objective =
      call.objective == absl::InfiniteDuration()
          ? settings.max_wait
          : call.objective * settings.wait_share;
  const absl::Duration bounded =
      std::clamp(by_objective, settings.min_wait, settings.max_wait);
  return std::min(bounded, call.give_up_at - now);
}

void Start(WorkerGate& gate, uint64_t id, absl::Time now, GateActions& out) {
  gate.running[id] = now;
  out.start.push_back(id);
}

/// Removes the least important, newest queued call.
uint64_t DisplaceLast(WorkerGate& gate) {
  const auto last = std::prev(gate.queue.end());
  const uint64_t id = last->second.call.id;
  gate.queued_keys.erase(id);
  gate.queue.erase(last);
  return id;
}

void StartQueued(WorkerGate& gate, absl::Time now, GateActions& out) {
  while (!gate.queue.empty() && gate.running.size() < GateLimit(gate)) {
    const auto first = gate.queue.begin();
    const uint64_t id = first->second.call.id;
    gate.queued_keys.erase(id);
    gate.queue.erase(first);
    Start(gate, id, now, out);
  }
}

void AddSample(WorkerGate& gate, absl::Duration time) {
  const GateSettings& settings = gate.settings;
  gate.mean_time =
      gate.mean_time * (1 - settings.mean_weight) + time * settings.mean_weight;
  ++gate.pace_samples;
  const double weight = std::max(settings.pace_weight, 1.0 / gate.pace_samples);
  gate.pace = gate.pace * (1 - weight) + time * weight;
}

/// Calls of the same or a more important rank that wait.
size_t QueuedBefore(const WorkerGate& gate, uint32_t rank) {
  if (gate.queue.empty()) {
    return 0;
  }
  const auto end = gate.queue.lower_bound(WorkerGate::Key{rank + 1, 0});
  return static_cast<size_t>(std::distance(gate.queue.begin(), end));
}

}  // namespace

WorkerGate MakeWorkerGate(const GateSettings& settings) {
  WorkerGate gate;
  gate.settings = settings;
  gate.mean_time = settings.initial_mean;
  return gate;
}

uint32_t GateLimit(const WorkerGate& gate) {
  if (gate.slots == 0) {
    return 0;
  }
  const double usable = std::floor(gate.slots * gate.settings.slot_share);
  return std::max<uint32_t>(1, static_cast<uint32_t>(usable));
}

absl::Duration ExpectedWait(const WorkerGate& gate,
                            uint32_t priority,
                            bool nested) {
  const uint32_t limit = GateLimit(gate);
  if (limit == 0) {
    return absl::InfiniteDuration();
  }
  if (gate.running.size() < limit) {
    return absl::ZeroDuration();
  }
  const size_t ahead = QueuedBefore(gate, RankOf(priority, nested)) + 1;
  return gate.mean_time * (static_cast<double>(ahead) / limit);
}

GateActions OnGateArrival(WorkerGate& gate,
                          const GateCall& call,
                          absl::Time now) {
  GateActions out;
  if (gate.running.size() < GateLimit(gate)) {
    Start(gate, call.id, now, out);
    return out;
  }
  const absl::Duration allowed = AllowedWait(gate.settings, call, now);
  if (ExpectedWait(gate, call.priority, call.nested) > allowed) {
    out.refuse.push_back(call.id);
    return out;
  }
  const WorkerGate::Key key{RankOf(call.priority, call.nested),
                            gate.next_sequence++};
  gate.queue[key] = {call, now + allowed};
  gate.queued_keys[call.id] = key;
  // A call that the arrival pushed beyond its own allowance is refused now
  // rather than when its time is up.
  const auto last = std::prev(gate.queue.end());
  const absl::Duration last_wait =
      gate.mean_time *
      (static_cast<double>(gate.queue.size()) / GateLimit(gate));
  if (last->second.call.id != call.id &&
      now + last_wait > last->second.refuse_at + allowed) {
    out.refuse.push_back(DisplaceLast(gate));
  }
  return out;
}

GateActions OnGateFinished(WorkerGate& gate,
                           uint64_t id,
                           bool completed,
                           absl::Time now) {
  GateActions out;
  const auto found = gate.running.find(id);
  if (found != gate.running.end()) {
    if (completed) {
      AddSample(gate, now - found->second);
    }
    gate.running.erase(found);
  }
  StartQueued(gate, now, out);
  return out;
}

bool OnGateCancel(WorkerGate& gate, uint64_t id) {
  const auto found = gate.queued_keys.find(id);
  if (found == gate.queued_keys.end()) {
    return false;
  }
  gate.queue.erase(found->second);
  gate.queued_keys.erase(found);
  return true;
}

GateActions OnGateTick(WorkerGate& gate, absl::Time now) {
  GateActions out;
  for (auto entry = gate.queue.begin(); entry != gate.queue.end();) {
    if (entry->second.refuse_at > now) {
      ++entry;
      continue;
    }
    out.refuse.push_back(entry->second.call.id);
    gate.queued_keys.erase(entry->second.call.id);
    entry = gate.queue.erase(entry);
  }
  StartQueued(gate, now, out);
  return out;
}

std::vector<uint64_t> RefuseQueued(WorkerGate& gate) {
  std::vector<uint64_t> ids;
  for (const auto& [key, waiting] : gate.queue) {
    ids.push_back(waiting.call.id);
  }
  gate.queue.clear();
  gate.queued_keys.clear();
  return ids;
}

}  // namespace boragepaddle::admission
