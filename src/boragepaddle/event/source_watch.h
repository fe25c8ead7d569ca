#ifndef BORAGEPADDLE_EVENT_SOURCE_WATCH_H_
#define BORAGEPADDLE_EVENT_SOURCE_WATCH_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/container/btree_set.h"
#include "absl/time/time.h"
#include "boragepaddle/event/key_value_source.h"

namespace boragepaddle::event {

/// Times of a watch.
struct SourceWatchSettings {
  /// Longest wait of one watch call.
  absl::Duration wait = absl::Seconds(8);
  /// Wait of the first watch after a failure, which shows that the source is
  /// back.
  absl::Duration first_wait = absl::Milliseconds(50);
  /// Pause after the first failure; doubles up to the longest.
  absl::Duration first_pause = absl::Milliseconds(100);
  absl::Duration longest_pause = absl::Milliseconds(500);
  /// Pause after changes, in which others gather for the next answer. Each
  /// call costs the source; changes come together when many workers start.
  absl::Duration gather = absl::ZeroDuration();
};

/// What a watch tells its owner.
struct SourceWatchEvents {
  /// All changes of one answer; keys that vanished between two full reads come
  /// as removed.
  std::function<void(const std::vector<schema::KeyValue>&)> on_changes;
  /// The first full read is complete.
  std::function<void()> on_complete;
  std::function<void(const SourceError&)> on_failure;
  std::function<void()> on_recovery;
};

/// Keeps up with all keys of a prefix: reads them in full, then watches, and
/// reads them again when the source no longer has the changes.
class SourceWatch {
 public:
  SourceWatch(boost::asio::io_context& loop,
              KeyValueSource& source,
              std::string prefix,
              const SourceWatchSettings& settings,
              SourceWatchEvents events);

  void Start();

  /// Asks again at once, because a connection may have died during a pause.
  void Restart();

  bool complete() const { return this->read_in_full; }
  bool failing() const { return this->failures > 0; }

 private:
  void ListPage(const std::string& after_key);
  void OnPage(SourcePage page);
  void FinishList();
  void WatchNext();
  /// Calls `next` after the pause, unless the watch is restarted meanwhile.
  void After(absl::Duration pause, void (SourceWatch::*next)());
  void OnWatched(SourcePage page);
  void OnFailure(const SourceError& error);
  void OnSuccess();

  KeyValueSource& source;
  const std::string prefix;
  const SourceWatchSettings settings;
  SourceWatchEvents events;
  boost::asio::steady_timer timer;
  /// Changes after this revision are not known yet; 0 before the first read.
  uint64_t revision = 0;
  bool must_list = true;
  bool read_in_full = false;
  uint32_t failures = 0;
  /// Grows with each restart, so that older callbacks are ignored.
  uint64_t epoch = 0;
  absl::btree_set<std::string> known;
  /// A full read in progress.
  std::vector<schema::KeyValue> listed;
  uint64_t list_revision = 0;
};

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_SOURCE_WATCH_H_
