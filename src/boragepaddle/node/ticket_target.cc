#include "boragepaddle/node/ticket_target.h"

#include <utility>

#include "boragepaddle/execution/ticket.h"

namespace boragepaddle::node {

absl::optional<TicketTarget> ReadTicketTarget(absl::string_view ticket) {
  auto parsed = execution::ParseTicket(ticket);
  if (!parsed) {
    return absl::nullopt;
  }
  return TicketTarget{std::move(parsed.value().vm_id),
                      parsed.value().incarnation};
}

}  // namespace boragepaddle::node
