#include "boragepaddle/limits/credit_node.h"

#include <algorithm>
#include <utility>

#include "absl/algorithm/container.h"
#include "boragepaddle/base/stable_hash.h"
#include "boragepaddle/limits/credit_inquiry.h"

namespace boragepaddle::limits {

namespace {

/// Denial by an owner whose configuration does not have the account yet.
constexpr absl::Duration kUnknownAccountDenial = absl::Milliseconds(100);

constexpr absl::Duration kSweepInterval = absl::Milliseconds(500);

/// Time for which a handover from a node with a newer list makes this node the
/// owner; lists differ for at most about 2 s.
constexpr absl::Duration kActingTime = absl::Seconds(3);

constexpr double kMilli = 1000;

void UpdateRole(CreditNode& node,
                AccountCredit& account,
                bool is_new,
                absl::Time now,
                CreditOutput& output) {
  const CreditPlacement& placement = account.placement;
  const bool acts = now < account.acting_until;
  const CreditRole role = placement.owner == node.host || acts
                              ? CreditRole::kOwner
                          : placement.deputy == node.host ? CreditRole::kDeputy
                                                          : CreditRole::kNone;
  if (account.owned.role == CreditRole::kOwner && role != CreditRole::kOwner &&
      !placement.owner.empty() && !node.stopping) {
    schema::CreditHandover handover;
    handover.account = account.name;
    handover.milli_tokens = static_cast<uint64_t>(
        TakeAllTokens(account.owned, account.limits, now) * kMilli);
    handover.config_revision = node.config_revision;
    output.messages.push_back({placement.owner, std::move(handover)});
    ++node.counters.handovers;
  }
  SetRole(account.owned, role, is_new, now);
}

/// Hosts of the second list that are not in the first; both are ordered.
std::vector<absl::string_view> AddedHosts(const CreditHosts& before,
                                          const CreditHosts& after) {
  std::vector<absl::string_view> added;
  auto old = before.begin();
  for (const auto& [host, zone] : after) {
    while (old != before.end() && old->first < host) {
      ++old;
    }
    if (old == before.end() || old->first != host) {
      added.push_back(host);
    }
  }
  return added;
}

// Normally the nodes exchange enough other messages. A zone's host is probed
// until it does not answer, so that probes open few connections.
void ProbeSilentZones(CreditNode& node, absl::Time now, CreditOutput& output) {
  const auto is_silent = [now](const auto& zone) {
    return now - zone.second.heard_at >= kPartitionTimeout / 2;
  };
  const auto silent = absl::c_count_if(node.zones, is_silent);
  if (node.accounts.empty() ||
      2 * silent < static_cast<int64_t>(node.zones.size())) {
    return;
  }
  for (auto& zone : node.zones) {
    if (!is_silent(zone)) {
      continue;
    }
    ZoneContact& contact = zone.second;
    contact.probed += contact.heard_at < contact.probed_at ? 1 : 0;
    contact.probed_at = now;
    output.messages.push_back(
        {contact.hosts[contact.probed % contact.hosts.size()],
         schema::CreditRequest()});
  }
}

}  // namespace

void SetAccounts(CreditNode& node,
                 const CreditAccounts& accounts,
                 uint64_t revision,
                 absl::Time now,
                 CreditOutput& output) {
  const bool is_first = node.config_revision == 0;
  node.config_revision = revision;
  for (auto entry = node.accounts.begin(); entry != node.accounts.end();) {
    if (accounts.contains(entry->first)) {
      ++entry;
      continue;
    }
    DropAccount(node, *entry->second, now, output);
    node.accounts.erase(entry++);
  }
  for (const auto& [name, limits] : accounts) {
    std::unique_ptr<AccountCredit>& account = node.accounts[name];
    if (account == nullptr) {
      account = std::make_unique<AccountCredit>();
      account->name = name;
      account->limits = limits;
      account->placement = Place(name, node.hosts);
      UpdateRole(node, *account, /*is_new=*/!is_first, now, output);
      continue;
    }
    if (account->limits.rate_per_s != limits.rate_per_s ||
        account->limits.burst != limits.burst) {
      account->limits = limits;
      // Credit and denials of the old limit no longer count.
      account->stock.lots.clear();
      account->stock.denied_until = absl::InfinitePast();
    }
  }
}

void SetHosts(CreditNode& node,
              CreditHosts hosts,
              absl::Time now,
              CreditOutput& output) {
  if (hosts == node.hosts) {
    return;
  }
  const std::vector<absl::string_view> added = AddedHosts(node.hosts, hosts);
  for (auto& [name, account] : node.accounts) {
    CreditPlacement& placement = account->placement;
    const bool is_gone =
        (!placement.owner.empty() && !hosts.contains(placement.owner)) ||
        (!placement.deputy.empty() && !hosts.contains(placement.deputy));
    if (is_gone) {
      placement = Place(name, hosts);
      continue;
    }
    for (const absl::string_view host : added) {
      OnHostAdded(placement, name, host);
    }
  }
  node.hosts = std::move(hosts);
  absl::flat_hash_map<std::string, ZoneContact> zones;
  for (const auto& [host, zone] : node.hosts) {
    if (host != node.host) {
      const auto known = node.zones.find(zone);
      ZoneContact& contact = zones[zone];
      if (contact.hosts.empty()) {
        contact.heard_at =
            known == node.zones.end() ? now : known->second.heard_at;
        // Different nodes probe different hosts.
        contact.probed = base::StableHash({"probe", node.host});
      }
      contact.hosts.push_back(host);
    }
  }
  node.zones = std::move(zones);
  for (auto& [name, account] : node.accounts) {
    UpdateRole(node, *account, /*is_new=*/false, now, output);
  }
}

void OnHeard(CreditNode& node, absl::string_view host, absl::Time now) {
  const auto found = node.hosts.find(host);
  if (found != node.hosts.end() && host != node.host) {
    ZoneContact& contact = node.zones[found->second];
    contact.heard_at = std::max(contact.heard_at, now);
  }
}

// A zone without another node cannot be heard and does not count.
bool IsPartitioned(CreditNode& node, absl::Time now) {
  size_t heard = 0;
  for (const auto& [zone, contact] : node.zones) {
    heard += now - contact.heard_at < kPartitionTimeout ? 1 : 0;
  }
  if (!node.zones.empty() && 2 * heard <= node.zones.size()) {
    node.restricted_until = now + kPartitionRecovery;
  }
  return now < node.restricted_until;
}

schema::CreditGrant Answer(CreditNode& node,
                           const schema::CreditRequest& request,
                           absl::Time now) {
  schema::CreditGrant reply;
  reply.request_id = request.request_id;
  reply.account = request.account;
  reply.stopping = node.stopping;
  if (request.account.empty() || node.stopping) {
    return reply;
  }
  const auto found = node.accounts.find(request.account);
  if (found == node.accounts.end()) {
    reply.denied_for_us =
        static_cast<uint64_t>(absl::ToInt64Microseconds(kUnknownAccountDenial));
    return reply;
  }
  AccountCredit& account = *found->second;
  if (account.owned.role == CreditRole::kNone ||
      (account.owned.role == CreditRole::kDeputy && request.owner_state == 0)) {
    reply.refer_to = account.placement.owner;
    return reply;
  }
  if (request.wanted == 0 && request.expected == 0) {
    return reply;
  }
  CreditAsk ask;
  ask.wanted = request.wanted;
  ask.expected = request.expected;
  ask.returned = request.returned;
  ask.owner_refused = request.owner_state == 2;
  const CreditReply granted =
      Grant(account.owned, account.limits, IsPartitioned(node, now), ask, now);
  ++node.counters.owner_grants;
  reply.granted = granted.granted;
  reply.valid_for_us =
      static_cast<uint64_t>(absl::ToInt64Microseconds(kCreditLease));
  reply.denied_for_us =
      static_cast<uint64_t>(absl::ToInt64Microseconds(granted.denied_for));
  return reply;
}

void OnMessage(CreditNode& node,
               absl::string_view from,
               const schema::CreditRequest& request,
               absl::Time now,
               CreditOutput& output) {
  output.messages.push_back({std::string(from), Answer(node, request, now)});
}

void OnMessage(CreditNode& node,
               const schema::CreditHandover& handover,
               absl::Time now) {
  const auto found = node.accounts.find(handover.account);
  if (found == node.accounts.end() || node.stopping) {
    return;
  }
  AccountCredit& account = *found->second;
  account.acting_until = now + kActingTime;
  AcceptHandover(account.owned, account.limits,
                 static_cast<double>(handover.milli_tokens) / kMilli, now);
}

void Advance(CreditNode& node, absl::Time now, CreditOutput& output) {
  AdvanceInquiries(node, now, output);
  if (now < node.next_sweep_at) {
    return;
  }
  node.next_sweep_at = now + kSweepInterval;
  absl::erase_if(node.troubled_hosts,
                 [now](const auto& host) { return now >= host.second.until; });
  for (auto& [name, account] : node.accounts) {
    if (account->acting_until != absl::InfinitePast() &&
        now >= account->acting_until) {
      account->acting_until = absl::InfinitePast();
      UpdateRole(node, *account, /*is_new=*/false, now, output);
    }
  }
  ProbeSilentZones(node, now, output);
}

}  // namespace boragepaddle::limits
