#ifndef EMULATOR_READY_LINE_H_
#define EMULATOR_READY_LINE_H_

#include "absl/strings/string_view.h"

namespace emulator {

/// Prints "ready <names>" and flushes it; the launcher waits for this line.
void PrintReadyLine(absl::string_view names);

}  // namespace emulator

#endif  // EMULATOR_READY_LINE_H_
