#ifndef BORAGEPADDLE_ROUTING_ACCOUNT_FAIRNESS_H_
#define BORAGEPADDLE_ROUTING_ACCOUNT_FAIRNESS_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"

namespace boragepaddle::routing {

/// Settings of the fair division of one service's capacity among accounts.
struct AccountFairnessSettings {
  /// Time constant of the exponential decay of slot times.
  absl::Duration time_constant = absl::Seconds(2);
  /// Time constant of the long-term demand. An entry node sees only a few
  /// requests of a usual account within the short one, too few to tell it from
  /// an account above its fair share.
  absl::Duration long_time_constant = absl::Seconds(20);
  /// An account leaves nothing to others while its long-term demand is at most
  /// `long_term_tolerance` times its fair share, since that demand is known to
  /// about 20%, and its short-term demand exceeds its fair share by at most
  /// `burst_deviations` standard deviations of a Poisson process.
  double long_term_tolerance = 1.4;
  double burst_deviations = 3;
  /// Accounts known at a time, for each service and priority.
  size_t max_accounts = 1024;
  /// Time for which a computed fair share is valid.
  absl::Duration level_interval = absl::Milliseconds(50);
  /// Slot time, relative to the fair share, from which on an account leaves the
  /// whole reserve to the others.
  double full_reserve_ratio = 1.3;
  /// Long-term served share of an account, relative to that of all, below which
  /// it leaves nothing to others. Larger than the quarter that must hold.
  double min_served_share = 0.3;
};

/// Recent slot time of one account, in seconds, decayed up to `at`.
struct AccountUse {
  /// Of admitted requests.
  double admitted = 0;
  /// Of all requests, also of those that were refused.
  double wanted = 0;
  /// The same with the long time constant.
  double long_admitted = 0;
  double long_wanted = 0;
  absl::Time at = absl::InfinitePast();
};

/// Division of the capacity of one service among the accounts of one priority,
/// as seen by one entry node. Requests without an account form one group, under
/// the empty name.
struct AccountShares {
  absl::flat_hash_map<std::string, AccountUse> accounts;
  /// Slot time in seconds that an account may have had recently if capacity is
  /// divided by max-min fairness; infinite while nothing is refused.
  double fair_share = std::numeric_limits<double>::infinity();
  /// The same for the long-term slot time.
  double long_fair_share = std::numeric_limits<double>::infinity();
  /// Admitted share of the long-term slot time of all accounts.
  double long_served_share = 1;
  absl::Time fair_share_at = absl::InfinitePast();
  /// Accounts that were dropped because the table was full.
  uint64_t evicted = 0;
};

/// Max-min fair share: the level L at which the sum of min(wanted, L) equals
/// `capacity`; infinite if the capacity suffices for all.
double WaterLevel(absl::Span<const double> wanted, double capacity);

/// Records a request that asks for admission for the first time.
void RecordWanted(AccountShares& shares,
                  const AccountFairnessSettings& settings,
                  absl::string_view account,
                  double seconds,
                  absl::Time now);

/// Records an admitted request.
void RecordAdmitted(AccountShares& shares,
                    const AccountFairnessSettings& settings,
                    absl::string_view account,
                    double seconds,
                    absl::Time now);

/// Share of the reserve that a request of the account must leave to the others:
/// from 0 for an account without recent slot time to 1 for one with
/// `full_reserve_ratio` times the fair share. Empty while nothing is refused,
/// or with a single account. `seconds` is the slot time of the request.
absl::optional<double> ReserveShare(AccountShares& shares,
                                    const AccountFairnessSettings& settings,
                                    absl::string_view account,
                                    double seconds,
                                    absl::Time now);

}  // namespace boragepaddle::routing

#endif  // BORAGEPADDLE_ROUTING_ACCOUNT_FAIRNESS_H_
