#include "boragepaddle/routing/account_fairness.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace boragepaddle::routing {

namespace {

/// Slot time in seconds below which an account is forgotten; 1 us is less than
/// any request takes.
constexpr double kNegligible = 1e-6;

/// Refused share of the wanted slot time below which capacity counts as
/// sufficient: rounding and requests that still wait are no shortage.
constexpr double kShortage = 0.02;

void Decay(AccountUse& use,
           const AccountFairnessSettings& settings,
           absl::Time now) {
  // Requests that waited may use an earlier time than the last one.
  if (now <= use.at) {
    return;
  }
  const double factor =
      std::exp(-absl::FDivDuration(now - use.at, settings.time_constant));
  use.admitted *= factor;
  use.wanted *= factor;
  const double long_factor =
      std::exp(-absl::FDivDuration(now - use.at, settings.long_time_constant));
  use.long_admitted *= long_factor;
  use.long_wanted *= long_factor;
  use.at = now;
}

/// Decays all accounts and drops those without recent slot time.
void DecayAll(AccountShares& shares,
              const AccountFairnessSettings& settings,
              absl::Time now) {
  for (auto entry = shares.accounts.begin(); entry != shares.accounts.end();) {
    Decay(entry->second, settings, now);
    const auto current = entry++;
    if (current->second.wanted < kNegligible) {
      shares.accounts.erase(current);
    }
  }
}

/// True if the account is known to be entitled to more than it had.
bool IsBelowFairShare(const AccountShares& shares,
                      const AccountFairnessSettings& settings,
                      const AccountUse& use,
                      double seconds) {
  if (use.long_admitted <
      settings.min_served_share * shares.long_served_share * use.long_wanted) {
    return true;
  }
  const double deviation = std::sqrt(shares.fair_share * seconds);
  return use.long_wanted <=
             settings.long_term_tolerance * shares.long_fair_share &&
         use.wanted <=
             shares.fair_share + settings.burst_deviations * deviation;
}

/// Drops the account with the least recent demand. Ties are broken by name,
/// since the order of the table is not deterministic.
void EvictLeastUsed(AccountShares& shares) {
  const auto least =
      std::min_element(shares.accounts.begin(), shares.accounts.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.wanted != b.second.wanted
                                    ? a.second.wanted < b.second.wanted
                                    : a.first < b.first;
                       });
  shares.accounts.erase(least);
  ++shares.evicted;
}

AccountUse& UseOf(AccountShares& shares,
                  const AccountFairnessSettings& settings,
                  absl::string_view account,
                  absl::Time now) {
  auto found = shares.accounts.find(account);
  if (found == shares.accounts.end()) {
    if (shares.accounts.size() >= settings.max_accounts) {
      DecayAll(shares, settings, now);
    }
    if (shares.accounts.size() >= settings.max_accounts) {
      EvictLeastUsed(shares);
    }
    AccountUse use;
    use.at = now;
    found = shares.accounts.emplace(account, use).first;
  }
  Decay(found->second, settings, now);
  return found->second;
}

void UpdateFairShare(AccountShares& shares,
                     const AccountFairnessSettings& settings,
                     absl::Time now) {
  if (now - shares.fair_share_at < settings.level_interval) {
    return;
  }
  shares.fair_share_at = now;
  DecayAll(shares, settings, now);
  std::vector<double> wanted;
  std::vector<double> long_wanted;
  wanted.reserve(shares.accounts.size());
  long_wanted.reserve(shares.accounts.size());
  double admitted = 0;
  double long_admitted = 0;
  for (const auto& [account, use] : shares.accounts) {
    wanted.push_back(use.wanted);
    long_wanted.push_back(use.long_wanted);
    admitted += use.admitted;
    long_admitted += use.long_admitted;
  }
  const double total = std::accumulate(wanted.begin(), wanted.end(), 0.0);
  const double long_total =
      std::accumulate(long_wanted.begin(), long_wanted.end(), 0.0);
  shares.long_served_share = long_total > 0 ? long_admitted / long_total : 1;
  // What was admitted is the capacity that this priority really got, whatever
  // the other priorities took.
  shares.fair_share = admitted >= (1 - kShortage) * total
                          ? std::numeric_limits<double>::infinity()
                          : WaterLevel(wanted, admitted);
  shares.long_fair_share = WaterLevel(long_wanted, long_admitted);
}

}  // namespace

double WaterLevel(absl::Span<const double> wanted, double capacity) {
  std::vector<double> sorted(wanted.begin(), wanted.end());
  std::sort(sorted.begin(), sorted.end());
  double left = capacity;
  for (size_t index = 0; index < sorted.size(); ++index) {
    const double level = left / static_cast<double>(sorted.size() - index);
    if (sorted[index] > level) {
      return level;
    }
    left -= sorted[index];
  }
  return std::numeric_limits<double>::infinity();
}

void RecordWanted(AccountShares& shares,
                  const AccountFairnessSettings& settings,
                  absl::string_view account,
                  double seconds,
                  absl::Time now) {
  AccountUse& use = UseOf(shares, settings, account, now);
  use.wanted += seconds;
  use.long_wanted += seconds;
}

void RecordAdmitted(AccountShares& shares,
                    const AccountFairnessSettings& settings,
                    absl::string_view account,
                    double seconds,
                    absl::Time now) {
  AccountUse& use = UseOf(shares, settings, account, now);
  use.admitted += seconds;
  use.long_admitted += seconds;
}

absl::optional<double> ReserveShare(AccountShares& shares,
                                    const AccountFairnessSettings& settings,
                                    absl::string_view account,
                                    double seconds,
                                    absl::Time now) {
  if (shares.accounts.size() < 2) {
    return absl::nullopt;
  }
  UpdateFairShare(shares, settings, now);
  if (std::isinf(shares.fair_share)) {
    return absl::nullopt;
  }
  const auto found = shares.accounts.find(account);
  if (found == shares.accounts.end()) {
    return 0;
  }
  AccountUse& use = found->second;
  Decay(use, settings, now);
  if (IsBelowFairShare(shares, settings, use, seconds)) {
    return 0;
  }
  const double whole = settings.full_reserve_ratio * shares.fair_share;
  return use.admitted < whole ? use.admitted / whole : 1;
}

}  // namespace boragepaddle::routing
