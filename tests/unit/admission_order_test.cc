#include <doctest/doctest.h>

#include <map>
#include <random>
#include <string>
#include <variant>

#include "absl/strings/str_cat.h"
#include "boragepaddle/admission/admission.h"

namespace boragepaddle::admission {
namespace {

constexpr uint32_t kSlots = 8;
constexpr absl::Duration kStep = absl::Milliseconds(1);

/// Result of an open-loop load on one worker: 8 slots with 40 ms per call serve
/// 200 calls/s.
struct LoadResult {
  int in_time = 0;
  int late = 0;
  int shed = 0;
  int nested_shed = 0;
};

struct LoadSettings {
  QueueOrder order = QueueOrder::kAdaptive;
  /// Arrivals per second.
  double rate = 400;
  /// Deadlines are uniformly distributed up to twice this.
  absl::Duration deadline = absl::Milliseconds(120);
  /// Share of nested calls, in percent.
  uint32_t nested_percent = 0;
  bool send_depth = true;
};

class Load {
 public:
  explicit Load(const LoadSettings& settings) : settings(settings) {
    AdmissionSettings queues;
    queues.order = settings.order;
    queues.max_queue = 64;
    this->state = MakeAdmission(queues);
  }

  LoadResult Run() {
    const double chance = this->settings.rate / 1000.0;
    for (int step = 0; step < 10000; ++step) {
      this->now += kStep;
      this->Finish();
      for (double left = chance; left > 0; left -= 1.0) {
        if (static_cast<double>(this->random() % 1000) < left * 1000) {
          this->Arrive();
        }
      }
      if (step % 10 == 0) {
        this->Handle(OnTick(this->state, kSlots, this->now));
      }
    }
    return this->result;
  }

 private:
  void Arrive() {
    AdmissionCall call;
    call.id = this->next_id++;
    this->nested[call.id] =
        this->random() % 100 < this->settings.nested_percent;
    call.depth = this->settings.send_depth && this->nested[call.id] ? 1 : 0;
    call.arrived = this->now;
    const auto percent = static_cast<int64_t>(this->random() % 200);
    call.deadline = this->now + absl::Milliseconds(45) +
                    this->settings.deadline * percent / 100;
    call.min_service = absl::Milliseconds(40);
    // The queue target is high enough that only the order decides.
    call.queue_target = absl::Seconds(1);
    this->deadlines[call.id] = call.deadline;
    this->Handle(OnArrival(this->state, call, kSlots, this->now));
  }

  void Finish() {
    while (!this->ends.empty() && this->ends.begin()->first <= this->now) {
      const uint64_t id = this->ends.begin()->second;
      this->ends.erase(this->ends.begin());
      const bool in_time = this->now <= this->deadlines[id];
      ++(in_time ? this->result.in_time : this->result.late);
      this->Handle(OnFinished(this->state, id, kSlots, this->now));
    }
  }

  void Handle(const AdmissionActions& actions) {
    for (const AdmissionAction& action : actions) {
      if (const auto* start = std::get_if<StartCall>(&action)) {
        // Service times vary, so that a tight deadline can be missed.
        const auto time = static_cast<int64_t>(40 + this->random() % 40);
        this->ends.emplace(this->now + absl::Milliseconds(time), start->id);
      } else if (const auto* shed = std::get_if<ShedCall>(&action)) {
        ++this->result.shed;
        this->result.nested_shed += this->nested[shed->id] ? 1 : 0;
      }
    }
  }

  const LoadSettings settings;
  AdmissionState state;
  std::mt19937 random{7};
  absl::Time now = absl::UnixEpoch();
  uint64_t next_id = 1;
  std::multimap<absl::Time, uint64_t> ends;
  std::map<uint64_t, absl::Time> deadlines;
  std::map<uint64_t, bool> nested;
  LoadResult result;
};

LoadResult RunLoad(QueueOrder order, double rate) {
  LoadSettings settings;
  settings.order = order;
  settings.rate = rate;
  return Load(settings).Run();
}

std::string Text(const LoadResult& result) {
  return absl::StrCat("in_time=", result.in_time, " late=", result.late,
                      " shed=", result.shed,
                      " nested_shed=", result.nested_shed);
}

// Guards against a queue that starts calls just before their deadline, so that
// they finish late. The figures are in docs/decisions/admission.md.
TEST_CASE(
    "admission: under overload newest first beats earliest deadline first") {
  for (const double rate : {120.0, 200.0, 400.0, 700.0}) {
    const LoadResult deadline = RunLoad(QueueOrder::kDeadline, rate);
    const LoadResult newest = RunLoad(QueueOrder::kNewest, rate);
    const LoadResult adaptive = RunLoad(QueueOrder::kAdaptive, rate);
    MESSAGE("rate=", rate, " deadline: ", Text(deadline),
            " newest: ", Text(newest), " adaptive: ", Text(adaptive));
    if (rate >= 400) {
      CHECK(adaptive.in_time > deadline.in_time);
      CHECK(adaptive.late < deadline.late);
    }
  }
}

// Guards against losing the work done above a nested call.
TEST_CASE("admission: root requests are shed before nested calls") {
  LoadSettings settings;
  settings.nested_percent = 25;
  settings.send_depth = false;
  const LoadResult without = Load(settings).Run();
  settings.send_depth = true;
  const LoadResult with = Load(settings).Run();
  MESSAGE("without depth: ", Text(without), " with depth: ", Text(with));
  CHECK(with.nested_shed * 10 < without.nested_shed);
}

}  // namespace
}  // namespace boragepaddle::admission
