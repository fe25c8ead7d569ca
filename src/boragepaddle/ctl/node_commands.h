#ifndef BORAGEPADDLE_CTL_NODE_COMMANDS_H_
#define BORAGEPADDLE_CTL_NODE_COMMANDS_H_

#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/base/result.h"
#include "boragepaddle/ctl/command_result.h"

namespace boragepaddle::ctl {

/// Operator listener of a node.
struct NodeTarget {
  /// IP address and port.
  std::string address;
  /// Limit for each of connecting, sending and receiving.
  absl::Duration timeout;
};

/// Prints `GET /status`, one line per key.
CommandResult Status(const NodeTarget& node, Format format);

/// Prints `GET /audit`, one line per entry, oldest first.
CommandResult Audit(const NodeTarget& node, Format format);

/// Sends `POST /drain` and prints the answer.
CommandResult Drain(const NodeTarget& node, Format format);

}  // namespace boragepaddle::ctl

#endif  // BORAGEPADDLE_CTL_NODE_COMMANDS_H_
