#ifndef BORAGEPADDLE_CATALOG_WORKER_DIRECTORY_H_
#define BORAGEPADDLE_CATALOG_WORKER_DIRECTORY_H_

#include <cstdint>
#include <string>

#include "absl/container/btree_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace boragepaddle::catalog {

/// One running worker as the platform lists it.
struct WorkerEntry {
  std::string instance;
  std::string service;
  /// IP address of its VM.
  std::string host;
  /// Address of the worker; only its own VM can connect to it.
  std::string address;
  std::string availability_zone;
  uint32_t slots = 0;
  bool draining = false;
  /// A worker that started later has the address, so this one has ended.
  bool superseded = false;
  /// Remaining time of slow work after the start, as of `seen_at`.
  absl::Duration warm_up_remaining;
  /// Start of the worker, in milliseconds since the Unix epoch.
  int64_t started_ms = 0;
  /// Store revision of the entry.
  uint64_t revision = 0;
  absl::Time seen_at = absl::InfinitePast();
  /// When an entry that vanished counts as gone; infinite while it is listed.
  absl::Time remove_at = absl::InfiniteFuture();
};

/// Rules for entries that vanish around an outage of the list's source.
struct DirectorySettings {
  /// Entries that lapsed during an outage are back within this time after it,
  /// if the worker lives.
  absl::Duration reregistration_grace = absl::Seconds(2);
};

/// Workers by instance id.
struct WorkerDirectory {
  DirectorySettings settings;
  absl::btree_map<std::string, WorkerEntry> entries;
  /// Highest store revision applied.
  uint64_t revision = 0;
  /// Last failed read of the source; removals near to it are not yet final.
  absl::Time last_source_failure = absl::InfinitePast();
  /// Grows with every change, so that users can rebuild what they derive.
  uint64_t generation = 0;
};

/// True if the worker may be given new calls.
bool IsUsable(const WorkerEntry& entry);

/// The list's source failed at this time.
void OnSourceFailure(WorkerDirectory& directory, absl::Time now);

/// Adds or replaces an entry.
void PutWorker(WorkerDirectory& directory, WorkerEntry entry, absl::Time now);

/// The instance is listed as before; a pending removal is dropped.
void ConfirmWorker(WorkerDirectory& directory, absl::string_view instance);

/// The instance is no longer listed as of the revision.
void RemoveWorker(WorkerDirectory& directory,
                  absl::string_view instance,
                  uint64_t revision,
                  absl::Time now);

/// Drops entries whose grace is over. True if any was dropped.
bool ExpireWorkers(WorkerDirectory& directory, absl::Time now);

/// Newest worker at the address; null if none is listed.
const WorkerEntry* FindByAddress(const WorkerDirectory& directory,
                                 absl::string_view address);

}  // namespace boragepaddle::catalog

#endif  // BORAGEPADDLE_CATALOG_WORKER_DIRECTORY_H_
