#ifndef BORAGEPADDLE_EVENT_PREFIX_WATCHER_H_
#define BORAGEPADDLE_EVENT_PREFIX_WATCHER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "absl/time/time.h"
#include "boragepaddle/base/store_position.h"
#include "boragepaddle/event/key_value_source.h"
#include "boragepaddle/feed/replica.h"

namespace boragepaddle::event {

/// Timing of a PrefixWatcher.
struct PrefixWatcherSettings {
  /// Longest time for which one watch call waits for changes. Each answer
  /// confirms that all changes are known, so this bounds the age of a
  /// confirmation.
  absl::Duration wait = absl::Milliseconds(900);
  /// Bounds of the time that an answer may take beyond the wait: twice the
  /// latency of the last answer. The upper one applies after a failure, when
  /// the latency is unknown.
  absl::Duration min_response_margin = absl::Milliseconds(250);
  absl::Duration max_response_margin = absl::Seconds(2);
  /// Same for the first watch call after a start or a failure; short, so that
  /// its answer soon confirms that the source is reachable.
  absl::Duration probe_timeout = absl::Milliseconds(50);
  /// Delay before the retry after the first failure. Doubles with each further
  /// failure up to `max_backoff`.
  absl::Duration initial_backoff = absl::Milliseconds(100);
  absl::Duration max_backoff = absl::Milliseconds(500);
  /// Delay between an answer with changes and the next watch call, so that
  /// bursts of changes, as when many workers start, arrive in fewer answers.
  /// Each call costs the source.
  absl::Duration coalesce_delay = absl::ZeroDuration();
};

/// Callbacks of a PrefixWatcher.
struct PrefixWatcherEvents {
  /// Called with a complete listing or with the changes of one watch answer.
  /// The page may contain no items.
  std::function<void(feed::ReplicaUpdate)> on_items;
  std::function<void(const SourceError&)> on_failure;
  std::function<void()> on_recovery;
};

/// Tracks all keys with a prefix: lists them, then watches for changes, and
/// lists them again if the source has compacted the changes that it needs or
/// answers in a newer era.
class PrefixWatcher {
 public:
  PrefixWatcher(boost::asio::io_context& loop,
                KeyValueSource& source,
                std::string prefix,
                const PrefixWatcherSettings& settings,
                PrefixWatcherEvents events);

  /// Lists the keys once and does not watch. A listing that may be stale counts
  /// as of an unknown era, since it may be older than the era that it names.
  void ReadOnce(ReadMode read);
  /// Lists the keys and watches for changes until Stop is called.
  void Follow();
  void Stop();

  /// Aborts the call in progress and repeats it at once. For use after the
  /// process was suspended, when the connection may be dead.
  void Restart();

  /// Skips changes up to the position, which were learned from another source.
  void AdvanceTo(const base::StorePosition& position);

 private:
  enum class Mode : uint8_t { kStopped, kReadOnce, kFollow };

  void Begin(Mode mode);
  void Run();
  void ListPage(const std::string& after_key);
  bool MayBeStale() const;
  /// Turns an answer of an older era into a failure.
  base::Result<SourcePage, SourceError> CheckEra(
      base::Result<SourcePage, SourceError> page) const;
  void OnPage(SourcePage page);
  void FinishList();
  /// Lists again, since the changes after the known position are not available.
  /// The first time at once, then after a pause until a watch is answered.
  void Relist();
  void WatchNext();
  /// Calls `next` after the pause unless the watcher restarts or stops first.
  void RunAfter(absl::Duration pause, void (PrefixWatcher::*next)());
  void OnWatched(const base::StorePosition& from, SourcePage page);
  void OnFailure(const SourceError& error);
  absl::Duration Backoff(uint32_t attempts) const;
  void OnSuccess();

  KeyValueSource& source;
  const std::string prefix;
  const PrefixWatcherSettings settings;
  PrefixWatcherEvents events;
  boost::asio::steady_timer timer;
  Mode mode = Mode::kStopped;
  /// Consistency of the listing of kReadOnce.
  ReadMode read_once = ReadMode::kMaybeStale;
  /// Position up to which all changes are known.
  base::StorePosition position;
  bool must_list = true;
  /// No answer since the start or the last restart has confirmed that the
  /// source is reachable.
  bool unconfirmed = true;
  uint32_t failures = 0;
  /// Lists that were not followed by the answer of a watch.
  uint32_t relists = 0;
  /// Time that the last empty answer took beyond the wait.
  absl::Duration latency;
  /// Incremented by each restart and stop, so that callbacks of earlier calls
  /// are ignored.
  uint64_t epoch = 0;
  /// Items of the listing in progress.
  feed::ReplicaUpdate listed;
};

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_PREFIX_WATCHER_H_
