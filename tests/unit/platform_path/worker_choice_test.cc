#include "boragepaddle/routing/worker_choice.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "boragepaddle/routing/weighted_round_robin.h"

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

struct Fleet {
  LoadTable table;
  catalog::WorkerDirectory directory;

  Fleet() {
    catalog::PutWorker(this->directory, MakeEntry("1", "a"), At(0));
    catalog::PutWorker(this->directory, MakeEntry("2", "b"), At(0));
    catalog::PutWorker(this->directory, MakeEntry("3", "b"), At(0));
  }

  std::string Choose(const std::vector<std::string>& exclude,
                     bool only_available,
                     uint64_t random = 1) {
    WorkerQuery query;
    query.service = "lending";
    query.availability_zone = "a";
    query.exclude = exclude;
    query.only_available = only_available;
    query.now = At(10);
    query.random = random;
    const auto* worker = ChooseWorker(this->table, this->directory, query);
    return worker == nullptr ? "" : worker->instance;
  }
};

TEST_CASE("The local availability zone is preferred while it has capacity") {
  Fleet fleet;
  for (uint64_t random = 0; random < 50; ++random) {
    CHECK(fleet.Choose({}, true, random) == "1");
  }
  for (int call = 0; call < 18; ++call) {
    OnCallSent(fleet.table, "1");
  }
  std::map<std::string, int> chosen;
  for (uint64_t random = 0; random < 50; ++random) {
    ++chosen[fleet.Choose({}, true, random)];
  }
  CHECK(chosen["1"] == 0);
  // Calls are spread over equal workers.
  CHECK(chosen["2"] > 10);
  CHECK(chosen["3"] > 10);
}

// Guards against requests that time out at a slow worker while faster workers
// in other zones have capacity (one_slow_worker).
TEST_CASE("A slow worker of the local zone is not preferred") {
  Fleet fleet;
  const auto report = [&](const std::string& instance, uint32_t mean_us) {
    schema::GateLoad load;
    load.limit = 20;
    load.mean_us = mean_us;
    OnCallSent(fleet.table, instance);
    OnCallEnded(fleet.table, instance, load, /*failed=*/false, At(10));
  };
  const auto chosen_local = [&] {
    for (int call = 0; call < 10; ++call) {
      OnCallSent(fleet.table, "1");
    }
    int local = 0;
    for (uint64_t random = 0; random < 50; ++random) {
      local += fleet.Choose({}, true, random) == "1" ? 1 : 0;
    }
    for (int call = 0; call < 10; ++call) {
      OnCallLost(fleet.table, "1");
    }
    return local;
  };
  report("1", 100000);
  report("2", 90000);
  report("3", 110000);
  CHECK(chosen_local() == 50);
  report("1", 200000);
  CHECK(chosen_local() == 0);
}

TEST_CASE("Draining and excluded workers and other services are not chosen") {
  Fleet fleet;
  catalog::WorkerEntry draining = MakeEntry("1", "a");
  draining.draining = true;
  draining.position.revision = 9;
  catalog::PutWorker(fleet.directory, draining, At(1));
  catalog::WorkerEntry other = MakeEntry("4", "a");
  other.service = "imaging";
  catalog::PutWorker(fleet.directory, other, At(1));
  CHECK(fleet.Choose({"2"}, true) == "3");
  CHECK(fleet.Choose({"2", "3"}, false).empty());
}

TEST_CASE("Draining and unreachable nodes are chosen last") {
  Fleet fleet;
  schema::LoadNotice notice;
  notice.service = "lending";
  notice.taking = false;
  OnLoadNotice(fleet.table, "1", notice, At(10));
  OnUnreachable(fleet.table, "2", At(9.9));
  CHECK(fleet.Choose({}, true) == "3");
  CHECK(fleet.Choose({"3"}, true).empty());
  CHECK_FALSE(fleet.Choose({"3"}, false).empty());
}

TEST_CASE("A worker with a high failure rate gets fewer calls") {
  Fleet fleet;
  schema::GateLoad load;
  load.limit = 20;
  for (int answer = 0; answer < 100; ++answer) {
    OnCallSent(fleet.table, "1");
    OnCallEnded(fleet.table, "1", load, /*failed=*/answer % 2 == 0, At(10));
  }
  CHECK(fleet.Choose({}, true) != "1");
}

// Guards against calls to a worker that has few calls running because it limits
// their rate, and against a worker that never gets a call again.
TEST_CASE("A worker that has used up its rate limit is avoided for a moment") {
  Fleet fleet;
  schema::GateLoad used;
  used.limit = 19;
  used.mean_us = 20000;
  used.rate_limit = 5000;
  used.rate_used = 1000;
  OnCallSent(fleet.table, "1");
  OnCallEnded(fleet.table, "1", used, /*failed=*/false, At(10));
  CHECK(fleet.Choose({}, true) != "1");
  CHECK(KnownRateLimit(fleet.table, "1") == 5000);
  fleet.table.workers["1"].reported_at = At(8.5);
  CHECK(fleet.Choose({}, true) == "1");
}

TEST_CASE("Targets get requests in proportion to their weights") {
  const std::vector<catalog::RouteTarget> targets = {{"a", 90}, {"b", 10}};
  WeightedRoundRobin split;
  std::map<size_t, int> counts;
  for (int request = 0; request < 100; ++request) {
    ++counts[NextTarget(split, targets)];
  }
  CHECK(counts[0] == 90);
  CHECK(counts[1] == 10);
}

}  // namespace
}  // namespace boragepaddle::routing
