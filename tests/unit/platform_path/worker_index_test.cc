#include "boragepaddle/routing/worker_index.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "boragepaddle/routing/choice_explanation.h"
#include "tests/unit/platform_path/worker_choice_simulation.h"

namespace boragepaddle::routing {
namespace {

absl::Time At(double seconds) {
  return absl::UnixEpoch() + absl::Seconds(seconds);
}

catalog::WorkerEntry MakeEntry(const std::string& instance,
                               const std::string& zone) {
  catalog::WorkerEntry entry;
  entry.instance = instance;
  entry.service = "lending";
  entry.host = "10.0.0." + instance;
  entry.availability_zone = zone;
  entry.slots = 20;
  return entry;
}

/// Workers a1 to aN in the zone a, and so on.
struct Fleet {
  LoadTable table;
  catalog::WorkerDirectory directory;
  WorkerIndex index;

  explicit Fleet(const std::vector<std::string>& zones, int per_zone = 3) {
    this->table.settings.use_index = true;
    for (const std::string& zone : zones) {
      for (int number = 1; number <= per_zone; ++number) {
        catalog::PutWorker(this->directory,
                           MakeEntry(zone + std::to_string(number), zone),
                           At(0));
      }
    }
  }

  std::string Choose(uint64_t random,
                     const std::vector<std::string>& exclude = {},
                     bool only_available = true) {
    WorkerQuery query;
    query.service = "lending";
    query.availability_zone = "a";
    query.exclude = exclude;
    query.only_available = only_available;
    query.now = At(10);
    query.random = random;
    const auto* worker = ChooseWorkerForService(this->table, this->directory,
                                                this->index, query);
    return worker == nullptr ? "" : worker->instance;
  }

  std::map<std::string, int> ChooseMany(
      const std::vector<std::string>& exclude = {}) {
    std::map<std::string, int> chosen;
    for (uint64_t random = 0; random < 3000; ++random) {
      ++chosen[this->Choose(random * 7919, exclude)];
    }
    return chosen;
  }

  void Report(const std::string& instance,
              uint32_t running,
              uint32_t speed_percent = 100) {
    schema::LoadNotice notice;
    notice.service = "lending";
    notice.taking = true;
    notice.load.limit = 19;
    notice.load.running = running;
    notice.load.speed_percent = speed_percent;
    OnLoadNotice(this->table, instance, notice, At(10));
  }
};

// Guards against a change for deployments whose workers report no speed.
TEST_CASE("Without reports of a speed the scan decides as before") {
  Fleet fleet({"a", "b"});
  fleet.table.settings.use_index = false;
  fleet.Report("a1", 10, 0);
  for (uint64_t random = 0; random < 200; ++random) {
    WorkerQuery query;
    query.service = "lending";
    query.availability_zone = "a";
    query.now = At(10);
    query.random = random;
    CHECK(ChooseWorkerForService(fleet.table, fleet.directory, fleet.index,
                                 query) ==
          ChooseWorker(fleet.table, fleet.directory, query));
  }
  CHECK_FALSE(fleet.index.generation.has_value());
}

TEST_CASE("The index is used for a service as long as it reports a speed") {
  LoadTable table;
  schema::GateLoad load;
  OnSpeedReport(table, "lending", load, At(1));
  CHECK_FALSE(UsesIndex(table, "lending", At(1)));
  load.speed_percent = 100;
  OnSpeedReport(table, "lending", load, At(1));
  CHECK(UsesIndex(table, "lending", At(2)));
  CHECK_FALSE(UsesIndex(table, "imaging", At(2)));
  CHECK_FALSE(UsesIndex(table, "lending", At(11)));
}

TEST_CASE("The index prefers the own zone while it has capacity") {
  Fleet fleet({"a", "b"});
  for (const auto& worker : fleet.ChooseMany()) {
    CAPTURE(worker.first);
    CHECK(worker.first[0] == 'a');
    CHECK(worker.second > 500);
  }
  for (const char* instance : {"a1", "a2", "a3"}) {
    fleet.Report(instance, 40);
  }
  for (const char* instance : {"b1", "b2", "b3"}) {
    fleet.Report(instance, 5);
  }
  int local = 0;
  for (const auto& [instance, count] : fleet.ChooseMany()) {
    local += instance[0] == 'a' ? count : 0;
  }
  // A call stays in the zone only if both candidates of all zones are there.
  CHECK(local < 3000 / 3);
}

TEST_CASE("The index skips excluded, leaving and refusing workers") {
  Fleet fleet({"a"});
  auto chosen = fleet.ChooseMany({"a1"});
  CHECK(chosen["a1"] == 0);
  catalog::MarkLeaving(fleet.directory, "a2", At(10), At(10));
  chosen = fleet.ChooseMany({"a1"});
  CHECK(chosen["a3"] == 3000);
  schema::LoadNotice notice;
  notice.service = "lending";
  notice.taking = false;
  OnLoadNotice(fleet.table, "a3", notice, At(10));
  CHECK(fleet.Choose(1, {"a1"}).empty());
  // Last resort.
  CHECK(fleet.Choose(1, {"a1"}, /*only_available=*/false) == "a3");
}

TEST_CASE("The index finds the only available one of thirty workers") {
  Fleet fleet({"a"}, /*per_zone=*/30);
  for (int number = 1; number < 30; ++number) {
    OnWorkerFull(fleet.table, "a" + std::to_string(number), At(10));
  }
  CHECK(fleet.ChooseMany()["a30"] == 3000);
}

TEST_CASE("The index follows the list of workers") {
  Fleet fleet({"a"}, /*per_zone=*/1);
  CHECK(fleet.Choose(1) == "a1");
  catalog::PutWorker(fleet.directory, MakeEntry("a2", "a"), At(1));
  CHECK(fleet.ChooseMany()["a2"] > 1000);
  catalog::RemoveWorker(fleet.directory, "a1", {0, 9}, At(5));
  CHECK(fleet.ChooseMany()["a2"] == 3000);
}

TEST_CASE("A worker in its warm-up gets fewer calls") {
  Fleet fleet({"a"});
  for (const char* instance : {"a1", "a2", "a3"}) {
    fleet.Report(instance, 12);
  }
  catalog::WorkerEntry cold = MakeEntry("a1", "a");
  cold.warm_up_remaining = absl::Seconds(20);
  catalog::PutWorker(fleet.directory, cold, At(9));
  auto chosen = fleet.ChooseMany();
  CHECK(chosen["a1"] < chosen["a2"]);
  CHECK(chosen["a1"] < chosen["a3"]);
}

// Guards against calls that wait at a slow machine beside faster ones.
TEST_CASE("A slow machine at steady load gets fewer calls") {
  Fleet fleet({"a"});
  fleet.Report("a1", 10, 170);
  fleet.Report("a2", 10, 80);
  fleet.Report("a3", 10, 80);
  fleet.ChooseMany();
  auto chosen = fleet.ChooseMany();
  CHECK(chosen["a1"] < 0.8 * chosen["a2"]);
  CHECK(chosen["a1"] > 0);
}

// Guards against entries that all send to the worker which looked idle in the
// last report.
TEST_CASE("Many entries that choose from the same old reports do not herd") {
  Fleet fleet({"a"}, /*per_zone=*/20);
  for (int number = 2; number <= 20; ++number) {
    fleet.Report("a" + std::to_string(number), 15);
  }
  fleet.Report("a1", 0);
  const auto chosen = fleet.ChooseMany();
  const double even = 3000.0 / 20;
  CHECK(chosen.at("a1") < 2 * even);
  for (const auto& worker : chosen) {
    CAPTURE(worker.first);
    CHECK(worker.second > 0.5 * even);
  }
}

TEST_CASE("The own calls since the report count") {
  Fleet fleet({"a"}, /*per_zone=*/2);
  fleet.Report("a1", 15);
  fleet.Report("a2", 15);
  for (int call = 0; call < 15; ++call) {
    OnCallSent(fleet.table, "a1");
  }
  auto chosen = fleet.ChooseMany();
  CHECK(chosen["a1"] < 0.4 * chosen["a2"]);
  for (int call = 0; call < 15; ++call) {
    OnCallLost(fleet.table, "a1");
  }
  chosen = fleet.ChooseMany();
  CHECK(chosen["a1"] > 0.8 * chosen["a2"]);
}

// Guards against an explanation that differs from what the path decides.
TEST_CASE("An explained choice names each worker and the one that is chosen") {
  for (const bool use_index : {true, false}) {
    CAPTURE(use_index);
    Fleet fleet({"a", "b"});
    fleet.table.settings.use_index = use_index;
    fleet.Report("a1", 19, 0);
    OnWorkerFull(fleet.table, "a2", At(10));
    catalog::MarkLeaving(fleet.directory, "b1", At(10), At(10));
    const std::vector<std::string> exclude = {"b2"};
    for (uint64_t random = 0; random < 100; ++random) {
      WorkerQuery query;
      query.service = "lending";
      query.availability_zone = "a";
      query.exclude = exclude;
      query.only_available = true;
      query.now = At(10);
      query.random = random;
      const ChoiceExplanation explanation =
          ExplainChoice(fleet.table, fleet.directory, fleet.index, query);
      CHECK(explanation.by_index == use_index);
      CHECK(explanation.chosen == fleet.Choose(random, exclude));
      REQUIRE(explanation.workers.size() == 6);
      CHECK(explanation.workers[0].load > 0.9);
      CHECK(explanation.workers[0].report_age == absl::ZeroDuration());
      CHECK(explanation.workers[1].exclusion == Exclusion::kBackOff);
      CHECK(explanation.workers[2].exclusion == Exclusion::kNone);
      CHECK(explanation.workers[2].report_age == absl::InfiniteDuration());
      CHECK(explanation.workers[3].exclusion == Exclusion::kLeaving);
      CHECK(explanation.workers[4].exclusion == Exclusion::kTried);
    }
  }
}

/// Means over several seeds; sums of the counts.
ChoiceSimulationResult Simulate(ChoiceRule rule,
                                size_t entries,
                                uint64_t seeds) {
  ChoiceSimulationResult sum;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    ChoiceSimulationSettings settings;
    settings.rule = rule;
    settings.entries = entries;
    settings.workers = entries == 13 ? 6 : entries / 3 + 1;
    settings.seed = seed;
    const ChoiceSimulationResult run = ChoiceSimulation(settings).Run();
    const auto share = 1 / static_cast<double>(seeds);
    sum.calls += run.calls;
    sum.refused_beside_room += run.refused_beside_room;
    sum.largest_load += run.largest_load * share;
    sum.load_deviation += run.load_deviation * share;
    sum.p99_ms += run.p99_ms * share;
  }
  return sum;
}

// What callers need: none is refused beside a worker with room, and the slowest
// of a hundred waits no longer than by the scan. The simulation has slow spells
// of 600 ms, bursts, uneven machines and reports with an age of up to 1 s.
TEST_CASE("Bursts and slow spells with old reports, from 13 to 195 entries") {
  for (const size_t entries : {13, 67, 195}) {
    CAPTURE(entries);
    // Fewer workers vary more between seeds.
    const uint64_t seeds = entries == 195 ? 1 : 4;
    const auto scan = Simulate(ChoiceRule::kScan, entries, seeds);
    const auto index = Simulate(ChoiceRule::kIndex, entries, seeds);
    MESSAGE("entries " << entries << ": largest load " << scan.largest_load
                       << " by the scan, " << index.largest_load
                       << " by the index; p99 " << scan.p99_ms << " and "
                       << index.p99_ms << " ms");
    CHECK(index.refused_beside_room <= index.calls / 1000);
    // Few entries overrun no worker by the scan either.
    const double better = entries == 13 ? 1.05 : 0.9;
    CHECK(index.p99_ms <= scan.p99_ms);
    CHECK(index.largest_load <= scan.largest_load * better);
    CHECK(index.load_deviation <= scan.load_deviation * better * 1.05);
  }
}

// Guards against a choice that floods a worker whose reports stop arriving, for
// lack of a load, or avoids it for ever.
TEST_CASE("A worker whose reports stop is neither flooded nor avoided") {
  ChoiceSimulationSettings settings;
  settings.rule = ChoiceRule::kIndex;
  settings.entries = 67;
  settings.workers = 24;
  settings.load = 0.6;
  settings.silent_from = 3;
  settings.silent_until = 6;
  settings.seconds = 9;
  const ChoiceSimulationResult result = ChoiceSimulation(settings).Run();
  MESSAGE("share while silent " << result.share_while_silent << ", after it "
                                << result.share_after_silence);
  // The own calls without an answer add up, so the share falls.
  CHECK(result.share_while_silent < 1.5);
  CHECK(result.share_after_silence > 0.5);
  CHECK(result.share_after_silence < 2);
  CHECK(result.refused_beside_room <= result.calls / 1000);
}

}  // namespace
}  // namespace boragepaddle::routing
