#include "boragepaddle/node/egress.h"

#include <algorithm>
#include <array>
#include <utility>

#include "boragepaddle/node/egress_baseline.h"
#include "boragepaddle/node/egress_finish.h"
#include "boragepaddle/node/egress_request.h"
#include "boragepaddle/node/egress_ticket.h"
#include "boragepaddle/retry/back_off.h"
#include "boragepaddle/routing/pick.h"
#include "boragepaddle/routing/random_bits.h"
#include "boragepaddle/routing/subset.h"

namespace boragepaddle::node {

namespace {

using schema::Outcome;
using schema::Reason;

// Number of attempts after which only upstreams known to admit the class are
// tried. Otherwise refusals of unimportant calls would multiply the load by the
// subset size.
constexpr std::array<size_t, schema::kCallClassCount> kUnfilteredAttempts = {
    routing::kMaxSubset, 4, 3, 2};

EgressAction EndCall(const EgressCall& call,
                     ServiceState& service,
                     const FinishCall& finish,
                     absl::Time now) {
  RecordEnd(service, call, finish, now);
  return finish;
}

routing::Pick PickNextUpstream(const EgressCall& call,
                               const ServiceState& service,
                               const EgressSettings& settings,
                               absl::Time now,
                               uint64_t random) {
  routing::PickQuery query;
  query.call_class = call.call_class;
  query.exclude = call.tried;
  query.only_admitting =
      call.tried.size() >=
      kUnfilteredAttempts[static_cast<size_t>(call.call_class)];
  query.now = now;
  query.random = random;
  return routing::PickUpstream(service.routes, settings.locality, query);
}

/// Sends the next attempt, or ends the call with `reason` if no attempt is
/// possible.
EgressAction TryNextUpstream(EgressCall& call,
                             ServiceState& service,
                             const EgressSettings& settings,
                             Reason reason,
                             absl::Time now,
                             uint64_t random) {
  FastestTime& fastest = service.operations[call.operation].fastest;
  if (call.deadline - now <= RecentFastest(fastest, now)) {
    return EndCall(call, service,
                   FinishWithout(call, Outcome::kNotRun, Reason::kDeadline),
                   now);
  }
  const routing::Pick pick =
      PickNextUpstream(call, service, settings, now, random);
  const bool exhausted =
      call.tried.size() >= routing::kMaxSubset + call.retries;
  if (pick.upstream != nullptr && !exhausted) {
    const schema::VmEntry vm = pick.upstream->vm;
    return SendTo(call, service, vm, now);
  }
  const Reason end =
      pick.refused && !call.maybe_run ? Reason::kOverloaded : reason;
  return EndCall(call, service, FinishWithout(call, Outcome::kNotRun, end),
                 now);
}

/// After an unknown outcome, schedules a retry or ends the call.
EgressAction RetryAfterUnknown(EgressCall& call,
                               ServiceState& service,
                               Reason reason,
                               absl::Time now,
                               uint64_t random) {
  call.maybe_run = true;
  const absl::Time when =
      now + retry::BackOff(call.retries, routing::DeriveBits(random, 3));
  const bool may_repeat = call.rule.retry_on_unknown && !call.rule.at_most_once;
  if (!may_repeat || when >= call.deadline || call.tokens.remaining == 0 ||
      !retry::TakeRetry(service.ratio, call.rule.retry_ratio_percent, now)) {
    return EndCall(call, service,
                   FinishWithout(call, Outcome::kUnknown, reason), now);
  }
  retry::Spend(call.tokens);
  ++call.retries;
  return WaitUntil{when};
}

/// True if another upstream may accept a call refused for this reason.
bool IsRetryableElsewhere(Reason reason) {
  switch (reason) {
    case Reason::kOverloaded:
    case Reason::kDisplaced:
    case Reason::kLeaving:
    case Reason::kNotReady:
    case Reason::kUnknownService:
    case Reason::kWorkerLost:
    case Reason::kTableFull:
    case Reason::kTooManyConnections:
    case Reason::kCrashSuspect:
    case Reason::kPaused:
      return true;
    default:
      return false;
  }
}

void RecordAnswer(EgressCall& call,
                  ServiceState& service,
                  const EgressSettings& settings,
                  const schema::CallAnswer& answer,
                  absl::Time now) {
  routing::OnAnswer(service.routes, call.current_vm, call.call_class, answer,
                    call.sent_at, now);
  if (answer.reason == Reason::kLeaving) {
    routing::OnLeaving(service.routes, settings.locality, call.current_vm,
                       answer.incarnation, now);
  }
  retry::Return(call.tokens, call.delegated, answer.tokens_left);
  call.delegated = 0;
  if (answer.outcome == Outcome::kCompleted) {
    AddSample(service.operations[call.operation].fastest, now - call.sent_at,
              now);
  }
}

Reason ReasonOf(AttemptLoss loss) {
  switch (loss) {
    case AttemptLoss::kNotSent:
      return Reason::kNoUpstream;
    case AttemptLoss::kConnectionLost:
      return Reason::kConnectionLost;
    case AttemptLoss::kTimeout:
      return Reason::kTimeout;
    case AttemptLoss::kCallerGone:
      return Reason::kSenderGone;
  }
  return Reason::kNone;
}

void RecordLoss(EgressCall& call,
                ServiceState& service,
                AttemptLoss loss,
                absl::Time now,
                uint64_t random) {
  if (loss == AttemptLoss::kNotSent || loss == AttemptLoss::kConnectionLost) {
    routing::OnConnectionLost(service.routes, call.current_vm, now,
                              routing::DeriveBits(random, 4));
  }
  if (NeedsTicket(call)) {
    return;
  }
  routing::OnAttemptLost(service.routes, call.current_vm, now);
  if (loss == AttemptLoss::kNotSent) {
    retry::Return(call.tokens, call.delegated, call.delegated);
  }
  // Tokens delegated to a lost attempt count as spent.
  call.delegated = 0;
}

}  // namespace

bool PassesGates(ServiceState& service,
                 absl::string_view operation,
                 schema::CallClass call_class,
                 absl::Time now,
                 uint64_t random) {
  // An upstream's recent report that it admits the class is newer than the
  // refusals recorded by the throttle.
  const bool admitted = AnyUpstreamAdmits(service.routes, call_class, now) ||
                        AllowCall(service.throttle, call_class, now,
                                  routing::DeriveBits(random, 1));
  return admitted &&
         AllowCall(service.operations[operation].downstream_throttle,
                   call_class, now, routing::DeriveBits(random, 2));
}

EgressAction BeginCall(EgressCall& call,
                       ServiceState& service,
                       const EgressSettings& settings,
                       absl::Time now,
                       uint64_t random) {
  if (call.rule.at_most_once && !call.child && !call.ticket.empty()) {
    return BeginTicketed(call, service, now);
  }
  const bool full = settings.policy == EgressPolicy::kFull;
  // The throttles of a child call were checked before its parent was passed to
  // the worker; refusing it now would waste the parent's work.
  if (full && !call.child &&
      !PassesGates(service, call.operation, call.call_class, now, random)) {
    return FinishWithout(call, Outcome::kNotRun, Reason::kOverloaded);
  }
  if (NeedsTicket(call)) {
    return AskForTicket(call, service, settings, Reason::kNoUpstream, now,
                        random);
  }
  retry::AddFirstAttempt(service.ratio, now);
  if (!full) {
    return BeginBaseline(call, service, now);
  }
  return TryNextUpstream(call, service, settings, Reason::kNoUpstream, now,
                         random);
}

EgressAction OnAttemptAnswer(EgressCall& call,
                             ServiceState& service,
                             const EgressSettings& settings,
                             schema::CallAnswer answer,
                             absl::Time now,
                             uint64_t random) {
  RecordAnswer(call, service, settings, answer, now);
  const Reason reason = answer.reason;
  if (!call.ticket.empty()) {
    return EndCall(call, service, EndTicketed(call, std::move(answer)), now);
  }
  const Outcome outcome = answer.outcome;
  FinishCall finish = outcome == Outcome::kCompleted
                          ? FinishWith(call, std::move(answer))
                          : FinishWithout(call, outcome, reason);
  if (settings.policy != EgressPolicy::kFull) {
    call.maybe_run = call.maybe_run || outcome != Outcome::kNotRun;
    return ContinueBaseline(call, service, settings.policy, std::move(finish),
                            now);
  }
  if (outcome == Outcome::kUnknown) {
    return RetryAfterUnknown(call, service, reason, now, random);
  }
  if (outcome == Outcome::kNotRun && IsRetryableElsewhere(reason)) {
    return TryNextUpstream(call, service, settings, reason, now, random);
  }
  return EndCall(call, service, finish, now);
}

EgressAction OnAttemptLoss(EgressCall& call,
                           ServiceState& service,
                           const EgressSettings& settings,
                           AttemptLoss loss,
                           absl::Time now,
                           uint64_t random) {
  RecordLoss(call, service, loss, now, random);
  const Reason reason = ReasonOf(loss);
  if (NeedsTicket(call)) {
    // Requesting a ticket executes nothing.
    if (loss == AttemptLoss::kCallerGone) {
      return FinishWithout(call, Outcome::kNotRun, reason);
    }
    return AskForTicket(call, service, settings, reason, now, random);
  }
  const bool sent = loss != AttemptLoss::kNotSent;
  call.maybe_run = call.maybe_run || sent;
  const Outcome outcome = sent ? Outcome::kUnknown : Outcome::kNotRun;
  if (!call.ticket.empty() || loss == AttemptLoss::kCallerGone) {
    return EndCall(call, service, FinishWithout(call, outcome, reason), now);
  }
  if (settings.policy != EgressPolicy::kFull) {
    return ContinueBaseline(call, service, settings.policy,
                            FinishWithout(call, outcome, reason), now);
  }
  if (sent) {
    return RetryAfterUnknown(call, service, reason, now, random);
  }
  return TryNextUpstream(call, service, settings, reason, now, random);
}

EgressAction OnTicketGrant(EgressCall& call,
                           ServiceState& service,
                           const EgressSettings& settings,
                           schema::TicketGrant grant,
                           absl::Time now,
                           uint64_t random) {
  if (!grant.ticket.empty()) {
    FinishCall finish =
        FinishWithout(call, Outcome::kNotRun, Reason::kTicketNeeded);
    finish.ticket = std::move(grant.ticket);
    return finish;
  }
  if (IsRetryableElsewhere(grant.reason)) {
    return AskForTicket(call, service, settings, grant.reason, now, random);
  }
  return EndCall(call, service,
                 FinishWithout(call, Outcome::kNotRun, grant.reason), now);
}

EgressAction OnWaitOver(EgressCall& call,
                        ServiceState& service,
                        const EgressSettings& settings,
                        absl::Time now,
                        uint64_t random) {
  if (PickNextUpstream(call, service, settings, now, random).upstream ==
      nullptr) {
    // All upstreams were tried; allow trying them again.
    call.tried.clear();
  }
  return TryNextUpstream(call, service, settings, Reason::kNoUpstream, now,
                         random);
}

}  // namespace boragepaddle::node
