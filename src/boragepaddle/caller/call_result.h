#ifndef BORAGEPADDLE_CALLER_CALL_RESULT_H_
#define BORAGEPADDLE_CALLER_CALL_RESULT_H_

#include <cstdint>
#include <string>

#include "boragepaddle/schema/messages.h"

namespace boragepaddle::caller {

/// End of a call.
struct CallResult {
  /// `not_run` and `completed` are certain.
  schema::Outcome outcome = schema::Outcome::kNotRun;
  schema::Reason reason = schema::Reason::kNone;
  /// HTTP status of the worker if completed.
  uint32_t status = 0;
  std::string content_type;
  std::string body;
};

}  // namespace boragepaddle::caller

#endif  // BORAGEPADDLE_CALLER_CALL_RESULT_H_
