#include "boragepaddle/config/call_graph.h"

#include <algorithm>
#include <limits>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace boragepaddle::config {

namespace {

constexpr size_t kNone = std::numeric_limits<size_t>::max();

// Services of files that have no effect, with the candidate that has the file.
using CandidateServices = absl::flat_hash_map<std::string, std::string>;

CandidateServices ServicesOfCandidates(const ParsedFolder& folder,
                                       const Membership& membership) {
  CandidateServices services;
  for (const Candidate& candidate : membership.candidates) {
    const auto file = folder.find(candidate.file);
    if (file == folder.end()) {
      continue;
    }
    for (const schema::ServiceRule& service : file->second->content.services) {
      services.emplace(service.name, candidate.name);
    }
  }
  return services;
}

ConfigError MissingTarget(const MergedRules& rules,
                          const CandidateServices& candidates,
                          const std::string& target) {
  const size_t dot = target.find('.');
  if (dot == std::string::npos || dot == 0 || dot + 1 == target.size()) {
    return {ConfigErrorCode::kBadCallTarget,
            "",
            "",
            target,
            "the target is not a service and an operation",
            "write service.operation"};
  }
  const std::string service = target.substr(0, dot);
  if (rules.service_positions.contains(service)) {
    return {ConfigErrorCode::kUnknownOperation,
            "",
            "",
            target,
            absl::StrCat("service ", service, " has no such operation"),
            "declare the operation or remove the call"};
  }
  const auto candidate = candidates.find(service);
  if (candidate != candidates.end()) {
    return {ConfigErrorCode::kUnknownService,
            "",
            "",
            target,
            absl::StrCat("the service belongs to ", candidate->second,
                         ", which is not a member"),
            "add the call after every member has approved the candidate"};
  }
  return {ConfigErrorCode::kUnknownService,
          "",
          "",
          target,
          "no member declares the service",
          "declare the service or remove the call"};
}

void ResolveCalls(const CandidateServices& candidates,
                  MergedRules* rules,
                  ConfigErrors* errors) {
  for (OperationEntry& operation : rules->operations) {
    const std::vector<std::string>& calls = operation.rule.calls;
    for (size_t index = 0; index < calls.size(); ++index) {
      const auto found = rules->operation_positions.find(calls[index]);
      if (found == rules->operation_positions.end()) {
        ConfigError error = MissingTarget(*rules, candidates, calls[index]);
        error.file = FileOf(*rules, operation);
        error.path = absl::StrCat(operation.path, ".calls[", index, "]");
        errors->push_back(std::move(error));
      } else if (std::find(operation.callees.begin(), operation.callees.end(),
                           found->second) == operation.callees.end()) {
        operation.callees.push_back(found->second);
      }
    }
  }
}

// Returns the operations with each callee before its callers. Operations that
// are on a cycle or reach one are missing.
std::vector<size_t> TopologicalOrder(
    const std::vector<OperationEntry>& operations) {
  std::vector<std::vector<size_t>> callers(operations.size());
  std::vector<size_t> pending(operations.size());
  std::vector<size_t> order;
  order.reserve(operations.size());
  for (size_t position = 0; position < operations.size(); ++position) {
    pending[position] = operations[position].callees.size();
    for (const size_t callee : operations[position].callees) {
      callers[callee].push_back(position);
    }
    if (pending[position] == 0) {
      order.push_back(position);
    }
  }
  for (size_t next = 0; next < order.size(); ++next) {
    for (const size_t caller : callers[order[next]]) {
      if (--pending[caller] == 0) {
        order.push_back(caller);
      }
    }
  }
  return order;
}

void AddCycle(const MergedRules& rules,
              std::vector<size_t> cycle,
              ConfigErrors* errors) {
  std::rotate(cycle.begin(), std::min_element(cycle.begin(), cycle.end()),
              cycle.end());
  cycle.push_back(cycle.front());
  const OperationEntry& first = rules.operations[cycle.front()];
  const std::string chain =
      absl::StrJoin(cycle, " -> ", [&rules](std::string* out, size_t position) {
        out->append(QualifiedName(rules, position));
      });
  errors->push_back({ConfigErrorCode::kCallCycle, FileOf(rules, first),
                     absl::StrCat(first.path, ".calls"), chain,
                     "the calls form a cycle", "remove one of the calls"});
}

// Each operation that is not in `sorted` has a callee that is not in it
// either, so that following such callees ends in a cycle.
void AddCycles(const MergedRules& rules,
               const std::vector<size_t>& sorted,
               ConfigErrors* errors) {
  const std::vector<OperationEntry>& operations = rules.operations;
  std::vector<bool> done(operations.size(), false);
  for (const size_t position : sorted) {
    done[position] = true;
  }
  const std::vector<bool> acyclic = done;
  std::vector<size_t> place_in_walk(operations.size(), kNone);
  for (size_t start = 0; start < operations.size(); ++start) {
    std::vector<size_t> walk;
    size_t position = start;
    while (!done[position]) {
      done[position] = true;
      place_in_walk[position] = walk.size();
      walk.push_back(position);
      const std::vector<size_t>& callees = operations[position].callees;
      position = *std::find_if(callees.begin(), callees.end(),
                               [&](size_t callee) { return !acyclic[callee]; });
    }
    const size_t place = place_in_walk[position];
    if (place < walk.size() && walk[place] == position) {
      AddCycle(rules,
               {walk.begin() + static_cast<std::ptrdiff_t>(place), walk.end()},
               errors);
    }
  }
}

void ComputeClosure(const std::vector<size_t>& sorted,
                    std::vector<OperationEntry>* operations) {
  for (const size_t position : sorted) {
    OperationEntry& operation = (*operations)[position];
    operation.depth = 1;
    operation.reaches_at_most_once = operation.rule.at_most_once;
    operation.idempotent_closure = operation.rule.idempotent;
    for (const size_t callee_position : operation.callees) {
      const OperationEntry& callee = (*operations)[callee_position];
      operation.depth = std::max(operation.depth, callee.depth + 1);
      operation.reaches_at_most_once |= callee.reaches_at_most_once;
      operation.idempotent_closure &= callee.idempotent_closure;
    }
  }
}

// Only the first operation that passes the bound is reported: its callers are
// too deep for the same reason.
void CheckDepth(const MergedRules& rules, ConfigErrors* errors) {
  for (const OperationEntry& operation : rules.operations) {
    if (operation.depth == kMaxCallDepth + 1) {
      errors->push_back({ConfigErrorCode::kCallTooDeep,
                         FileOf(rules, operation),
                         absl::StrCat(operation.path, ".calls"),
                         absl::StrCat(operation.depth),
                         absl::StrCat("a chain of calls is longer than ",
                                      kMaxCallDepth, " operations"),
                         "remove a call from the chain"});
    }
  }
}

}  // namespace

bool ResolveCallGraph(const ParsedFolder& folder,
                      const Membership& membership,
                      MergedRules* rules,
                      ConfigErrors* errors) {
  ResolveCalls(ServicesOfCandidates(folder, membership), rules, errors);
  const std::vector<size_t> sorted = TopologicalOrder(rules->operations);
  if (sorted.size() != rules->operations.size()) {
    AddCycles(*rules, sorted, errors);
    return false;
  }
  ComputeClosure(sorted, &rules->operations);
  CheckDepth(*rules, errors);
  return true;
}

std::vector<size_t> ShortestChain(
    absl::Span<const OperationEntry> operations,
    size_t start,
    absl::FunctionRef<bool(const OperationEntry&)> matches) {
  absl::flat_hash_map<size_t, size_t> found_from = {{start, start}};
  std::vector<size_t> queue = {start};
  for (size_t next = 0; next < queue.size(); ++next) {
    size_t position = queue[next];
    if (matches(operations[position])) {
      std::vector<size_t> chain = {position};
      while (position != start) {
        position = found_from[position];
        chain.push_back(position);
      }
      std::reverse(chain.begin(), chain.end());
      return chain;
    }
    for (const size_t callee : operations[position].callees) {
      if (found_from.emplace(callee, position).second) {
        queue.push_back(callee);
      }
    }
  }
  return {};
}

}  // namespace boragepaddle::config
