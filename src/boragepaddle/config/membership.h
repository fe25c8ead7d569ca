#ifndef BORAGEPADDLE_CONFIG_MEMBERSHIP_H_
#define BORAGEPADDLE_CONFIG_MEMBERSHIP_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "boragepaddle/config/config_error.h"
#include "boragepaddle/config/parsed_folder.h"

namespace boragepaddle::config {

/// A member, whose file is active.
struct Member {
  std::string name;
  /// Position in joining order, starting at 1.
  uint32_t order = 0;
  /// Listed in the node settings; needs no approval.
  bool founding = false;
  /// Source file; empty if the folder has none.
  std::string file;
};

/// A name that has a file or an approval, but is not a member.
struct Candidate {
  std::string name;
  /// Source file; empty if the folder has none.
  std::string file;
  /// Order with which most members approve it; 0 if none does.
  uint32_t order = 0;
  /// Members with a lower order that do not approve it with `order`.
  std::vector<std::string> missing_approvals;
};

/// Members and candidates, determined only by the folder and the founding
/// members.
struct Membership {
  /// In order of joining.
  std::vector<Member> members;
  /// In order of name.
  std::vector<Candidate> candidates;
};

/// Computes the members and adds an error for each invalid file or approval of
/// a member. Candidates' files are inactive and are not checked.
Membership ComputeMembership(const ParsedFolder& folder,
                             absl::Span<const std::string> founding_members,
                             ConfigErrors* errors);

}  // namespace boragepaddle::config

#endif  // BORAGEPADDLE_CONFIG_MEMBERSHIP_H_
