#ifndef BORAGEPADDLE_LIMITS_CREDIT_NODE_H_
#define BORAGEPADDLE_LIMITS_CREDIT_NODE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/limits/credit_bucket.h"
#include "boragepaddle/limits/credit_owner.h"
#include "boragepaddle/limits/credit_placement.h"
#include "boragepaddle/limits/credit_stock.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::limits {

/// Time after which an inquiry counts as unanswered and the deputy is asked,
/// and the longest time for which a request waits for credit.
inline constexpr absl::Duration kInquiryTimeout = absl::Milliseconds(30);
inline constexpr absl::Duration kMaxCreditWait = absl::Milliseconds(50);

/// Retry-After without an estimate by the owner.
inline constexpr absl::Duration kFallbackRetryAfter = absl::Milliseconds(500);

/// Time within which an owner must have heard from other nodes in more than
/// half of the zones. Silent zones are probed after half of it.
inline constexpr absl::Duration kPartitionTimeout = absl::Seconds(2);

/// Time for which an owner stays restricted after a partition. The other nodes
/// may have chosen a new owner meanwhile, which the worker list tells later.
inline constexpr absl::Duration kPartitionRecovery = absl::Seconds(3);

enum class CreditDecision : uint8_t { kGranted, kDenied, kPending };

/// Decision about one request.
struct CreditVerdict {
  CreditDecision decision = CreditDecision::kPending;
  /// Granted: until when the credit can be given back.
  absl::Time expires = absl::InfinitePast();
  /// Denied: time until credit is expected.
  absl::Duration retry_after;
};

struct CreditMessage {
  std::string host;
  schema::Message message;
};

struct ResolvedWaiter {
  uint64_t id = 0;
  CreditVerdict verdict;
};

/// What the caller has to do: messages to send, in order, and requests that no
/// longer wait.
struct CreditOutput {
  std::vector<CreditMessage> messages;
  std::vector<ResolvedWaiter> resolved;
};

/// Why a host is not asked.
enum class HostTrouble : uint8_t { kUnresponsive, kRefused };

struct TroubledHost {
  HostTrouble trouble = HostTrouble::kUnresponsive;
  absl::Time until;
  /// Earliest time of the next probe.
  absl::Time probe_at;
};

/// Totals of a node, for the metrics.
struct CreditCounters {
  uint64_t granted = 0;
  uint64_t denied = 0;
  uint64_t inquiries = 0;
  uint64_t owner_grants = 0;
  uint64_t deputy_inquiries = 0;
  uint64_t deputy_refused_inquiries = 0;
  uint64_t fallback_granted = 0;
  uint64_t fallback_denied = 0;
  uint64_t handovers = 0;
  uint64_t waits = 0;
  absl::Duration waited;
};

/// Credit of one account at one node, as owner or deputy and as entry.
struct AccountCredit {
  std::string name;
  CreditLimits limits;
  CreditPlacement placement;
  OwnedCredit owned;
  /// After a handover from a node with a newer list, this node is the owner
  /// until then even if its own list does not say so.
  absl::Time acting_until = absl::InfinitePast();
  CreditStock stock;
};

/// Contact with an availability zone that has other nodes.
struct ZoneContact {
  std::vector<std::string> hosts;
  absl::Time heard_at;
  /// The host that is probed, and the time of the last probe.
  size_t probed = 0;
  absl::Time probed_at = absl::InfinitePast();
};

/// Rate limits of client accounts at one node. Without I/O.
struct CreditNode {
  std::string host;
  uint64_t config_revision = 0;
  bool stopping = false;
  CreditHosts hosts;
  absl::flat_hash_map<std::string, std::unique_ptr<AccountCredit>> accounts;
  /// Accounts with an active inquiry.
  std::vector<AccountCredit*> inquiring;
  absl::flat_hash_map<std::string, TroubledHost> troubled_hosts;
  /// By zone, without this host.
  absl::flat_hash_map<std::string, ZoneContact> zones;
  absl::Time restricted_until = absl::InfinitePast();
  absl::Time next_sweep_at = absl::InfinitePast();
  uint64_t next_inquiry = 1;
  CreditCounters counters;
};

/// Limits by account; accounts without a rate limit are left out.
using CreditAccounts = absl::flat_hash_map<std::string, CreditLimits>;

/// A newer configuration is in force.
void SetAccounts(CreditNode& node,
                 const CreditAccounts& accounts,
                 uint64_t revision,
                 absl::Time now,
                 CreditOutput& output);

/// The list of workers changed.
void SetHosts(CreditNode& node,
              CreditHosts hosts,
              absl::Time now,
              CreditOutput& output);

/// Takes credit for the request with this id. Pending requests are resolved
/// later, or earlier in `output`, if this host itself is responsible.
CreditVerdict TakeCredit(CreditNode& node,
                         absl::string_view account,
                         uint64_t waiter,
                         absl::Time now,
                         CreditOutput& output);

/// A request that had got credit was not run.
void ReturnCredit(CreditNode& node,
                  absl::string_view account,
                  absl::Time expires,
                  absl::Time now);

/// The request no longer waits.
void CancelWaiter(CreditNode& node, absl::string_view account, uint64_t waiter);

/// A message of another node arrived.
void OnMessage(CreditNode& node,
               absl::string_view from,
               const schema::CreditRequest& request,
               absl::Time now,
               CreditOutput& output);
void OnMessage(CreditNode& node,
               absl::string_view from,
               const schema::CreditGrant& grant,
               absl::Time now,
               CreditOutput& output);
void OnMessage(CreditNode& node,
               const schema::CreditHandover& handover,
               absl::Time now);

/// Any message of the host arrived.
void OnHeard(CreditNode& node, absl::string_view host, absl::Time now);

/// A connection to the host closed. `was_open` is false if it could not be
/// opened, and `refused` is true if no process listens there.
void OnConnectionClosed(CreditNode& node,
                        absl::string_view host,
                        bool was_open,
                        bool refused,
                        absl::Time now,
                        CreditOutput& output);

/// Enforces time limits. Called every 10 ms while requests wait, and at least
/// every 200 ms otherwise.
void Advance(CreditNode& node, absl::Time now, CreditOutput& output);

/// True if this node may be cut off from most of the others.
bool IsPartitioned(CreditNode& node, absl::Time now);

}  // namespace boragepaddle::limits

#endif  // BORAGEPADDLE_LIMITS_CREDIT_NODE_H_
