#ifndef TESTS_UNIT_ROUTE_FIXTURE_H_
#define TESTS_UNIT_ROUTE_FIXTURE_H_

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "boragepaddle/node/egress.h"
#include "boragepaddle/routing/pick.h"
#include "boragepaddle/routing/route_table.h"

namespace boragepaddle {

inline const absl::Time kStart = absl::FromUnixSeconds(1000);
inline const routing::Locality kHere{"tamsui", "tw-north", "node-0"};

inline absl::Time At(int64_t milliseconds) {
  return kStart + absl::Milliseconds(milliseconds);
}

inline schema::VmEntry MakeVm(const std::string& vm_id,
                              const std::string& zone = "tamsui",
                              const std::string& region = "tw-north") {
  schema::VmEntry vm;
  vm.vm_id = vm_id;
  vm.service = "catalogue";
  vm.availability_zone = zone;
  vm.region = region;
  vm.peer_address = absl::StrCat(vm_id, ":1");
  return vm;
}

inline std::vector<schema::VmEntry> MakeVms(int count) {
  std::vector<schema::VmEntry> vms;
  vms.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    vms.push_back(MakeVm(absl::StrCat("vm-", i)));
  }
  return vms;
}

inline schema::Hello MakeHello(const std::string& vm_id, uint64_t incarnation) {
  schema::Hello hello;
  hello.vm_id = vm_id;
  hello.incarnation = incarnation;
  return hello;
}

inline schema::CallAnswer MakeAnswer(
    schema::Outcome outcome,
    schema::Reason reason = schema::Reason::kNone,
    uint32_t level = schema::kCallClassCount) {
  schema::CallAnswer answer;
  answer.outcome = outcome;
  answer.reason = reason;
  answer.status = 200;
  answer.admission_level = level;
  return answer;
}

inline routing::Pick PickFor(const routing::RouteTable& table,
                             absl::Time now,
                             uint64_t random,
                             schema::CallClass call_class) {
  routing::PickQuery query;
  query.now = now;
  query.random = random;
  query.call_class = call_class;
  return routing::PickUpstream(table, kHere, query);
}

/// Number of `draws` picks that select the VM.
inline int CountPicks(
    const routing::RouteTable& table,
    const std::string& vm_id,
    absl::Time now,
    int draws,
    schema::CallClass call_class = schema::CallClass::kStandard) {
  int count = 0;
  for (int i = 0; i < draws; ++i) {
    const auto pick = PickFor(table, now, static_cast<uint64_t>(i), call_class);
    count += pick.upstream != nullptr && pick.upstream->vm.vm_id == vm_id;
  }
  return count;
}

}  // namespace boragepaddle

#endif  // TESTS_UNIT_ROUTE_FIXTURE_H_
