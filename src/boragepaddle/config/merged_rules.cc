#include "boragepaddle/config/merged_rules.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace boragepaddle::config {

namespace {

// Names are path segments of `/call/<service>/<operation>` and are joined by a
// dot in `calls`.
bool IsName(absl::string_view name) {
  return !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
    return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' ||
           c == '_';
  });
}

// `path` is the key path of the rule; empty for a member name.
void CheckName(absl::string_view name,
               const std::string& file,
               absl::string_view path,
               ConfigErrors* errors) {
  if (!IsName(name)) {
    errors->push_back({ConfigErrorCode::kBadName, file,
                       absl::StrCat(path, path.empty() ? "" : ".",
                                    path.empty() ? "member" : "name"),
                       std::string(name),
                       "the name contains invalid characters",
                       "use letters, digits, '-' and '_'"});
  }
}

// Reports both declarations, so that the errors do not depend on the order of
// the file names.
void AddDuplicateService(const ServiceEntry& first,
                         const ServiceEntry& second,
                         ConfigErrors* errors) {
  const bool same_member = first.member == second.member;
  const std::pair<const ServiceEntry*, const ServiceEntry*> pairs[] = {
      {&first, &second}, {&second, &first}};
  for (const auto& [entry, other] : pairs) {
    errors->push_back(
        {same_member ? ConfigErrorCode::kDuplicateService
                     : ConfigErrorCode::kForeignService,
         entry->file, absl::StrCat(entry->path, ".name"), entry->rule.name,
         absl::StrCat("member ", other->member, " declares it at ", other->path,
                      " of ", other->file),
         same_member ? "declare a service once"
                     : "only the member that owns a service may declare it"});
  }
}

void AddOperations(const schema::ServiceRule& rule,
                   size_t position,
                   MergedRules* rules,
                   ConfigErrors* errors) {
  ServiceEntry& service = rules->services[position];
  for (size_t index = 0; index < rule.operations.size(); ++index) {
    OperationEntry operation;
    operation.rule = rule.operations[index];
    operation.service = position;
    operation.path = absl::StrCat(service.path, ".operations[", index, "]");
    CheckName(operation.rule.name, service.file, operation.path, errors);
    const size_t next = rules->operations.size();
    const bool added =
        rules->operation_positions
            .emplace(absl::StrCat(rule.name, ".", operation.rule.name), next)
            .second;
    if (!added) {
      errors->push_back({ConfigErrorCode::kDuplicateOperation, service.file,
                         absl::StrCat(operation.path, ".name"),
                         operation.rule.name,
                         "the service declares the operation twice",
                         "declare an operation once"});
    }
    service.operations.push_back(next);
    rules->operations.push_back(std::move(operation));
  }
}

void AddService(const schema::ServiceRule& rule,
                const Member& member,
                size_t index,
                MergedRules* rules,
                ConfigErrors* errors) {
  ServiceEntry service;
  service.rule = rule;
  service.rule.operations.clear();
  service.member = member.name;
  service.file = member.file;
  service.path = absl::StrCat("services[", index, "]");
  CheckName(rule.name, service.file, service.path, errors);
  const size_t position = rules->services.size();
  const auto [known, added] =
      rules->service_positions.emplace(rule.name, position);
  if (!added) {
    AddDuplicateService(rules->services[known->second], service, errors);
    return;
  }
  rules->services.push_back(std::move(service));
  AddOperations(rule, position, rules, errors);
}

void Reserve(const ParsedFolder& folder, MergedRules* rules) {
  size_t services = 0;
  size_t operations = 0;
  for (const auto& [name, file] : folder) {
    services += file->content.services.size();
    for (const schema::ServiceRule& service : file->content.services) {
      operations += service.operations.size();
    }
  }
  rules->services.reserve(services);
  rules->operations.reserve(operations);
  rules->service_positions.reserve(services);
  rules->operation_positions.reserve(operations);
}

}  // namespace

MergedRules MergeRules(const ParsedFolder& folder,
                       const Membership& membership,
                       ConfigErrors* errors) {
  absl::flat_hash_map<std::string, const Member*> owners;
  for (const Member& member : membership.members) {
    if (!member.file.empty()) {
      owners[member.file] = &member;
      CheckName(member.name, member.file, "", errors);
    }
  }
  MergedRules rules;
  Reserve(folder, &rules);
  for (const auto& [name, file] : folder) {
    const auto owner = owners.find(name);
    if (owner == owners.end()) {
      continue;
    }
    const std::vector<schema::ServiceRule>& services = file->content.services;
    for (size_t index = 0; index < services.size(); ++index) {
      AddService(services[index], *owner->second, index, &rules, errors);
    }
  }
  return rules;
}

std::string QualifiedName(const MergedRules& rules, size_t operation) {
  const OperationEntry& entry = rules.operations[operation];
  return absl::StrCat(rules.services[entry.service].rule.name, ".",
                      entry.rule.name);
}

const std::string& FileOf(const MergedRules& rules,
                          const OperationEntry& operation) {
  return rules.services[operation.service].file;
}

}  // namespace boragepaddle::config
