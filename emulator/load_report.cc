#include "emulator/load_report.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace emulator {
namespace {

constexpr double kRecoveredShare = 0.99;
constexpr absl::Duration kRecoveryHoldTime = absl::Seconds(1);

double ShareOf(const WindowResult& window) {
  return window.offered == 0 ? 1.0
                             : static_cast<double>(window.in_time) /
                                   static_cast<double>(window.offered);
}

/// Windows [begin, end) of the trigger phase.
absl::optional<std::pair<size_t, size_t>> TriggerWindows(const LoadPlan& plan) {
  absl::Duration begin;
  for (const LoadPhase& phase : plan.phases) {
    const absl::Duration end = begin + phase.duration;
    if (!plan.trigger_phase.empty() && phase.name == plan.trigger_phase) {
      const double first = absl::FDivDuration(begin, plan.window);
      const double last = absl::FDivDuration(end, plan.window);
      return std::make_pair(static_cast<size_t>(first),
                            static_cast<size_t>(std::ceil(last)));
    }
    begin = end;
  }
  return absl::nullopt;
}

std::vector<WindowResult> SumOfWindows(const LoadResults& results) {
  std::vector<WindowResult> sum;
  for (const auto& [name, windows] : results.windows) {
    sum.resize(std::max(sum.size(), windows.size()));
    for (size_t index = 0; index < windows.size(); ++index) {
      sum[index].offered += windows[index].offered;
      sum[index].in_time += windows[index].in_time;
    }
  }
  return sum;
}

nlohmann::json RecoveryJson(const LoadPlan& plan,
                            absl::Span<const WindowResult> windows) {
  const auto trigger = TriggerWindows(plan);
  if (!trigger) {
    return nullptr;
  }
  const auto time =
      RecoveryTime(windows, plan.window, trigger->first, trigger->second);
  return time ? nlohmann::json(absl::ToDoubleSeconds(*time))
              : nlohmann::json(nullptr);
}

nlohmann::json WindowsJson(absl::Span<const WindowResult> windows) {
  nlohmann::json json = nlohmann::json::array();
  for (const WindowResult& window : windows) {
    json.push_back({window.offered, window.in_time});
  }
  return json;
}

nlohmann::json QuantilesJson(const LatencyHistogram& histogram) {
  return {{"p50", histogram.Quantile(0.5)}, {"p99", histogram.Quantile(0.99)}};
}

nlohmann::json ClassJson(const ClassResult& result) {
  nlohmann::json json = {
      {"offered", result.offered},
      {"in_time", result.in_time},
      {"attempts", result.attempts},
      {"latency_ms", QuantilesJson(result.latency)},
      {"attempt_latency_ms", QuantilesJson(result.attempt_latency)},
      {"refusal_latency_ms", QuantilesJson(result.refusal_latency)}};
  for (size_t index = 0; index < kClientOutcomeCount; ++index) {
    const auto outcome = static_cast<ClientOutcome>(index);
    json[std::string(ToString(outcome))] = result.outcomes[index];
  }
  return json;
}

nlohmann::json ReasonsJson(const LoadResults& results) {
  nlohmann::json json = nlohmann::json::array();
  for (const auto& [key, count] : results.reasons) {
    const auto& [name, outcome, reason] = key;
    json.push_back({{"class", name},
                    {"outcome", std::string(ToString(
                                    static_cast<ClientOutcome>(outcome)))},
                    {"reason", reason},
                    {"attempts", count}});
  }
  return json;
}

nlohmann::json ShedsJson(const LoadResults& results) {
  nlohmann::json json = nlohmann::json::array();
  for (const auto& [key, count] : results.sheds) {
    const auto& [window, service, name, reason] = key;
    json.push_back({window, service, name, reason, count});
  }
  return json;
}

uint64_t CountOf(absl::Span<const uint64_t> outcomes, ClientOutcome outcome) {
  return outcomes[static_cast<size_t>(outcome)];
}

}  // namespace

absl::string_view ToString(ClientOutcome outcome) {
  switch (outcome) {
    case ClientOutcome::kCompleted:
      return "completed";
    case ClientOutcome::kLate:
      return "late";
    case ClientOutcome::kFailed:
      return "failed";
    case ClientOutcome::kNotRun:
      return "not_run";
    case ClientOutcome::kUnknown:
      return "unknown";
    case ClientOutcome::kWrong:
      return "wrong";
    case ClientOutcome::kNotSent:
      return "not_sent";
  }
  return "";
}

absl::optional<absl::Duration> RecoveryTime(
    absl::Span<const WindowResult> windows,
    absl::Duration window,
    size_t trigger_begin,
    size_t trigger_end) {
  WindowResult before;
  for (size_t index = 0; index < trigger_begin && index < windows.size();
       ++index) {
    before.offered += windows[index].offered;
    before.in_time += windows[index].in_time;
  }
  const double bound = kRecoveredShare * ShareOf(before);
  const auto needed =
      static_cast<size_t>(absl::FDivDuration(kRecoveryHoldTime, window));
  size_t good = 0;
  for (size_t index = trigger_end; index < windows.size(); ++index) {
    good = ShareOf(windows[index]) >= bound ? good + 1 : 0;
    if (good >= needed) {
      return window * static_cast<double>(index + 1 - good - trigger_end);
    }
  }
  return absl::nullopt;
}

nlohmann::json ReportJson(const LoadPlan& plan, const LoadOutput& output) {
  nlohmann::json json = {
      {"run", plan.run},
      {"start_unix_ms", absl::ToUnixMillis(output.start)},
      {"connections_opened", output.connections_opened},
      {"max_send_delay_ms", absl::ToDoubleMilliseconds(output.max_send_delay)},
      {"window_ms", absl::ToDoubleMilliseconds(plan.window)},
      {"reasons", ReasonsJson(output.results)},
      {"sheds", ShedsJson(output.results)}};
  for (const auto& [key, result] : output.results.classes) {
    json["phases"][plan.phases[key.first].name][key.second] = ClassJson(result);
  }
  for (const auto& [name, windows] : output.results.windows) {
    json["windows"][name] = WindowsJson(windows);
    json["recovery_s"][name] = RecoveryJson(plan, windows);
  }
  json["recovery_s"]["all"] = RecoveryJson(plan, SumOfWindows(output.results));
  return json;
}

std::string ReportTable(const LoadPlan& plan, const LoadOutput& output) {
  std::string table = absl::StrFormat(
      "%-10s %-10s %8s %9s %8s %7s %7s %7s %5s %7s %8s %8s\n", "phase", "class",
      "offered", "completed", "in time", "not run", "unknown", "failed",
      "wrong", "other", "p50 ms", "p99 ms");
  for (const auto& [key, result] : output.results.classes) {
    const auto& outcomes = result.outcomes;
    absl::StrAppendFormat(
        &table, "%-10s %-10s %8d %9d %8d %7d %7d %7d %5d %7d %8.2f %8.2f\n",
        plan.phases[key.first].name, key.second, result.offered,
        CountOf(outcomes, ClientOutcome::kCompleted), result.in_time,
        CountOf(outcomes, ClientOutcome::kNotRun),
        CountOf(outcomes, ClientOutcome::kUnknown),
        CountOf(outcomes, ClientOutcome::kFailed),
        CountOf(outcomes, ClientOutcome::kWrong),
        CountOf(outcomes, ClientOutcome::kLate) +
            CountOf(outcomes, ClientOutcome::kNotSent),
        result.latency.Quantile(0.5), result.latency.Quantile(0.99));
  }
  return table;
}

}  // namespace emulator
