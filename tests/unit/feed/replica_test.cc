#include "boragepaddle/feed/replica.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

namespace boragepaddle::feed {
namespace {

schema::KeyValue Item(const std::string& key, uint64_t revision) {
  return {key, "v", revision, false};
}

schema::KeyValue Removal(const std::string& key, uint64_t revision) {
  return {key, "", revision, true};
}

Replica MakeReplica() {
  Replica replica;
  ApplyUpdate(replica, {{0, 0}, {0, 10}, true, {Item("a", 3), Item("b", 4)}});
  return replica;
}

TEST_CASE("An older item does not restore a removed key") {
  Replica replica = MakeReplica();
  ApplyUpdate(replica, {{0, 10}, {0, 12}, false, {Removal("a", 12)}});
  ApplyUpdate(replica, {{0, 10}, {0, 13}, false, {Item("a", 11)}});
  CHECK_FALSE(replica.items.contains("a"));
  ApplyUpdate(replica, {{0, 13}, {0, 14}, false, {Item("a", 14)}});
  CHECK(replica.items.contains("a"));
}

TEST_CASE("An outdated update changes nothing, and a gap is reported") {
  Replica replica = MakeReplica();
  CHECK(
      ApplyUpdate(replica, {{0, 5}, {0, 9}, false, {Removal("a", 9)}}).error ==
      UpdateError::kOutdated);
  CHECK(ApplyUpdate(replica, {{0, 0}, {0, 9}, true, {}}).error ==
        UpdateError::kOutdated);
  CHECK(ApplyUpdate(replica, {{0, 11}, {0, 12}, false, {Removal("a", 12)}})
            .error == UpdateError::kGap);
  CHECK(replica.items.size() == 2);
  CHECK(replica.position.revision == 10);
}

TEST_CASE("Keys that a snapshot lacks are reported as removed") {
  Replica replica = MakeReplica();
  const UpdateResult result =
      ApplyUpdate(replica, {{0, 0}, {0, 20}, true, {Item("b", 4)}});
  REQUIRE(result.changes.size() == 1);
  CHECK(result.changes[0].key == "a");
  CHECK(result.changes[0].removed);
  CHECK(result.changes[0].revision == 20);
}

TEST_CASE("Unchanged items are not reported as changes") {
  Replica replica = MakeReplica();
  const UpdateResult result = ApplyUpdate(
      replica,
      {{0, 0}, {0, 20}, true, {Item("a", 3), Item("b", 4), Item("c", 15)}});
  REQUIRE(result.changes.size() == 1);
  CHECK(result.changes[0].key == "c");
}

TEST_CASE("The changes after a revision make two copies equal") {
  Replica source = MakeReplica();
  Replica copy = MakeReplica();
  ApplyUpdate(source,
              {{0, 10}, {0, 13}, false, {Removal("a", 11), Item("c", 12)}});
  CHECK(source.digest != copy.digest);
  const ReplicaUpdate update = ChangesAfter(source, copy.position);
  CHECK(update.items.size() == 2);
  ApplyUpdate(copy, update);
  CHECK(source.digest == copy.digest);
  CHECK(source.items == copy.items);
}

TEST_CASE("A removal whose tombstone was dropped shows in the digest") {
  Replica source = MakeReplica();
  source.max_tombstones = 1;
  Replica copy = MakeReplica();
  ApplyUpdate(source,
              {{0, 10}, {0, 12}, false, {Removal("a", 11), Removal("b", 12)}});
  ApplyUpdate(copy, ChangesAfter(source, copy.position));
  CHECK(copy.position == source.position);
  CHECK(copy.digest != source.digest);
  ApplyUpdate(copy, FullSnapshot(source));
  CHECK(copy.digest == source.digest);
}

TEST_CASE("The removal and the return of a key are applied in order") {
  Replica source = MakeReplica();
  ApplyUpdate(source,
              {{0, 10}, {0, 12}, false, {Removal("a", 11), Item("a", 12)}});
  Replica copy = MakeReplica();
  ApplyUpdate(copy, ChangesAfter(source, {0, 10}));
  CHECK(copy.items.at("a").revision == 12);
  CHECK(copy.digest == source.digest);
}

// Guards against items and tombstones of the era before, whose revisions are
// given out again.
TEST_CASE(
    "A snapshot of a newer era replaces all items, whatever the revision") {
  Replica replica;
  ApplyUpdate(replica, {{1, 0}, {1, 10}, true, {Item("a", 3), Item("b", 4)}});
  ApplyUpdate(replica, {{1, 10},
                        {1, 13},
                        false,
                        {Item("a", 11), Removal("b", 12), Item("c", 13)}});
  const UpdateResult result = ApplyUpdate(
      replica, {{2, 0}, {2, 6}, true, {Item("a", 3), Item("b", 4)}});
  CHECK(result.error == UpdateError::kNone);
  CHECK(result.changes.size() == 3);
  CHECK(replica.position == base::StorePosition{2, 6});
  CHECK(replica.items.at("a").revision == 3);
  CHECK(replica.items.contains("b"));
  CHECK_FALSE(replica.items.contains("c"));
  ApplyUpdate(replica,
              {{2, 6}, {2, 8}, false, {Removal("b", 7), Item("c", 8)}});
  CHECK_FALSE(replica.items.contains("b"));
  CHECK(replica.items.at("c").revision == 8);
}

TEST_CASE(
    "A revision that was given out again is a change if its value is new") {
  Replica replica;
  ApplyUpdate(replica, {{1, 0}, {1, 10}, true, {Item("a", 9)}});
  const UpdateResult result =
      ApplyUpdate(replica, {{2, 0}, {2, 10}, true, {{"a", "other", 9, false}}});
  CHECK(result.changes.size() == 1);
  CHECK(replica.items.at("a").value == "other");
}

TEST_CASE("Changes of another era are not applied without a snapshot") {
  Replica replica;
  ApplyUpdate(replica, {{1, 0}, {1, 10}, true, {Item("a", 3)}});
  CHECK(ApplyUpdate(replica, {{2, 6}, {2, 7}, false, {Item("a", 7)}}).error ==
        UpdateError::kGap);
  CHECK(ChangesAfter(replica, {2, 6}).is_snapshot);
  ApplyUpdate(replica, {{2, 0}, {2, 6}, true, {Item("a", 3)}});
  CHECK(
      ApplyUpdate(replica, {{1, 10}, {1, 11}, false, {Item("a", 11)}}).error ==
      UpdateError::kOutdated);
  CHECK(replica.items.at("a").revision == 3);
}

// Guards against a return to the era before by late answers and by peers, in
// any order and more than once.
TEST_CASE("Updates of two eras lead to the newest state in every order") {
  const std::vector<ReplicaUpdate> updates = {
      // The store before its return: a list, then changes that it loses.
      {{1, 0}, {1, 10}, true, {Item("a", 3), Item("b", 4), Item("c", 5)}},
      {{1, 10},
       {1, 14},
       false,
       {Item("a", 11), Removal("b", 12), Item("lost", 14)}},
      // The store after its return, and changes that are given these revisions.
      {{2, 0}, {2, 6}, true, {Item("a", 3), Item("b", 4), Item("c", 5)}},
      {{2, 6}, {2, 12}, false, {{"a", "new", 11, false}, Removal("c", 12)}},
      // A peer's snapshot.
      {{2, 0},
       {2, 11},
       true,
       {{"a", "new", 11, false}, Item("b", 4), Item("c", 5)}},
  };
  std::vector<size_t> order = {0, 1, 2, 3, 4, 0, 2};
  std::sort(order.begin(), order.end());
  size_t orders = 0;
  do {
    Replica replica;
    base::StorePosition last;
    for (const size_t index : order) {
      ApplyUpdate(replica, updates[index]);
      REQUIRE(replica.position >= last);
      last = replica.position;
      REQUIRE_FALSE((last.era == 2 && replica.items.contains("lost")));
    }
    // What was missed comes with the next fetch.
    ApplyUpdate(replica, updates[4]);
    ApplyUpdate(replica, updates[3]);
    REQUIRE(replica.position == base::StorePosition{2, 12});
    REQUIRE(replica.items.at("a").value == "new");
    REQUIRE(replica.items.contains("b"));
    REQUIRE_FALSE(replica.items.contains("c"));
    ++orders;
  } while (std::next_permutation(order.begin(), order.end()));
  CHECK(orders == 1260);
}

}  // namespace
}  // namespace boragepaddle::feed
