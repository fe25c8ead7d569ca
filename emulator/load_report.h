#ifndef EMULATOR_LOAD_REPORT_H_
#define EMULATOR_LOAD_REPORT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "emulator/load_plan.h"
#include "emulator/load_run.h"

namespace emulator {

absl::string_view ToString(ClientOutcome outcome);

/// Time from window `trigger_end` until the share of requests completed in time
/// is back at 99% of its mean over [0, trigger_begin) and stays there for 1 s.
/// Empty if the series ends before that.
absl::optional<absl::Duration> RecoveryTime(
    absl::Span<const WindowResult> windows,
    absl::Duration window,
    size_t trigger_begin,
    size_t trigger_end);

/// Formats the results as JSON, as described in docs/emulator.md.
nlohmann::json ReportJson(const LoadPlan& plan, const LoadOutput& output);

/// Formats the results as a readable table by phase and class.
std::string ReportTable(const LoadPlan& plan, const LoadOutput& output);

}  // namespace emulator

#endif  // EMULATOR_LOAD_REPORT_H_
