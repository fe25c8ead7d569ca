#include "boragepaddle/event/prefix_watcher.h"

#include <doctest/doctest.h>

#include <boost/asio/post.hpp>
#include <chrono>
#include <deque>
#include <string>
#include <vector>

namespace boragepaddle::event {
namespace {

using Answer = base::Result<SourcePage, SourceError>;

/// Responds to reads from a script and records them.
struct ScriptedSource : KeyValueSource {
  explicit ScriptedSource(boost::asio::io_context& loop) : loop(loop) {}

  void List(absl::string_view,
            absl::string_view after_key,
            ReadMode mode,
            Callback callback) override {
    const bool old = mode == ReadMode::kMaybeStale;
    this->Next((old ? "old:" : "list:") + std::string(after_key),
               std::move(callback));
  }
  void Watch(absl::string_view,
             uint64_t after_revision,
             absl::Duration wait,
             absl::Duration response_margin,
             Callback callback) override {
    this->waits.push_back(wait);
    this->response_margins.push_back(response_margin);
    this->Next("watch:" + std::to_string(after_revision), std::move(callback));
  }
  void Abort() override {}

  void Next(const std::string& call, Callback callback) {
    this->calls.push_back(call);
    if (this->answers.empty()) {
      return;
    }
    Answer answer = this->answers.front();
    this->answers.pop_front();
    boost::asio::post(this->loop, [answer, callback] { callback(answer); });
  }

  boost::asio::io_context& loop;
  std::deque<Answer> answers;
  std::vector<std::string> calls;
  std::vector<absl::Duration> waits;
  std::vector<absl::Duration> response_margins;
};

struct Harness {
  boost::asio::io_context loop{1};
  ScriptedSource source{loop};
  feed::Replica replica;
  std::vector<schema::KeyValue> changes;
  absl::Duration coalesce_delay = absl::ZeroDuration();
  int whole_pages = 0;
  bool read_once = false;
  uint64_t known_revision = 0;
  int failures = 0;
  int recoveries = 0;

  void Run() {
    PrefixWatcherEvents events;
    events.on_items = [this](feed::ReplicaUpdate page) {
      this->whole_pages += page.is_snapshot ? 1 : 0;
      const auto result = feed::ApplyUpdate(this->replica, std::move(page));
      CHECK(result.error == feed::UpdateError::kNone);
      this->changes.insert(this->changes.end(), result.changes.begin(),
                           result.changes.end());
    };
    events.on_failure = [this](const SourceError&) { ++this->failures; };
    events.on_recovery = [this] { ++this->recoveries; };
    PrefixWatcherSettings settings;
    settings.coalesce_delay = this->coalesce_delay;
    settings.initial_backoff = absl::Milliseconds(1);
    PrefixWatcher watch(this->loop, this->source, "w/", settings, events);
    if (this->read_once) {
      watch.ReadOnce(ReadMode::kMaybeStale);
    } else {
      if (this->known_revision > 0) {
        watch.AdvanceTo({0, this->known_revision});
      }
      watch.Follow();
    }
    this->loop.run();
  }
};

TEST_CASE(
    "All pages are listed, then watched from the revision of the first page") {
  // Guards against the loss of changes that happen between two pages.
  Harness harness;
  harness.source.answers = {SourcePage{{{"w/a", "1", 3, false}}, 10, true},
                            SourcePage{{{"w/b", "1", 12, false}}, 13, false},
                            SourcePage{{{"w/a", "", 11, true}}, 13, false}};
  harness.Run();
  CHECK(harness.source.calls ==
        std::vector<std::string>{"list:", "list:w/a", "watch:10", "watch:13"});
  CHECK(harness.whole_pages == 1);
  CHECK(harness.changes.size() == 3);
}

TEST_CASE("Keys that are missing after a compaction are reported as removed") {
  Harness harness;
  harness.source.answers = {
      SourcePage{{{"w/a", "1", 3, false}, {"w/b", "1", 4, false}}, 10, false},
      SourceError{SourceErrorCode::kCompacted, 410},
      SourcePage{{{"w/b", "1", 4, false}}, 20, false}};
  harness.Run();
  // The unchanged item in the new list is not a change.
  REQUIRE(harness.changes.size() == 3);
  CHECK(harness.replica.items.size() == 1);
  CHECK(harness.replica.items.contains("w/b"));
  CHECK(harness.changes.back().key == "w/a");
  CHECK(harness.changes.back().removed);
  CHECK(harness.changes.back().revision == 20);
  CHECK(harness.failures == 0);
}

TEST_CASE("Changes are batched before the next watch") {
  // Guards against one call per node for each worker of a starting fleet.
  Harness harness;
  harness.coalesce_delay = absl::Milliseconds(40);
  harness.source.answers = {SourcePage{{}, 10, false},
                            SourcePage{{{"w/a", "1", 11, false}}, 11, false},
                            SourcePage{{}, 12, false}};
  const auto start = std::chrono::steady_clock::now();
  harness.Run();
  CHECK(std::chrono::steady_clock::now() - start >=
        std::chrono::milliseconds(40));
  CHECK(harness.source.calls ==
        std::vector<std::string>{"list:", "watch:10", "watch:11", "watch:12"});
}

TEST_CASE("The first watch after a failure has a short time-out") {
  // Guards against detecting the end of an outage only with the next change,
  // which would then be taken for an entry that expired during the outage.
  Harness harness;
  harness.source.answers = {SourcePage{{}, 10, false},
                            SourceError{SourceErrorCode::kUnreachable, 0},
                            SourcePage{{}, 11, false}};
  harness.Run();
  CHECK(harness.failures == 1);
  CHECK(harness.recoveries == 1);
  REQUIRE(harness.source.waits.size() == 3);
  CHECK(harness.source.waits[1] <= absl::Milliseconds(100));
  CHECK(harness.source.waits[2] > harness.source.waits[1]);
}

TEST_CASE("A watch without an answer fails before a change can be late") {
  // Guards against a connection that the source no longer answers.
  Harness harness;
  harness.source.answers = {SourcePage{{}, 10, false},
                            SourcePage{{}, 10, false}};
  harness.Run();
  REQUIRE(harness.source.waits.size() == 2);
  // Shortest time that deployments allow for a change, less the time in which
  // another node reads and distributes it.
  CHECK(harness.source.waits[1] + harness.source.response_margins[1] <=
        absl::Milliseconds(1300));
}

TEST_CASE("A possibly stale read is made once and not followed by a watch") {
  Harness harness;
  harness.read_once = true;
  harness.source.answers = {SourcePage{{{"w/a", "1", 3, false}}, 10, true},
                            SourcePage{{{"w/b", "1", 4, false}}, 10, false}};
  harness.Run();
  CHECK(harness.source.calls == std::vector<std::string>{"old:", "old:w/a"});
  CHECK(harness.replica.items.size() == 2);
}

TEST_CASE("A copy that came from another node is not listed again") {
  // Guards against one full read per node when the sources of many nodes time
  // out.
  Harness harness;
  harness.known_revision = 7;
  harness.source.answers = {SourcePage{{}, 7, false}};
  harness.replica.position.revision = 7;
  harness.Run();
  CHECK(harness.source.calls == std::vector<std::string>{"watch:7", "watch:7"});
  CHECK(harness.source.waits[0] <= absl::Milliseconds(100));
}

SourcePage PageOfEra(uint64_t era, SourcePage page) {
  page.era = era;
  return page;
}

// Guards against a copy that keeps what the store lost: the revision of the
// watch exists again in the new era, so the answer is not kCompacted.
TEST_CASE("An answer in a newer era is followed by a list") {
  Harness harness;
  harness.source.answers = {
      PageOfEra(1, {{{"w/a", "1", 10, false}}, 10, false}),
      PageOfEra(2, {{{"w/a", "2", 11, false}}, 11, false}),
      PageOfEra(2, {{{"w/b", "1", 6, false}}, 7, false}),
      PageOfEra(2, {{}, 7, false})};
  harness.Run();
  CHECK(harness.source.calls == std::vector<std::string>{"list:", "watch:10",
                                                         "list:", "watch:7",
                                                         "watch:7"});
  CHECK(harness.replica.position == base::StorePosition{2, 7});
  CHECK_FALSE(harness.replica.items.contains("w/a"));
}

TEST_CASE("A list whose pages are of two eras starts again") {
  Harness harness;
  harness.source.answers = {PageOfEra(1, {{{"w/a", "1", 10, false}}, 10, true}),
                            PageOfEra(2, {{{"w/b", "1", 6, false}}, 7, false}),
                            PageOfEra(2, {{{"w/b", "1", 6, false}}, 7, false})};
  harness.Run();
  CHECK(harness.source.calls ==
        std::vector<std::string>{"list:", "list:w/a", "list:", "watch:7"});
  CHECK(harness.whole_pages == 1);
  CHECK_FALSE(harness.replica.items.contains("w/a"));
}

// Guards against thousands of calls a second to a source that cannot answer any
// watch, as when it drops its history all the time.
TEST_CASE(
    "Lists follow each other at growing intervals while no watch is answered") {
  Harness harness;
  constexpr int kLists = 6;
  for (int round = 0; round < kLists; ++round) {
    harness.source.answers.push_back(SourcePage{{}, 10, false});
    harness.source.answers.push_back(
        SourceError{SourceErrorCode::kCompacted, 410});
  }
  const auto start = std::chrono::steady_clock::now();
  harness.Run();
  // The first list after a compaction comes at once. The script's backoff
  // starts at 1 ms and doubles: 1 + 2 + 4 + 8 + 16 ms.
  CHECK(std::chrono::steady_clock::now() - start >=
        std::chrono::milliseconds(31));
  CHECK(harness.whole_pages == kLists);
}

// Guards against a copy of before the return that a cheap read gives under the
// new era: no later answer could replace it.
TEST_CASE("A listing that may be stale counts as of an unknown era") {
  Harness harness;
  harness.read_once = true;
  harness.source.answers = {
      PageOfEra(2, {{{"w/a", "1", 12, false}}, 12, false})};
  harness.Run();
  CHECK(harness.replica.position == base::StorePosition{0, 12});
}

// Guards against a late answer of the store before its return, and an address
// that still answers in the era before or names none.
TEST_CASE("An answer in an older era is a failure and changes nothing") {
  Harness harness;
  harness.source.answers = {
      PageOfEra(2, {{{"w/a", "1", 6, false}}, 7, false}),
      PageOfEra(1, {{{"w/a", "1", 12, false}}, 12, false}),
      PageOfEra(0, {{{"w/a", "1", 12, false}}, 12, false}),
      PageOfEra(2, {{{"w/a", "1", 8, false}}, 8, false})};
  harness.Run();
  CHECK(harness.failures == 2);
  CHECK(harness.recoveries == 1);
  CHECK(harness.replica.position == base::StorePosition{2, 8});
}

}  // namespace
}  // namespace boragepaddle::event
