#ifndef BORAGEPADDLE_ADMISSION_WORKER_LOAD_H_
#define BORAGEPADDLE_ADMISSION_WORKER_LOAD_H_

#include <cstdint>

#include "absl/strings/string_view.h"
#include "absl/types/optional.h"

namespace boragepaddle::admission {

/// Load figures that a worker adds to a response.
struct WorkerLoadFigures {
  uint32_t running = 0;
  /// Calls that the worker has accepted and not started.
  uint32_t waiting = 0;
  uint32_t slots = 0;
  /// Time that work takes on the machine now, in percent of the usual; 0 if the
  /// worker does not say.
  uint32_t speed_percent = 0;
};

/// Parses `RUNNING,WAITING,SLOTS[,SPEED]`: decimal digits only, each figure at
/// most 1,000,000, SLOTS and SPEED at least 1. Null if the text is invalid.
absl::optional<WorkerLoadFigures> ParseWorkerLoad(absl::string_view text);

}  // namespace boragepaddle::admission

#endif  // BORAGEPADDLE_ADMISSION_WORKER_LOAD_H_
