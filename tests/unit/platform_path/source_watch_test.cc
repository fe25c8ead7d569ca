#include "boragepaddle/event/source_watch.h"

#include <doctest/doctest.h>

#include <boost/asio/post.hpp>
#include <chrono>
#include <deque>
#include <string>
#include <vector>

namespace boragepaddle::event {
namespace {

using Answer = base::Result<SourcePage, SourceError>;

/// Answers reads from a script and records them.
struct ScriptedSource : KeyValueSource {
  explicit ScriptedSource(boost::asio::io_context& loop) : loop(loop) {}

  void List(absl::string_view,
            absl::string_view after_key,
            Callback callback) override {
    this->Next("list:" + std::string(after_key), std::move(callback));
  }
  void Watch(absl::string_view,
             uint64_t after_revision,
             absl::Duration wait,
             Callback callback) override {
    this->waits.push_back(wait);
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
};

struct Harness {
  boost::asio::io_context loop{1};
  ScriptedSource source{loop};
  std::vector<schema::KeyValue> changes;
  absl::Duration gather = absl::ZeroDuration();
  int completions = 0;
  int failures = 0;
  int recoveries = 0;

  void Run() {
    SourceWatchEvents events;
    events.on_changes = [this](const std::vector<schema::KeyValue>& items) {
      this->changes.insert(this->changes.end(), items.begin(), items.end());
    };
    events.on_complete = [this] { ++this->completions; };
    events.on_failure = [this](const SourceError&) { ++this->failures; };
    events.on_recovery = [this] { ++this->recoveries; };
    SourceWatchSettings settings;
    settings.gather = this->gather;
    settings.first_pause = absl::Milliseconds(1);
    SourceWatch watch(this->loop, this->source, "w/", settings, events);
    watch.Start();
    this->loop.run();
  }
};

TEST_CASE("Pages are read to the end, then watched from the first page on") {
  // Guards against losing changes that happened between two pages.
  Harness harness;
  harness.source.answers = {SourcePage{{{"w/a", "1", 3, false}}, 10, true},
                            SourcePage{{{"w/b", "1", 12, false}}, 13, false},
                            SourcePage{{{"w/a", "", 11, true}}, 13, false}};
  harness.Run();
  CHECK(harness.source.calls ==
        std::vector<std::string>{"list:", "list:w/a", "watch:10", "watch:13"});
  CHECK(harness.completions == 1);
  CHECK(harness.changes.size() == 3);
}

TEST_CASE("After a compaction, keys that vanished come as removed") {
  Harness harness;
  harness.source.answers = {
      SourcePage{{{"w/a", "1", 3, false}, {"w/b", "1", 4, false}}, 10, false},
      SourceError{SourceErrorCode::kCompacted, 410},
      SourcePage{{{"w/b", "1", 4, false}}, 20, false}};
  harness.Run();
  REQUIRE(harness.changes.size() == 4);
  CHECK(harness.changes.back().key == "w/a");
  CHECK(harness.changes.back().removed);
  CHECK(harness.changes.back().revision == 20);
  CHECK(harness.failures == 0);
}

TEST_CASE("Changes gather for a moment before the next watch") {
  // Guards against one call a node for each worker of a fleet that starts.
  Harness harness;
  harness.gather = absl::Milliseconds(40);
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

TEST_CASE("The first watch after a failure is short") {
  // Guards against noticing the end of an outage only with the next change,
  // which then passes for an entry that lapsed during the outage.
  Harness harness;
  harness.source.answers = {SourcePage{{}, 10, false},
                            SourceError{SourceErrorCode::kUnreachable, 0},
                            SourcePage{{}, 11, false}};
  harness.Run();
  CHECK(harness.failures == 1);
  CHECK(harness.recoveries == 1);
  REQUIRE(harness.source.waits.size() == 3);
  CHECK(harness.source.waits[1] <= absl::Milliseconds(100));
  CHECK(harness.source.waits[2] > absl::Seconds(1));
}

}  // namespace
}  // namespace boragepaddle::event
