#ifndef BORAGEPADDLE_CONFIG_MEMBERSHIP_H_
#define BORAGEPADDLE_CONFIG_MEMBERSHIP_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "boragepaddle/config/config_error.h"
#include "boragepaddle/config/parsed_folder.h"

namespace boragepaddle::config {

/// A member whose file is in force.
struct Member {
  std::string name;
  /// Position in the order of joining, from 1.
  uint32_t order = 0;
  /// Named by the node settings, so that no approval is needed.
  bool founding = false;
  /// Source file; empty if the folder has none.
  std::string file;
};

/// A name that has a file or an approval but is not a member.
struct Candidate {
  std::string name;
  /// Source file; empty if the folder has none.
  std::string file;
  /// Order under which the most members approve it; 0 if nobody does.
  uint32_t order = 0;
  /// Members of lower order that do not approve it with that order.
  std::vector<std::string> missing_approvals;
};

/// Who belongs, as a function of the folder and the founding members alone.
struct Membership {
  /// In order of joining.
  std::vector<Member> members;
  /// In order of name.
  std::vector<Candidate> candidates;
};

/// Computes the members and adds a fault for each wrong file or approval of
/// a member. Files of candidates are not checked, as they have no effect.
Membership ComputeMembership(const ParsedFolder& folder,
                             absl::Span<const std::string> founding_members,
                             ConfigErrors* errors);

}  // namespace boragepaddle::config

#endif  // BORAGEPADDLE_CONFIG_MEMBERSHIP_H_
