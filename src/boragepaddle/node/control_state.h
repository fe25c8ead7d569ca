#ifndef BORAGEPADDLE_NODE_CONTROL_STATE_H_
#define BORAGEPADDLE_NODE_CONTROL_STATE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "boragepaddle/dissemination/config_folder.h"
#include "boragepaddle/dissemination/sync_state.h"
#include "boragepaddle/dissemination/zone_index.h"
#include "boragepaddle/membership/change_log.h"
#include "boragepaddle/membership/membership_view.h"
#include "boragepaddle/node/control_action.h"

namespace boragepaddle::node {

/// Checks a configuration and returns its errors. Must depend on the folder
/// alone, so that all nodes reach the same result.
using ConfigCheck = std::function<std::vector<ConfigFault>(
    const dissemination::ConfigFolder& folder)>;

/// Settings of the control plane logic.
struct ControlSettings {
  std::string vm_id;
  std::string availability_zone;
  /// Addresses of the nodes to contact while no VM list is known.
  std::vector<std::string> seed_peers;
};

/// Event counters since the start, for /status and /metrics.
struct ControlCounters {
  uint64_t configs_accepted = 0;
  uint64_t configs_refused = 0;
  uint64_t lists_accepted = 0;
  uint64_t older_ignored = 0;
  uint64_t conflicts = 0;
  uint64_t unusable_deltas = 0;
  uint64_t fetches = 0;
  uint64_t exchanges = 0;
  uint64_t unanswered_exchanges = 0;
  uint64_t platform_reads = 0;
};

/// The current digest exchange.
struct ExchangeState {
  absl::Time next = absl::InfiniteFuture();
  /// Answer deadline of the peer; infinite future if no answer is pending.
  absl::Time answer_due = absl::InfiniteFuture();
  uint32_t tries = 0;
};

/// State of the control plane logic of one node.
struct ControlState {
  ControlState(ControlSettings settings, ConfigCheck check)
      : settings(std::move(settings)), check(std::move(check)) {}

  ControlSettings settings;
  ConfigCheck check;
  dissemination::SyncState config_channel;
  dissemination::SyncState list_channel;
  dissemination::ConfigFolderPtr folder =
      std::make_shared<const dissemination::ConfigFolder>();
  membership::ChangeLog config_log;
  membership::ChangeLog list_log;
  membership::MembershipView view;
  dissemination::ZoneIndex zones;
  /// Rank among the readers of the zone; kReadersPerZone if the node is not a
  /// reader.
  size_t reader_rank = dissemination::kReadersPerZone;
  ExchangeState exchange;
  absl::Time started = absl::InfiniteFuture();
  /// Time from which the platform is watched while a configuration or list is
  /// missing.
  absl::Time startup_watch_at = absl::InfiniteFuture();
  /// True while watches on the platform are open.
  bool watching = false;
  /// Time of the next platform read if this node is not a reader.
  absl::Time next_platform_read = absl::InfiniteFuture();
  /// Number of answers by peers or the platform since the start.
  uint32_t startup_answers = 0;
  absl::Time next_prune = absl::InfinitePast();
  /// Conflicts already reported, so that each raises one alarm.
  std::vector<std::pair<uint64_t, uint64_t>> reported_conflicts;
  ControlCounters counters;
};

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_CONTROL_STATE_H_
