#ifndef BORAGEPADDLE_EXECUTION_TICKET_H_
#define BORAGEPADDLE_EXECUTION_TICKET_H_

#include <array>
#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/base/result.h"

namespace boragepaddle::execution {

/// Key of the ticket mac. Random per process start.
using TicketSecret = std::array<uint8_t, 32>;

/// Binds an at-most-once request to one incarnation of one node.
struct Ticket {
  std::string vm_id;
  uint64_t incarnation = 0;
  /// Unique in the incarnation; grows with each ticket.
  uint64_t sequence = 0;
  /// On the clock of the issuing node.
  absl::Time expiry;
  /// Keyed mac of the other fields, in hexadecimal.
  std::string mac;
};

/// Why a text is no ticket.
enum class TicketError : uint8_t { kMalformed };

/// Text form for headers and messages.
std::string FormatTicket(const Ticket& ticket);

/// Reads the text form. Does not check the mac, so that a sender can read
/// which node the ticket names.
base::Result<Ticket, TicketError> ParseTicket(absl::string_view text);

/// HMAC-SHA256 of the fields, cut to 128 bits, in hexadecimal.
std::string ComputeTicketMac(const Ticket& ticket, const TicketSecret& secret);

/// True if the ticket was issued with the secret.
bool HasValidMac(const Ticket& ticket, const TicketSecret& secret);

}  // namespace boragepaddle::execution

#endif  // BORAGEPADDLE_EXECUTION_TICKET_H_
