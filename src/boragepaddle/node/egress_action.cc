#include "boragepaddle/node/egress_action.h"

namespace boragepaddle::node {

const char* ToString(AttemptLoss value) {
  switch (value) {
    case AttemptLoss::kNotSent:
      return "not_sent";
    case AttemptLoss::kConnectionLost:
      return "connection_lost";
    case AttemptLoss::kTimeout:
      return "timeout";
    case AttemptLoss::kCallerGone:
      return "caller_gone";
  }
  return "invalid";
}

}  // namespace boragepaddle::node
