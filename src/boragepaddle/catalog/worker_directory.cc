#include "boragepaddle/catalog/worker_directory.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace boragepaddle::catalog {

namespace {

// The entry of a crashed worker stays listed until its lease expires. When many
// VMs restart at once, such entries make up half of the list, and calls to them
// are refused.
void MarkSuperseded(WorkerDirectory& directory, WorkerEntry& added) {
  for (auto& [instance, other] : directory.entries) {
    if (other.address != added.address || other.instance == added.instance) {
      continue;
    }
    other.superseded |= other.started_ms < added.started_ms;
    added.superseded |= added.started_ms < other.started_ms;
  }
}

/// There is a mark for each worker that ended in the last minutes.
constexpr absl::Duration kMarkCheckInterval = absl::Seconds(10);

using Entries = absl::btree_map<std::string, WorkerEntry>;

// An older copy of the source may list the worker again.
Entries::iterator EraseEntry(WorkerDirectory& directory,
                             Entries::iterator at,
                             absl::Time now) {
  const WorkerEntry& entry = at->second;
  if (IsLeaving(entry)) {
    directory.leaving[entry.instance] = {entry.started_ms, now};
  } else {
    directory.ended[entry.instance] = {entry.started_ms, now};
  }
  return directory.entries.erase(at);
}

/// Drops marks of workers that are not listed once they are too old.
void ExpireMarks(const WorkerDirectory& directory,
                 absl::btree_map<std::string, ProcessMark>& marks,
                 absl::Time now) {
  for (auto mark = marks.begin(); mark != marks.end();) {
    const bool is_old =
        !directory.entries.contains(mark->first) &&
        now - mark->second.marked_at > directory.settings.leaving_retention;
    mark = is_old ? marks.erase(mark) : std::next(mark);
  }
}

// The source keeps the entry of an ended worker for its whole lifetime again,
// and may not drop it during an outage.
void ExtendSuspensions(WorkerDirectory& directory, absl::Time now) {
  for (auto& [instance, entry] : directory.entries) {
    if (entry.suspended_from != absl::InfiniteFuture()) {
      entry.suspended_until = now + directory.settings.entry_lifetime;
    }
  }
}

}  // namespace

bool IsLeaving(const WorkerEntry& entry) {
  return entry.draining || entry.leaving;
}

bool IsUsable(const WorkerEntry& entry) {
  return !IsLeaving(entry) && !entry.superseded && !entry.suspended;
}

void OnSourceFailure(WorkerDirectory& directory, absl::Time now) {
  directory.last_source_failure = std::max(directory.last_source_failure, now);
  ExtendSuspensions(directory, now);
}

// A process that leaves does not stop leaving, so what is known of it holds
// over the return.
void OnSourceRestored(WorkerDirectory& directory, absl::Time now) {
  OnSourceFailure(directory, now);
  for (const auto& [instance, entry] : directory.entries) {
    if (IsLeaving(entry)) {
      directory.leaving[instance] = {entry.started_ms, now};
    }
  }
}

// A worker that had started and was not in a complete list had ended, also
// before this process could see it end.
bool PutRestoredWorker(WorkerDirectory& directory,
                       WorkerEntry entry,
                       absl::Time now) {
  const auto found = directory.entries.find(entry.instance);
  const bool is_listed = found != directory.entries.end();
  if (is_listed && found->second.started_ms > entry.started_ms) {
    return false;
  }
  const auto mark = directory.ended.find(entry.instance);
  const bool is_marked = mark != directory.ended.end() &&
                         entry.started_ms <= mark->second.started_ms;
  const bool has_ended =
      !is_listed && (is_marked || entry.started_ms <= directory.complete_at_ms);
  if (has_ended) {
    entry.suspended = true;
    entry.suspended_from = now;
  } else if (is_listed) {
    // A removal that has not taken effect yet still does, but the entry stays.
    entry.suspended_from = found->second.remove_at;
  }
  entry.suspended_until = now + directory.settings.entry_lifetime;
  PutWorker(directory, std::move(entry), now);
  return true;
}

void PutWorker(WorkerDirectory& directory, WorkerEntry entry, absl::Time now) {
  const auto found = directory.entries.find(entry.instance);
  if (found != directory.entries.end() &&
      found->second.position > entry.position) {
    return;
  }
  entry.seen_at = now;
  const auto mark = directory.leaving.find(entry.instance);
  entry.leaving = mark != directory.leaving.end() &&
                  entry.started_ms <= mark->second.started_ms;
  MarkSuperseded(directory, entry);
  directory.entries[entry.instance] = std::move(entry);
  ++directory.generation;
}

bool MarkLeaving(WorkerDirectory& directory,
                 absl::string_view instance,
                 absl::Time now,
                 absl::Time wall_now) {
  const auto found = directory.entries.find(instance);
  const bool is_listed = found != directory.entries.end();
  if (is_listed ? found->second.leaving
                : directory.leaving.contains(instance)) {
    return false;
  }
  ProcessMark& mark = directory.leaving[std::string(instance)];
  mark.marked_at = now;
  mark.started_ms =
      is_listed ? found->second.started_ms : absl::ToUnixMillis(wall_now);
  if (is_listed) {
    found->second.leaving = true;
    ++directory.generation;
  }
  return true;
}

void ConfirmWorker(WorkerDirectory& directory, absl::string_view instance) {
  const auto found = directory.entries.find(instance);
  if (found != directory.entries.end()) {
    found->second.remove_at = absl::InfiniteFuture();
  }
}

void RemoveWorker(WorkerDirectory& directory,
                  absl::string_view instance,
                  const base::StorePosition& position,
                  absl::Time now) {
  const auto found = directory.entries.find(instance);
  if (found == directory.entries.end() || found->second.position > position) {
    return;
  }
  ++directory.generation;
  const absl::Time grace_end =
      directory.last_source_failure + directory.settings.reregistration_grace;
  // A leaving worker does not come back.
  if (now >= grace_end || IsLeaving(found->second)) {
    EraseEntry(directory, found, now);
    return;
  }
  found->second.remove_at = std::min(found->second.remove_at, grace_end);
}

bool ExpireWorkers(WorkerDirectory& directory, absl::Time now) {
  bool changed = false;
  for (auto entry = directory.entries.begin();
       entry != directory.entries.end();) {
    if (entry->second.remove_at <= now) {
      entry = EraseEntry(directory, entry, now);
      changed = true;
      continue;
    }
    const bool suspended = entry->second.suspended_from <= now &&
                           now < entry->second.suspended_until;
    changed |= suspended != entry->second.suspended;
    entry->second.suspended = suspended;
    ++entry;
  }
  if (now - directory.marks_checked_at >= kMarkCheckInterval) {
    directory.marks_checked_at = now;
    ExpireMarks(directory, directory.leaving, now);
    ExpireMarks(directory, directory.ended, now);
  }
  directory.generation += changed ? 1 : 0;
  return changed;
}

const WorkerEntry* FindByAddress(const WorkerDirectory& directory,
                                 absl::string_view address) {
  const WorkerEntry* newest = nullptr;
  for (const auto& [instance, entry] : directory.entries) {
    if (entry.address == address &&
        (newest == nullptr || entry.started_ms > newest->started_ms ||
         (entry.started_ms == newest->started_ms &&
          entry.position > newest->position))) {
      newest = &entry;
    }
  }
  return newest;
}

}  // namespace boragepaddle::catalog
