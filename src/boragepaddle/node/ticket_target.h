#ifndef BORAGEPADDLE_NODE_TICKET_TARGET_H_
#define BORAGEPADDLE_NODE_TICKET_TARGET_H_

#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/types/optional.h"

namespace boragepaddle::node {

/// The process to which a ticket is bound.
struct TicketTarget {
  std::string vm_id;
  uint64_t incarnation = 0;
};

/// Parses the target of a ticket; empty if the ticket is malformed.
absl::optional<TicketTarget> ReadTicketTarget(absl::string_view ticket);

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_TICKET_TARGET_H_
