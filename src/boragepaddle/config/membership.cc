#include "boragepaddle/config/membership.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"

namespace boragepaddle::config {

namespace {

using Approvals = std::vector<const schema::Approval*>;

// Working state of one computation.
struct MembershipBuilder {
  absl::flat_hash_set<std::string> founders;
  // Files by claimed member, each list in the order of names.
  std::map<std::string, std::vector<const ParsedFile*>> files;
  // Approvals of each member that can have an effect.
  absl::flat_hash_map<std::string, Approvals> approvals;
  Membership result;
  ConfigErrors* errors = nullptr;
};

void AddParseErrors(const ParsedFile& file, ConfigErrors* errors) {
  for (const schema::SettingsError& fault : file.errors) {
    errors->push_back({ConfigErrorCode::kInvalidFile, fault.file, fault.path,
                       fault.value, schema::ToString(fault.code),
                       fault.expected.empty()
                           ? "add the key"
                           : absl::StrCat("expected ", fault.expected)});
  }
}

void GroupFiles(const ParsedFolder& folder, MembershipBuilder* builder) {
  for (const auto& [name, file] : folder) {
    if (!file->member.empty()) {
      builder->files[file->member].push_back(file.get());
    } else {
      // Without an owner, it may be the file of a member whose services would
      // disappear if it were skipped.
      AddParseErrors(*file, builder->errors);
    }
  }
}

// Returns the only file of a member, or null with a fault if there are more.
const ParsedFile* OnlyFile(const std::string& member,
                           MembershipBuilder* builder) {
  const auto found = builder->files.find(member);
  if (found == builder->files.end()) {
    return nullptr;
  }
  const std::vector<const ParsedFile*>& files = found->second;
  if (files.size() == 1) {
    return files.front();
  }
  for (const ParsedFile* file : files) {
    const ParsedFile* other = file == files[0] ? files[1] : files[0];
    builder->errors->push_back(
        {ConfigErrorCode::kDuplicateMember, file->name, "member", member,
         absl::StrCat("file ", other->name, " is of the same member"),
         "keep one file per member"});
  }
  return nullptr;
}

std::string ApprovalPath(size_t index, const char* key) {
  return absl::StrCat("approves[", index, "].", key);
}

// Approvals of founding members and of their order numbers are skipped: they
// stay in the files after a member was made founding in the node settings.
bool HasEffect(const MembershipBuilder& builder,
               const schema::Approval& approval) {
  return !builder.founders.contains(approval.member) &&
         approval.order > builder.founders.size();
}

void CheckApproval(const Member& member,
                   const ParsedFile& file,
                   size_t index,
                   const Approvals& earlier,
                   ConfigErrors* errors) {
  const schema::Approval& approval = file.content.approves[index];
  if (approval.member == member.name || approval.order <= member.order) {
    errors->push_back({ConfigErrorCode::kBadApproval, file.name,
                       ApprovalPath(index, "order"),
                       absl::StrCat(approval.order),
                       absl::StrCat("member ", member.name, " has order ",
                                    member.order, " itself"),
                       "approve only members that join later"});
  }
  const auto conflict =
      std::find_if(earlier.begin(), earlier.end(), [&](const auto* other) {
        return other->member == approval.member ||
               other->order == approval.order;
      });
  if (conflict != earlier.end()) {
    errors->push_back(
        {ConfigErrorCode::kBadApproval, file.name,
         ApprovalPath(index, "member"), approval.member,
         absl::StrCat("the file also approves ", (*conflict)->member,
                      " with order ", (*conflict)->order),
         "approve each member once and use each order number once"});
  }
}

// A file that skips an order number could otherwise withdraw one approval and
// keep a later one, which would unseat every member in between.
void CheckNoGap(const Member& member,
                const ParsedFile& file,
                const MembershipBuilder& builder,
                const Approvals& approvals) {
  std::set<uint32_t> orders;
  for (const schema::Approval* approval : approvals) {
    orders.insert(approval->order);
  }
  auto expected = std::max<uint32_t>(
      member.order, static_cast<uint32_t>(builder.founders.size()));
  for (const uint32_t order : orders) {
    ++expected;
    if (order != expected) {
      builder.errors->push_back(
          {ConfigErrorCode::kApprovalGap, file.name, "approves",
           absl::StrCat(order), absl::StrCat("order ", expected, " is missing"),
           "approve in order, and withdraw the highest order first"});
      return;
    }
  }
}

// Adds a member with its file and its approvals.
void AddMember(std::string name, bool founding, MembershipBuilder* builder) {
  Member member;
  member.order = static_cast<uint32_t>(builder->result.members.size()) + 1;
  member.founding = founding;
  member.name = std::move(name);
  const ParsedFile* file = OnlyFile(member.name, builder);
  if (file != nullptr) {
    member.file = file->name;
    AddParseErrors(*file, builder->errors);
    Approvals approvals;
    const std::vector<schema::Approval>& listed = file->content.approves;
    for (size_t index = 0; index < listed.size(); ++index) {
      if (HasEffect(*builder, listed[index])) {
        CheckApproval(member, *file, index, approvals, builder->errors);
        approvals.push_back(&listed[index]);
      }
    }
    CheckNoGap(member, *file, *builder, approvals);
    builder->approvals[member.name] = std::move(approvals);
  }
  builder->result.members.push_back(std::move(member));
}

bool Approves(const MembershipBuilder& builder,
              const std::string& member,
              const std::string& candidate,
              uint32_t order) {
  const auto found = builder.approvals.find(member);
  if (found == builder.approvals.end()) {
    return false;
  }
  for (const schema::Approval* approval : found->second) {
    if (approval->member == candidate && approval->order == order) {
      return true;
    }
  }
  return false;
}

std::vector<std::string> MissingApprovals(const MembershipBuilder& builder,
                                          const std::string& candidate,
                                          uint32_t order) {
  std::vector<std::string> missing;
  for (const Member& member : builder.result.members) {
    if (member.order < order &&
        !Approves(builder, member.name, candidate, order)) {
      missing.push_back(member.name);
    }
  }
  return missing;
}

// Returns the candidate that every member approves with the next order, or an
// empty name. The first member's approval suffices to find it.
std::string NextMember(const MembershipBuilder& builder) {
  const std::vector<Member>& members = builder.result.members;
  if (members.empty()) {
    return "";
  }
  const auto order = static_cast<uint32_t>(members.size()) + 1;
  const auto first = builder.approvals.find(members.front().name);
  if (first == builder.approvals.end()) {
    return "";
  }
  for (const schema::Approval* approval : first->second) {
    if (approval->order == order &&
        MissingApprovals(builder, approval->member, order).empty()) {
      return approval->member;
    }
  }
  return "";
}

// Returns the order under which the most members approve the candidate; the
// lowest of them if several are equal, and 0 if nobody approves it.
uint32_t MostApprovedOrder(const MembershipBuilder& builder,
                           const std::string& candidate) {
  std::map<uint32_t, size_t> votes;
  for (const auto& [member, approvals] : builder.approvals) {
    for (const schema::Approval* approval : approvals) {
      if (approval->member == candidate) {
        ++votes[approval->order];
      }
    }
  }
  uint32_t best = 0;
  for (const auto& [order, number] : votes) {
    if (best == 0 || number > votes[best]) {
      best = order;
    }
  }
  return best;
}

void AddCandidates(MembershipBuilder* builder) {
  std::set<std::string> names;
  for (const auto& [member, files] : builder->files) {
    names.insert(member);
  }
  for (const auto& [member, approvals] : builder->approvals) {
    for (const schema::Approval* approval : approvals) {
      names.insert(approval->member);
    }
  }
  for (const Member& member : builder->result.members) {
    names.erase(member.name);
  }
  for (const std::string& name : names) {
    Candidate candidate;
    candidate.name = name;
    const auto files = builder->files.find(name);
    if (files != builder->files.end()) {
      candidate.file = files->second.front()->name;
    }
    candidate.order = MostApprovedOrder(*builder, name);
    const uint32_t order = candidate.order != 0
                               ? candidate.order
                               : builder->result.members.size() + 1;
    candidate.missing_approvals = MissingApprovals(*builder, name, order);
    builder->result.candidates.push_back(std::move(candidate));
  }
}

}  // namespace

Membership ComputeMembership(const ParsedFolder& folder,
                             absl::Span<const std::string> founding_members,
                             ConfigErrors* errors) {
  MembershipBuilder builder;
  builder.errors = errors;
  builder.founders.insert(founding_members.begin(), founding_members.end());
  GroupFiles(folder, &builder);
  absl::flat_hash_set<std::string> seated;
  for (const std::string& founder : founding_members) {
    if (seated.insert(founder).second) {
      AddMember(founder, /*founding=*/true, &builder);
    }
  }
  for (std::string next = NextMember(builder); !next.empty();
       next = NextMember(builder)) {
    AddMember(std::move(next), /*founding=*/false, &builder);
  }
  AddCandidates(&builder);
  return std::move(builder.result);
}

}  // namespace boragepaddle::config
