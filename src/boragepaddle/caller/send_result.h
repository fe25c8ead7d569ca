#ifndef BORAGEPADDLE_CALLER_SEND_RESULT_H_
#define BORAGEPADDLE_CALLER_SEND_RESULT_H_

#include <string>

#include "boragepaddle/caller/call_result.h"

namespace boragepaddle::caller {

/// End of one send to one entry node.
struct SendResult {
  CallResult result;
  /// Set if the node asks to repeat the call with this ticket.
  std::string ticket;
};

}  // namespace boragepaddle::caller

#endif  // BORAGEPADDLE_CALLER_SEND_RESULT_H_
