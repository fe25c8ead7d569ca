#ifndef BORAGEPADDLE_EXECUTION_TICKET_H_
#define BORAGEPADDLE_EXECUTION_TICKET_H_

#include <array>
#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/base/result.h"

namespace boragepaddle::execution {

/// Key of the ticket MAC, chosen at random at each process start.
using TicketSecret = std::array<uint8_t, 32>;

/// Binds an at-most-once request to one incarnation of a node.
struct Ticket {
  std::string vm_id;
  uint64_t incarnation = 0;
  /// Unique and increasing within the incarnation.
  uint64_t sequence = 0;
  /// By the clock of the issuing node.
  absl::Time expiry;
  /// MAC of the other fields, in hexadecimal.
  std::string mac;
};

/// Why a text cannot be parsed as a ticket.
enum class TicketError : uint8_t { kMalformed };

/// Formats the ticket for headers and messages.
std::string FormatTicket(const Ticket& ticket);

/// Parses the text form. Does not check the MAC, so that a sender, which has no
/// key, can find out which node issued the ticket.
base::Result<Ticket, TicketError> ParseTicket(absl::string_view text);

/// HMAC-SHA256 of the fields, truncated to 128 bits, in hexadecimal.
std::string ComputeTicketMac(const Ticket& ticket, const TicketSecret& secret);

/// True if the ticket's MAC was computed with the secret.
bool HasValidMac(const Ticket& ticket, const TicketSecret& secret);

}  // namespace boragepaddle::execution

#endif  // BORAGEPADDLE_EXECUTION_TICKET_H_
