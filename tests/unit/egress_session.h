#ifndef TESTS_UNIT_EGRESS_SESSION_H_
#define TESTS_UNIT_EGRESS_SESSION_H_

#include <string>

#include "absl/strings/string_view.h"

namespace boragepaddle::node {

/// Replays the events of a recorded session and returns the session text with
/// the actions that egress takes now. Lines that begin with "  ->" are actions,
/// lines that begin with "#" are comments; others are events:
///   <ms> call <name> <class> [child] [amo] [retry] [ticket=<text>]
///   <ms> answer <name> <outcome> <reason> [level=n] [tokens=n] [below]
///   <ms> lost <name> <0 not sent | 1 connection | 2 timeout | 3 caller gone>
///   <ms> grant <name> <ticket>
///   <ms> wait <name>
///   <ms> leaving <vm> <incarnation>
///   <ms> hello <vm> <incarnation>
std::string ReplayEgress(absl::string_view session);

}  // namespace boragepaddle::node

#endif  // TESTS_UNIT_EGRESS_SESSION_H_
