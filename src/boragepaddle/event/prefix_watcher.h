#ifndef BORAGEPADDLE_EVENT_PREFIX_WATCHER_H_
#define BORAGEPADDLE_EVENT_PREFIX_WATCHER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "absl/time/time.h"
#include "boragepaddle/event/key_value_source.h"
#include "boragepaddle/feed/replica.h"

namespace boragepaddle::event {

/// Times of a watch.
struct PrefixWatcherSettings {
  /// Longest wait of one watch call.
  absl::Duration wait = absl::Seconds(5);
  /// Wait of the first watch after a start or a failure, which shows that the
  /// source is there.
  absl::Duration probe_timeout = absl::Milliseconds(50);
  /// Pause after the first failure; doubles up to the longest.
  absl::Duration initial_backoff = absl::Milliseconds(100);
  absl::Duration max_backoff = absl::Milliseconds(500);
  /// Pause after changes, in which others coalesce_delay for the next answer.
  /// Each call costs the source; changes come together when many workers start.
  absl::Duration coalesce_delay = absl::ZeroDuration();
};

/// What a watch tells its owner.
struct PrefixWatcherEvents {
  /// A full read, or the changes of one answer; may be without items.
  std::function<void(feed::ReplicaUpdate)> on_items;
  std::function<void(const SourceError&)> on_failure;
  std::function<void()> on_recovery;
};

/// Keeps up with all keys of a prefix: reads them in full, then watches, and
/// reads them again when the source no longer has the changes.
class PrefixWatcher {
 public:
  PrefixWatcher(boost::asio::io_context& loop,
                KeyValueSource& source,
                std::string prefix,
                const PrefixWatcherSettings& settings,
                PrefixWatcherEvents events);

  /// Reads once, with a result that may be old, and does not watch.
  void ReadOnce();
  /// Follows the source until stopped.
  void Follow();
  void Stop();

  /// Asks again at once, because a connection may have died during a pause.
  void Restart();

  /// Changes up to the revision are known from elsewhere.
  void AdvanceTo(uint64_t revision);

 private:
  enum class Mode : uint8_t { kStopped, kReadOnce, kFollow };

  void Begin(Mode mode);
  void Run();
  void ListPage(const std::string& after_key);
  void OnPage(SourcePage page);
  void FinishList();
  void WatchNext();
  /// Calls `next` after the pause, unless the watch is restarted meanwhile.
  void RunAfter(absl::Duration pause, void (PrefixWatcher::*next)());
  void OnWatched(uint64_t from, SourcePage page);
  void OnFailure(const SourceError& error);
  void OnSuccess();

  KeyValueSource& source;
  const std::string prefix;
  const PrefixWatcherSettings settings;
  PrefixWatcherEvents events;
  boost::asio::steady_timer timer;
  Mode mode = Mode::kStopped;
  /// Changes after this revision are not known yet.
  uint64_t revision = 0;
  bool must_list = true;
  /// No watch was answered since the start or the last failure.
  bool unconfirmed = true;
  uint32_t failures = 0;
  /// Grows with each restart, so that older callbacks are ignored.
  uint64_t epoch = 0;
  /// A full read in progress.
  feed::ReplicaUpdate listed;
};

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_PREFIX_WATCHER_H_
