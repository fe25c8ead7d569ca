#include "boragepaddle/node/ticket_target.h"

#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace boragepaddle::node {

namespace {

constexpr absl::string_view kVersion = "t1";
constexpr size_t kParts = 6;

}  // namespace

absl::optional<TicketTarget> ReadTicketTarget(absl::string_view ticket) {
  // Stands in for the parser of the execution module:
  // `t1.<incarnation>.<sequence>.<expiry>.<hash>.<vm id>`, numbers in
  // hexadecimal. The VM id may contain dots.
  const std::vector<absl::string_view> parts =
      absl::StrSplit(ticket, absl::MaxSplits('.', kParts - 1));
  TicketTarget target;
  if (parts.size() != kParts || parts[0] != kVersion ||
      !absl::SimpleHexAtoi(parts[1], &target.incarnation) ||
      parts[kParts - 1].empty()) {
    return absl::nullopt;
  }
  target.vm_id = std::string(parts[kParts - 1]);
  return target;
}

}  // namespace boragepaddle::node
