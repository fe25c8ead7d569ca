#ifndef TESTS_UNIT_INGRESS_SESSION_H_
#define TESTS_UNIT_INGRESS_SESSION_H_

#include <string>

#include "absl/strings/string_view.h"

namespace boragepaddle::node {

/// Replays a script of ingress events and returns it with the resulting
/// actions, each on its own line starting with "> ". Such lines and empty lines
/// in the script are skipped, so a correct script equals its result. A line is
/// `<ms> <event> <arguments>`; the first one is `node key=value...`.
std::string ReplayIngress(absl::string_view script);

}  // namespace boragepaddle::node

#endif  // TESTS_UNIT_INGRESS_SESSION_H_
