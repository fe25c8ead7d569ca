#include "boragepaddle/execution/ticket.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <cassert>
#include <vector>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"

namespace boragepaddle::execution {

namespace {

constexpr absl::string_view kVersion = "t1";
constexpr size_t kMacBytes = 16;
constexpr size_t kHexDigits = 16;
constexpr size_t kMaxTicketLength = 512;

/// The VM id comes last, since it may contain dots.
std::string SignedPart(const Ticket& ticket) {
  return absl::StrFormat(
      "%s.%016x.%016x.%016x", kVersion, ticket.incarnation, ticket.sequence,
      static_cast<uint64_t>(absl::ToUnixMicros(ticket.expiry)));
}

bool ParseHex(absl::string_view text, uint64_t* value) {
  return text.size() == kHexDigits && absl::SimpleHexAtoi(text, value);
}

}  // namespace

std::string FormatTicket(const Ticket& ticket) {
  return absl::StrCat(SignedPart(ticket), ".", ticket.mac, ".", ticket.vm_id);
}

base::Result<Ticket, TicketError> ParseTicket(absl::string_view text) {
  const std::vector<absl::string_view> parts =
      absl::StrSplit(text, absl::MaxSplits('.', 5));
  Ticket ticket;
  uint64_t expiry_us = 0;
  if (text.size() > kMaxTicketLength || parts.size() != 6 ||
      parts[0] != kVersion || !ParseHex(parts[1], &ticket.incarnation) ||
      !ParseHex(parts[2], &ticket.sequence) ||
      !ParseHex(parts[3], &expiry_us) || parts[4].size() != 2 * kMacBytes ||
      parts[5].empty()) {
    return TicketError::kMalformed;
  }
  ticket.expiry = absl::FromUnixMicros(static_cast<int64_t>(expiry_us));
  ticket.mac = std::string(parts[4]);
  ticket.vm_id = std::string(parts[5]);
  return ticket;
}

std::string ComputeTicketMac(const Ticket& ticket, const TicketSecret& secret) {
  const std::string text = absl::StrCat(SignedPart(ticket), ".", ticket.vm_id);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest;
  unsigned int size = 0;
  const unsigned char* result =
      HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
           reinterpret_cast<const unsigned char*>(text.data()), text.size(),
           digest.data(), &size);
  assert(result != nullptr && size >= kMacBytes);
  static_cast<void>(result);
  return absl::BytesToHexString(absl::string_view(
      reinterpret_cast<const char*>(digest.data()), kMacBytes));
}

bool HasValidMac(const Ticket& ticket, const TicketSecret& secret) {
  const std::string expected = ComputeTicketMac(ticket, secret);
  // The time must not tell how many digits of a guess are right.
  return ticket.mac.size() == expected.size() &&
         CRYPTO_memcmp(ticket.mac.data(), expected.data(), expected.size()) ==
             0;
}

}  // namespace boragepaddle::execution
