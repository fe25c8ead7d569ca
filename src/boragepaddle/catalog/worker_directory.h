#ifndef BORAGEPADDLE_CATALOG_WORKER_DIRECTORY_H_
#define BORAGEPADDLE_CATALOG_WORKER_DIRECTORY_H_

#include <cstdint>
#include <string>

#include "absl/container/btree_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/base/store_position.h"

namespace boragepaddle::catalog {

/// A running worker as listed by the platform.
struct WorkerEntry {
  std::string instance;
  std::string service;
  /// IP address of its VM.
  std::string host;
  /// Address of the worker; reachable only from its own VM.
  std::string address;
  std::string availability_zone;
  uint32_t slots = 0;
  bool draining = false;
  /// A worker that started later has the same address, so this one has ended.
  bool superseded = false;
  /// The worker itself said that it is leaving.
  bool leaving = false;
  /// The worker had ended when its entry came back with an older copy of the
  /// source. It is not used from `suspended_from` to `suspended_until`.
  bool suspended = false;
  absl::Time suspended_from = absl::InfiniteFuture();
  absl::Time suspended_until = absl::InfiniteFuture();
  /// Remaining warm-up time after the start, as of `seen_at`.
  absl::Duration warm_up_remaining;
  /// Start time of the worker, in milliseconds since the Unix epoch.
  int64_t started_ms = 0;
  /// Position of the store at which this entry was written.
  base::StorePosition position;
  absl::Time seen_at = absl::InfinitePast();
  /// When an entry that is no longer listed is removed; infinite while it is
  /// listed.
  absl::Time remove_at = absl::InfiniteFuture();
};

/// Settings for entries that disappear around an outage of the list's source.
struct DirectorySettings {
  /// Time after an outage within which live workers register again if their
  /// entries lapsed during it.
  absl::Duration reregistration_grace = absl::Seconds(2);
  /// Time for which it is known that a worker that is not listed was leaving.
  absl::Duration leaving_retention = absl::Minutes(10);
  /// Time within which the source drops the entry of a worker that has ended.
  absl::Duration entry_lifetime = absl::Milliseconds(5500);
};

/// What is known of a process of a worker that may no longer be listed.
struct ProcessMark {
  /// Start of the process, in milliseconds since the Unix epoch.
  int64_t started_ms = 0;
  absl::Time marked_at;
};

/// Workers by instance id.
struct WorkerDirectory {
  DirectorySettings settings;
  absl::btree_map<std::string, WorkerEntry> entries;
  /// Workers that said that they are leaving, by instance id. Kept when an
  /// entry is removed, as it may be listed again after an outage.
  absl::btree_map<std::string, ProcessMark> leaving;
  /// Workers whose entries were removed without that, by instance id.
  absl::btree_map<std::string, ProcessMark> ended;
  absl::Time marks_checked_at = absl::InfinitePast();
  /// Time of day, in milliseconds since the Unix epoch, at which the list was
  /// last known to be complete; 0 if it never was.
  int64_t complete_at_ms = 0;
  /// Time of the last failed read of the source; removals shortly after it are
  /// provisional.
  absl::Time last_source_failure = absl::InfinitePast();
  /// Incremented with every change, so that derived data can be rebuilt.
  uint64_t generation = 0;
};

/// True if the worker may receive new calls.
bool IsUsable(const WorkerEntry& entry);

/// Records a failed read of the list's source.
void OnSourceFailure(WorkerDirectory& directory, absl::Time now);

/// The list's source came back from an older copy. Until the workers register
/// again, their entries may be missing, and those of workers that leave or have
/// ended may be as they were before.
void OnSourceRestored(WorkerDirectory& directory, absl::Time now);

/// Adds or replaces an entry.
void PutWorker(WorkerDirectory& directory, WorkerEntry entry, absl::Time now);

/// Same for an entry that may stem from the older copy. False if a later start
/// of the instance is listed, which then stays.
bool PutRestoredWorker(WorkerDirectory& directory,
                       WorkerEntry entry,
                       absl::Time now);

/// The worker said that it is leaving. True if that was unknown. A process that
/// starts later under the same instance id is not affected. `wall_now` is the
/// time of day: an unlisted process has started before it.
bool MarkLeaving(WorkerDirectory& directory,
                 absl::string_view instance,
                 absl::Time now,
                 absl::Time wall_now);

/// True if the worker gets no new calls because it leaves.
bool IsLeaving(const WorkerEntry& entry);

/// Cancels a pending removal, since the instance is still listed.
void ConfirmWorker(WorkerDirectory& directory, absl::string_view instance);

/// Removes an instance that is no longer listed as of the position. Near an
/// outage, the removal takes effect only after a grace period.
void RemoveWorker(WorkerDirectory& directory,
                  absl::string_view instance,
                  const base::StorePosition& position,
                  absl::Time now);

/// Removes entries whose grace period has ended; suspends and resumes entries
/// of workers that had ended, once it is time. True if anything changed.
bool ExpireWorkers(WorkerDirectory& directory, absl::Time now);

/// Returns the newest worker at the address; null if none is listed.
const WorkerEntry* FindByAddress(const WorkerDirectory& directory,
                                 absl::string_view address);

}  // namespace boragepaddle::catalog

#endif  // BORAGEPADDLE_CATALOG_WORKER_DIRECTORY_H_
