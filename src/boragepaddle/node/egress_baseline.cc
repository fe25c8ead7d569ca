#include "boragepaddle/node/egress_baseline.h"

#include "boragepaddle/node/egress_finish.h"
#include "boragepaddle/node/egress_request.h"
#include "boragepaddle/routing/pick.h"

namespace boragepaddle::node {

namespace {

using schema::Outcome;
using schema::Reason;

constexpr uint32_t kRetriesPerHop = 3;
constexpr uint32_t kFirstServerError = 500;

bool MayRepeat(const EgressCall& call, const FinishCall& finish) {
  switch (finish.outcome) {
    case Outcome::kNotRun:
      return true;
    case Outcome::kUnknown:
      return call.rule.retry_on_unknown;
    case Outcome::kCompleted:
      return finish.status >= kFirstServerError && call.rule.retry_on_unknown;
  }
  return false;
}

}  // namespace

EgressAction BeginBaseline(EgressCall& call,
                           ServiceState& service,
                           absl::Time now) {
  if (now >= call.deadline) {
    return FinishWithout(call, Outcome::kNotRun, Reason::kDeadline);
  }
  const routing::Upstream* upstream =
      routing::PickRoundRobin(service.routes, service.turn++);
  if (upstream == nullptr) {
    return FinishWithout(call, Outcome::kNotRun, Reason::kNoUpstream);
  }
  return SendTo(call, service, upstream->vm, now);
}

EgressAction ContinueBaseline(EgressCall& call,
                              ServiceState& service,
                              EgressPolicy policy,
                              FinishCall finish,
                              absl::Time now) {
  if (policy == EgressPolicy::kOff || call.retries >= kRetriesPerHop ||
      !MayRepeat(call, finish)) {
    return finish;
  }
  ++call.retries;
  return BeginBaseline(call, service, now);
}

}  // namespace boragepaddle::node
