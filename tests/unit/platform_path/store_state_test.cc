#include "boragepaddle/proxy/store_state.h"

#include <doctest/doctest.h>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace boragepaddle::proxy {
namespace {

absl::Time At(double seconds) {
  return absl::UnixEpoch() + absl::Seconds(seconds);
}

/// Decoders for documents that consist of `VERSION` or `SERVICE`.
StoreState MakeState() {
  StoreState state;
  state.dialect.config_key = "cfg/now";
  state.dialect.worker_prefix = "w/";
  state.dialect.decode_catalog = [](absl::string_view document)
      -> base::Result<catalog::RouteCatalog, DocumentFault> {
    if (document == "bad") {
      return DocumentFault{"bad"};
    }
    catalog::RouteCatalog catalog;
    catalog.version = std::string(document);
    // `vN` is version N.
    catalog.version_order = static_cast<uint64_t>(document[1] - '0');
    return catalog;
  };
  state.dialect.decode_worker = [](absl::string_view key,
                                   absl::string_view document)
      -> base::Result<catalog::WorkerEntry, DocumentFault> {
    if (document == "bad") {
      return DocumentFault{"bad"};
    }
    catalog::WorkerEntry entry;
    entry.instance = std::string(key.substr(2));
    // `SERVICE`, `SERVICE/draining` or `SERVICE@START`.
    const std::pair<std::string, std::string> start =
        absl::StrSplit(document, absl::MaxSplits('@', 1));
    entry.draining = absl::EndsWith(start.first, "/draining");
    entry.service = std::string(absl::StripSuffix(start.first, "/draining"));
    entry.started_ms = start.second.empty() ? 0 : start.second[0] - '0';
    return entry;
  };
  return state;
}

TEST_CASE("An older configuration does not replace a newer one") {
  StoreState state = MakeState();
  ApplyItems(state, {{"cfg/now", "v5", 5, false}}, 0, At(0));
  ApplyItems(state, {{"cfg/now", "v4", 4, false}}, 0, At(1));
  CHECK(state.routes->version == "v5");
  ApplyItems(state, {{"cfg/now", "v6", 6, false}}, 0, At(2));
  CHECK(state.routes->version == "v6");
}

TEST_CASE(
    "A rejected or removed configuration leaves the previous one in force") {
  StoreState state = MakeState();
  ApplyItems(state, {{"cfg/now", "v5", 5, false}}, 0, At(0));
  const auto refused =
      ApplyItems(state, {{"cfg/now", "bad", 6, false}}, 0, At(1));
  CHECK(refused[0].kind == StoreChange::Kind::kConfigRefused);
  ApplyItems(state, {{"cfg/now", "", 7, true}}, 0, At(2));
  CHECK(state.routes->version == "v5");
}

TEST_CASE("A malformed entry removes only its own worker") {
  StoreState state = MakeState();
  ApplyItems(state, {{"w/a", "s", 1, false}, {"w/b", "s", 2, false}}, 0, At(0));
  ApplyItems(state, {{"w/b", "bad", 3, false}, {"w/c", "bad", 4, false}}, 0,
             At(10));
  CHECK(state.workers.entries.size() == 1);
  CHECK(state.workers.entries.contains("a"));
}

TEST_CASE("Repeated items change nothing") {
  StoreState state = MakeState();
  const std::vector<schema::KeyValue> items = {{"cfg/now", "v5", 5, false},
                                               {"w/a", "s", 6, false}};
  ApplyItems(state, items, 0, At(0));
  const auto again = ApplyItems(state, items, 0, At(2));
  CHECK(again[0].kind == StoreChange::Kind::kEntryIgnored);
  CHECK(again[1].kind == StoreChange::Kind::kUnchanged);
  CHECK(state.routes->position.revision == 5);
  CHECK(state.workers.entries.contains("a"));
}

// Guards against requests that are handled as only an older version allows,
// while the operator has not yet written again what the store lost.
TEST_CASE(
    "A lost version stays in force until the store has it or a later one") {
  StoreState state = MakeState();
  ApplyItems(state, {{"cfg/now", "v5", 15, false}}, 1, At(0));
  const auto retained =
      ApplyItems(state, {{"cfg/now", "v3", 9, false}}, 2, At(1));
  CHECK(retained[0].kind == StoreChange::Kind::kConfigRetained);
  CHECK(state.routes->version == "v5");
  // The operator writes what was lost again, one version after the other.
  ApplyItems(state, {{"cfg/now", "v4", 10, false}}, 2, At(2));
  CHECK(state.routes->version == "v5");
  CHECK_FALSE(LostItems(state).empty());
  ApplyItems(state, {{"cfg/now", "v5", 11, false}}, 2, At(3));
  CHECK(state.routes->position == base::StorePosition{2, 11});
  CHECK(LostItems(state).empty());
  ApplyItems(state, {{"cfg/now", "v6", 12, false}}, 2, At(4));
  CHECK(state.routes->version == "v6");
}

// Guards against the fault of issue 54: the next change has a revision below
// the highest one that was seen.
TEST_CASE("The next version after a return is in force at once") {
  StoreState state = MakeState();
  ApplyItems(state, {{"cfg/now", "v5", 15, false}}, 1, At(0));
  ApplyItems(state, {{"cfg/now", "v6", 9, false}}, 2, At(1));
  CHECK(state.routes->version == "v6");
}

// Guards against a version that stays for ever if nobody writes it again.
TEST_CASE("A lost version that nobody writes again ends") {
  StoreState state = MakeState();
  ApplyItems(state, {{"cfg/now", "v5", 15, false}}, 1, At(0));
  ApplyItems(state, {{"cfg/now", "v3", 9, false}}, 2, At(1));
  CHECK(ExpireLostConfig(state, true, At(60)).empty());
  CHECK(ExpireLostConfig(state, true, At(62)).size() == 1);
  CHECK(state.routes->version == "v3");
  CHECK(state.routes->position == base::StorePosition{2, 9});
  // Another node that has not given it up yet does not bring it back.
  ApplyLostItems(state, {{"cfg/now", "v5", 15, false}}, At(63));
  CHECK(state.routes->version == "v3");
  ApplyItems(state, {{"cfg/now", "v4", 10, false}}, 2, At(64));
  CHECK(state.routes->version == "v4");
}

// Guards against the end of a lost version while nobody can write it again:
// the store is down, the process is frozen, or the store returns once more.
TEST_CASE("Only time in which the copy is current ends a lost version") {
  StoreState state = MakeState();
  ApplyItems(state, {{"cfg/now", "v5", 15, false}}, 1, At(0));
  ApplyItems(state, {{"cfg/now", "v3", 9, false}}, 2, At(1));
  CHECK(ExpireLostConfig(state, false, At(100)).empty());
  CHECK(ExpireLostConfig(state, true, At(159)).empty());
  ApplyItems(state, {}, 3, At(159));
  CHECK(ExpireLostConfig(state, true, At(200)).empty());
  CHECK(state.routes->version == "v5");
}

TEST_CASE("A new process takes a lost version from another node") {
  StoreState state = MakeState();
  ApplyItems(state, {{"cfg/now", "v3", 9, false}}, 2, At(0));
  ApplyLostItems(state, {{"cfg/now", "v5", 15, false}}, At(1));
  CHECK(state.routes->version == "v5");
  ApplyLostItems(state, {{"cfg/now", "v4", 14, false}}, At(1));
  CHECK(state.routes->version == "v5");
  ApplyItems(state, {{"cfg/now", "v5", 10, false}}, 2, At(2));
  CHECK(state.routes->position == base::StorePosition{2, 10});
  ApplyItems(state, {{"cfg/now", "v6", 11, false}}, 2, At(3));
  CHECK(state.routes->version == "v6");
}

// Guards against a race at the start of a process that the store refuses.
TEST_CASE("A new process takes a lost version before its first copy") {
  StoreState state = MakeState();
  ApplyLostItems(state, {{"cfg/now", "v5", 15, false}}, At(0));
  ApplyItems(state, {{"cfg/now", "v3", 9, false}}, 2, At(1));
  CHECK(state.routes->version == "v5");
  CHECK_FALSE(LostItems(state).empty());
}

TEST_CASE("A version is lost if the copy has no configuration") {
  StoreState state = MakeState();
  ApplyItems(state, {{"cfg/now", "v5", 15, false}}, 1, At(0));
  ApplyItems(state, {{"cfg/now", "", 9, true}}, 2, At(1));
  CHECK_FALSE(LostItems(state).empty());
  CHECK(ExpireLostConfig(state, true, At(100)).empty());
  CHECK(state.routes->version == "v5");
}

// Guards against work for a worker whose report that it leaves was lost.
TEST_CASE("A worker that leaves stays unused over a return of the store") {
  StoreState state = MakeState();
  ApplyItems(state,
             {{"cfg/now", "v5", 5, false},
              {"w/a", "s", 6, false},
              {"w/b", "s", 7, false}},
             1, At(0));
  ApplyItems(state, {{"w/a", "s/draining", 8, false}}, 1, At(1));
  ApplyItems(state, {{"w/b", "s/draining", 9, false}}, 1, At(2));
  ApplyItems(state, {{"w/b", "", 10, true}}, 1, At(3));
  ApplyItems(state, {{"w/a", "s", 6, false}, {"w/b", "s", 7, false}}, 2, At(4));
  CHECK_FALSE(catalog::IsUsable(state.workers.entries.at("a")));
  CHECK_FALSE(catalog::IsUsable(state.workers.entries.at("b")));
  catalog::ExpireWorkers(state.workers, At(60));
  CHECK_FALSE(catalog::IsUsable(state.workers.entries.at("a")));
  CHECK_FALSE(catalog::IsUsable(state.workers.entries.at("b")));
  // Another process with the same instance id.
  ApplyItems(state, {{"w/a", "s@1", 11, false}}, 2, At(61));
  CHECK(catalog::IsUsable(state.workers.entries.at("a")));
}

// Guards against the entry of a worker that has ended, and against losing one
// for good whose entry had only lapsed.
TEST_CASE("A restored entry of an ended worker is used once it outlives one") {
  StoreState state = MakeState();
  ApplyItems(state, {{"cfg/now", "v5", 5, false}, {"w/a", "s", 6, false}}, 1,
             At(0));
  ApplyItems(state, {{"w/a", "", 9, true}}, 1, At(10));
  CHECK(state.workers.entries.empty());
  ApplyItems(state, {{"w/a", "s", 6, false}}, 2, At(11));
  CHECK_FALSE(catalog::IsUsable(state.workers.entries.at("a")));
  catalog::ExpireWorkers(state.workers, At(16));
  CHECK_FALSE(catalog::IsUsable(state.workers.entries.at("a")));
  catalog::ExpireWorkers(state.workers, At(17));
  CHECK(catalog::IsUsable(state.workers.entries.at("a")));
}

// Guards against work for a worker that had ended before this process started,
// and against suspending one that started after the list was complete.
TEST_CASE("A restored entry that a complete list lacked is suspended") {
  StoreState state = MakeState();
  ApplyItems(state, {{"cfg/now", "v5", 5, false}}, 1, At(0));
  state.workers.complete_at_ms = 5;
  ApplyItems(state, {{"w/a", "s@4", 3, false}, {"w/b", "s@6", 7, false}}, 2,
             At(1));
  CHECK_FALSE(catalog::IsUsable(state.workers.entries.at("a")));
  CHECK(catalog::IsUsable(state.workers.entries.at("b")));
}

// Guards against the entry of an ended worker whose time starts anew with each
// return, and with an outage.
TEST_CASE("A second return or an outage extends the suspension of an entry") {
  StoreState state = MakeState();
  ApplyItems(state, {{"cfg/now", "v5", 5, false}, {"w/a", "s", 6, false}}, 1,
             At(0));
  ApplyItems(state, {{"w/a", "", 9, true}}, 1, At(10));
  ApplyItems(state, {{"w/a", "s", 6, false}}, 2, At(11));
  ApplyItems(state, {}, 3, At(15));
  catalog::ExpireWorkers(state.workers, At(17));
  CHECK_FALSE(catalog::IsUsable(state.workers.entries.at("a")));
  catalog::OnSourceFailure(state.workers, At(20));
  catalog::ExpireWorkers(state.workers, At(25));
  CHECK_FALSE(catalog::IsUsable(state.workers.entries.at("a")));
  catalog::ExpireWorkers(state.workers, At(26));
  CHECK(catalog::IsUsable(state.workers.entries.at("a")));
}

// Guards against a worker that is gone and comes back with the copy while its
// removal is held back.
TEST_CASE("A removal that is held back takes effect on a restored entry") {
  StoreState state = MakeState();
  state.workers.settings.reregistration_grace = absl::Seconds(2);
  ApplyItems(state, {{"cfg/now", "v5", 5, false}, {"w/a", "s", 6, false}}, 1,
             At(0));
  catalog::OnSourceFailure(state.workers, At(9));
  ApplyItems(state, {{"w/a", "", 9, true}}, 1, At(10));
  ApplyItems(state, {{"w/a", "s", 6, false}}, 2, At(10.5));
  CHECK(catalog::IsUsable(state.workers.entries.at("a")));
  catalog::ExpireWorkers(state.workers, At(11));
  CHECK_FALSE(catalog::IsUsable(state.workers.entries.at("a")));
  catalog::ExpireWorkers(state.workers, At(17));
  CHECK(catalog::IsUsable(state.workers.entries.at("a")));
}

// Guards against a service without workers until they register again.
TEST_CASE("A worker that the copy lacks is kept until it registers again") {
  StoreState state = MakeState();
  ApplyItems(state, {{"cfg/now", "v5", 5, false}, {"w/a", "s", 12, false}}, 1,
             At(0));
  ApplyItems(state, {{"w/a", "", 9, true}}, 2, At(10));
  CHECK(catalog::IsUsable(state.workers.entries.at("a")));
  ApplyItems(state, {{"w/a", "s", 10, false}}, 2, At(11));
  catalog::ExpireWorkers(state.workers, At(20));
  CHECK(catalog::IsUsable(state.workers.entries.at("a")));
}

TEST_CASE("A restored entry does not replace a later start of the worker") {
  StoreState state = MakeState();
  ApplyItems(state, {{"cfg/now", "v5", 5, false}, {"w/a", "s@2", 12, false}}, 1,
             At(0));
  ApplyItems(state, {{"w/a", "s/draining@1", 6, false}}, 2, At(1));
  CHECK(catalog::IsUsable(state.workers.entries.at("a")));
  ApplyItems(state, {{"w/a", "s@2", 9, false}}, 2, At(2));
  CHECK(state.workers.entries.at("a").position == base::StorePosition{2, 9});
}

}  // namespace
}  // namespace boragepaddle::proxy
