#include "boragepaddle/limits/credit_inquiry.h"

#include <algorithm>
#include <utility>

#include "absl/algorithm/container.h"
#include "boragepaddle/base/stable_hash.h"

namespace boragepaddle::limits {

namespace {

/// Messages in sequence for one wait: owner, a new connection to it, a host
/// that it refers to, deputy.
constexpr uint32_t kMaxHops = 4;

/// Time until a host that refused a connection is tried again. A refusal takes
/// one round trip, so the attempt costs little.
constexpr absl::Duration kRefusedRetry = absl::Milliseconds(250);

/// Time for which an unresponsive host is only probed, and the interval of the
/// probes. A reply ends it.
constexpr absl::Duration kUnresponsiveTime = absl::Seconds(1);
constexpr absl::Duration kProbeInterval = absl::Milliseconds(100);

/// Longest denial that is kept, so that changes elsewhere are noticed.
constexpr absl::Duration kMaxDenial = absl::Seconds(60);

TroubledHost* FindTrouble(CreditNode& node,
                          absl::string_view host,
                          absl::Time now) {
  const auto found = node.troubled_hosts.find(host);
  return found == node.troubled_hosts.end() || now >= found->second.until
             ? nullptr
             : &found->second;
}

void MarkTrouble(CreditNode& node,
                 const std::string& host,
                 HostTrouble trouble,
                 absl::Time now) {
  TroubledHost& entry = node.troubled_hosts[host];
  entry.trouble = trouble;
  entry.until = now + (trouble == HostTrouble::kRefused ? kRefusedRetry
                                                        : kUnresponsiveTime);
  entry.probe_at = now + kProbeInterval;
}

void Resolve(CreditNode& node,
             const CreditWaiter& waiter,
             const CreditVerdict& verdict,
             absl::Time now,
             CreditOutput& output) {
  ++node.counters.waits;
  node.counters.waited += now - waiter.since;
  ++(verdict.decision == CreditDecision::kGranted ? node.counters.granted
                                                  : node.counters.denied);
  output.resolved.push_back({waiter.id, verdict});
}

/// Decides without owner and deputy.
CreditVerdict DecideAlone(CreditNode& node,
                          AccountCredit& account,
                          absl::Time now) {
  constexpr double kPhaseSteps = 1 << 20;
  const double phase =
      static_cast<double>(base::StableHash({"phase", account.name, node.host}) %
                          static_cast<uint64_t>(kPhaseSteps)) /
      kPhaseSteps;
  const double share = kRestrictedShare / static_cast<double>(std::max<size_t>(
                                              node.hosts.size(), 1));
  CreditVerdict verdict;
  if (TakeFallback(account.stock, account.limits, share, phase, now)) {
    ++node.counters.fallback_granted;
    verdict.decision = CreditDecision::kGranted;
    verdict.expires = now + kCreditLease;
    return verdict;
  }
  ++node.counters.fallback_denied;
  verdict.decision = CreditDecision::kDenied;
  verdict.retry_after = kFallbackRetryAfter;
  return verdict;
}

void UseFallback(CreditNode& node,
                 AccountCredit& account,
                 absl::Time now,
                 CreditOutput& output) {
  account.stock.inquiry.active = false;
  while (!account.stock.waiters.empty()) {
    const CreditWaiter waiter = account.stock.waiters.front();
    account.stock.waiters.pop_front();
    Resolve(node, waiter, DecideAlone(node, account, now), now, output);
  }
}

void Inquire(CreditNode& node,
             AccountCredit& account,
             const std::string& host,
             uint32_t owner_state,
             absl::Time now,
             CreditOutput& output) {
  CreditStock& stock = account.stock;
  if (stock.inquiry.hops >= kMaxHops) {
    UseFallback(node, account, now, output);
    return;
  }
  stock.inquiry.active = true;
  stock.inquiry.id = node.next_inquiry++;
  stock.inquiry.host = host;
  stock.inquiry.owner_state = owner_state;
  stock.inquiry.sent_at = now;
  ++stock.inquiry.hops;
  schema::CreditRequest request;
  request.request_id = stock.inquiry.id;
  request.account = account.name;
  request.wanted = static_cast<uint32_t>(stock.waiters.size());
  request.expected = ExpectedUse(stock);
  request.config_revision = node.config_revision;
  request.owner_state = owner_state;
  if (host == node.host) {
    OnMessage(node, host, Answer(node, request, now), now, output);
    return;
  }
  if (!absl::c_linear_search(node.inquiring, &account)) {
    node.inquiring.push_back(&account);
  }
  ++node.counters.inquiries;
  node.counters.deputy_inquiries += owner_state == 1 ? 1 : 0;
  node.counters.deputy_refused_inquiries += owner_state == 2 ? 1 : 0;
  output.messages.push_back({host, std::move(request)});
}

/// Asks the owner, or the deputy if the owner is known not to answer.
void Ask(CreditNode& node,
         AccountCredit& account,
         absl::Time now,
         CreditOutput& output) {
  if (account.stock.waiters.empty()) {
    account.stock.inquiry.active = false;
    return;
  }
  const CreditPlacement& placement = account.placement;
  if (account.owned.role == CreditRole::kOwner && !node.stopping) {
    Inquire(node, account, node.host, 0, now, output);
    return;
  }
  if (placement.owner.empty()) {
    UseFallback(node, account, now, output);
    return;
  }
  if (placement.owner == node.host) {
    MarkTrouble(node, node.host, HostTrouble::kRefused, now);
  }
  TroubledHost* trouble = FindTrouble(node, placement.owner, now);
  if (trouble == nullptr) {
    Inquire(node, account, placement.owner, 0, now, output);
    return;
  }
  const bool refused = trouble->trouble == HostTrouble::kRefused;
  if (!refused && now >= trouble->probe_at) {
    trouble->probe_at = now + kProbeInterval;
    output.messages.push_back({placement.owner, schema::CreditRequest()});
  }
  if (placement.deputy.empty() ||
      FindTrouble(node, placement.deputy, now) != nullptr) {
    UseFallback(node, account, now, output);
    return;
  }
  Inquire(node, account, placement.deputy, refused ? 2 : 1, now, output);
}

/// Starts a new sequence of messages.
void StartAsking(CreditNode& node,
                 AccountCredit& account,
                 absl::Time now,
                 CreditOutput& output) {
  account.stock.inquiry.hops = 0;
  Ask(node, account, now, output);
}

/// Gives the credit of the stock to the requests that wait, in order.
void ServeWaiters(CreditNode& node,
                  CreditStock& stock,
                  absl::Time now,
                  CreditOutput& output) {
  CreditVerdict verdict;
  verdict.decision = CreditDecision::kGranted;
  while (!stock.waiters.empty() && TakeCredit(stock, now, &verdict.expires)) {
    Resolve(node, stock.waiters.front(), verdict, now, output);
    stock.waiters.pop_front();
  }
}

void OnGranted(CreditNode& node,
               AccountCredit& account,
               const schema::CreditGrant& grant,
               absl::Time now,
               CreditOutput& output) {
  CreditStock& stock = account.stock;
  stock.inquiry.active = false;
  ServeWaiters(node, stock, now, output);
  if (grant.denied_for_us == 0) {
    if (!stock.waiters.empty()) {
      StartAsking(node, account, now, output);
    }
    return;
  }
  CreditVerdict denial;
  denial.decision = CreditDecision::kDenied;
  denial.retry_after = std::min(
      absl::Microseconds(static_cast<int64_t>(std::min<uint64_t>(
          grant.denied_for_us, absl::ToInt64Microseconds(kMaxDenial)))),
      kMaxDenial);
  stock.denied_until = now + denial.retry_after;
  for (const CreditWaiter& waiter : stock.waiters) {
    Resolve(node, waiter, denial, now, output);
  }
  stock.waiters.clear();
}

}  // namespace

CreditVerdict TakeCredit(CreditNode& node,
                         absl::string_view account_name,
                         uint64_t waiter,
                         absl::Time now,
                         CreditOutput& output) {
  CreditVerdict verdict;
  const auto found = node.accounts.find(account_name);
  if (found == node.accounts.end()) {
    // A newer configuration has no limit for the account.
    verdict.decision = CreditDecision::kGranted;
    return verdict;
  }
  AccountCredit& account = *found->second;
  CreditStock& stock = account.stock;
  RecordUse(stock, now);
  if (TakeCredit(stock, now, &verdict.expires)) {
    ++node.counters.granted;
    verdict.decision = CreditDecision::kGranted;
    return verdict;
  }
  if (now < stock.denied_until) {
    ++node.counters.denied;
    verdict.decision = CreditDecision::kDenied;
    verdict.retry_after = stock.denied_until - now;
    return verdict;
  }
  stock.waiters.push_back({waiter, now});
  if (!stock.inquiry.active) {
    StartAsking(node, account, now, output);
  }
  if (!output.resolved.empty() && output.resolved.back().id == waiter) {
    verdict = output.resolved.back().verdict;
    output.resolved.pop_back();
  }
  return verdict;
}

void ReturnCredit(CreditNode& node,
                  absl::string_view account,
                  absl::Time expires,
                  absl::Time now) {
  const auto found = node.accounts.find(account);
  if (found != node.accounts.end()) {
    AddCredit(found->second->stock, 1, expires, now);
  }
}

void CancelWaiter(CreditNode& node,
                  absl::string_view account,
                  uint64_t waiter) {
  const auto found = node.accounts.find(account);
  if (found == node.accounts.end()) {
    return;
  }
  std::deque<CreditWaiter>& waiters = found->second->stock.waiters;
  waiters.erase(
      std::remove_if(waiters.begin(), waiters.end(),
                     [waiter](const auto& each) { return each.id == waiter; }),
      waiters.end());
}

void OnMessage(CreditNode& node,
               absl::string_view from,
               const schema::CreditGrant& grant,
               absl::Time now,
               CreditOutput& output) {
  if (grant.stopping) {
    MarkTrouble(node, std::string(from), HostTrouble::kRefused, now);
  } else {
    node.troubled_hosts.erase(from);
  }
  const auto found = node.accounts.find(grant.account);
  if (found == node.accounts.end()) {
    return;
  }
  AccountCredit& account = *found->second;
  CreditStock& stock = account.stock;
  // The time of sending is before the time of the grant, so this credit expires
  // here before the granting node takes it for expired.
  const absl::Duration valid_for =
      absl::Microseconds(static_cast<int64_t>(std::min<uint64_t>(
          grant.valid_for_us, absl::ToInt64Microseconds(kCreditLease))));
  if (!stock.inquiry.active || grant.request_id != stock.inquiry.id) {
    if (grant.request_id == stock.late.id) {
      stock.late.id = 0;
      AddCredit(stock, grant.granted, stock.late.sent_at + valid_for, now);
      ServeWaiters(node, stock, now, output);
    }
    return;
  }
  if (grant.stopping) {
    Ask(node, account, now, output);
    return;
  }
  if (!grant.refer_to.empty()) {
    Inquire(node, account, grant.refer_to, 0, now, output);
    return;
  }
  AddCredit(stock, grant.granted, stock.inquiry.sent_at + valid_for, now);
  OnGranted(node, account, grant, now, output);
}

void OnConnectionClosed(CreditNode& node,
                        absl::string_view host,
                        bool was_open,
                        bool refused,
                        absl::Time now,
                        CreditOutput& output) {
  const std::vector<AccountCredit*> inquiring = node.inquiring;
  for (AccountCredit* account : inquiring) {
    if (!account->stock.inquiry.active || account->stock.inquiry.host != host) {
      continue;
    }
    // A new connection tells whether a process still listens there.
    if (!was_open) {
      MarkTrouble(node, std::string(host),
                  refused ? HostTrouble::kRefused : HostTrouble::kUnresponsive,
                  now);
    }
    Ask(node, *account, now, output);
  }
}

void DropAccount(CreditNode& node,
                 AccountCredit& account,
                 absl::Time now,
                 CreditOutput& output) {
  CreditVerdict unlimited;
  unlimited.decision = CreditDecision::kGranted;
  for (const CreditWaiter& waiter : account.stock.waiters) {
    Resolve(node, waiter, unlimited, now, output);
  }
  node.inquiring.erase(
      std::remove(node.inquiring.begin(), node.inquiring.end(), &account),
      node.inquiring.end());
}

void AdvanceInquiries(CreditNode& node, absl::Time now, CreditOutput& output) {
  const std::vector<AccountCredit*> inquiring = node.inquiring;
  for (AccountCredit* account : inquiring) {
    CreditStock& stock = account->stock;
    if (stock.inquiry.active &&
        now - stock.inquiry.sent_at >= kInquiryTimeout) {
      stock.late = stock.inquiry;
      MarkTrouble(node, stock.inquiry.host, HostTrouble::kUnresponsive, now);
      Ask(node, *account, now, output);
    }
    while (!stock.waiters.empty() &&
           now - stock.waiters.front().since >= kMaxCreditWait) {
      const CreditWaiter waiter = stock.waiters.front();
      stock.waiters.pop_front();
      Resolve(node, waiter, DecideAlone(node, *account, now), now, output);
    }
  }
  node.inquiring.erase(
      std::remove_if(node.inquiring.begin(), node.inquiring.end(),
                     [](const AccountCredit* account) {
                       return !account->stock.inquiry.active;
                     }),
      node.inquiring.end());
}

}  // namespace boragepaddle::limits
