#include "boragepaddle/feed/replica.h"

#include <doctest/doctest.h>

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
  ApplyUpdate(replica, {0, 10, true, {Item("a", 3), Item("b", 4)}});
  return replica;
}

TEST_CASE("A removed key does not come back with an older item") {
  Replica replica = MakeReplica();
  ApplyUpdate(replica, {10, 12, false, {Removal("a", 12)}});
  ApplyUpdate(replica, {10, 13, false, {Item("a", 11)}});
  CHECK_FALSE(replica.items.contains("a"));
  ApplyUpdate(replica, {13, 14, false, {Item("a", 14)}});
  CHECK(replica.items.contains("a"));
}

TEST_CASE("An older page changes nothing, and a gap is told") {
  Replica replica = MakeReplica();
  CHECK(ApplyUpdate(replica, {5, 9, false, {Removal("a", 9)}}).error ==
        UpdateError::kOutdated);
  CHECK(ApplyUpdate(replica, {0, 9, true, {}}).error == UpdateError::kOutdated);
  CHECK(ApplyUpdate(replica, {11, 12, false, {Removal("a", 12)}}).error ==
        UpdateError::kGap);
  CHECK(replica.items.size() == 2);
  CHECK(replica.revision == 10);
}

TEST_CASE("Keys that a whole page lacks come as removed") {
  Replica replica = MakeReplica();
  const UpdateResult result =
      ApplyUpdate(replica, {0, 20, true, {Item("b", 4)}});
  REQUIRE(result.changes.size() == 1);
  CHECK(result.changes[0].key == "a");
  CHECK(result.changes[0].removed);
  CHECK(result.changes[0].revision == 20);
}

TEST_CASE("Items that did not change are no changes") {
  Replica replica = MakeReplica();
  const UpdateResult result = ApplyUpdate(
      replica, {0, 20, true, {Item("a", 3), Item("b", 4), Item("c", 15)}});
  REQUIRE(result.changes.size() == 1);
  CHECK(result.changes[0].key == "c");
}

TEST_CASE("Changes after a revision make two copies equal") {
  Replica source = MakeReplica();
  Replica copy = MakeReplica();
  ApplyUpdate(source, {10, 13, false, {Removal("a", 11), Item("c", 12)}});
  CHECK(source.digest != copy.digest);
  const ReplicaUpdate page = ChangesAfter(source, copy.revision);
  CHECK(page.items.size() == 2);
  ApplyUpdate(copy, page);
  CHECK(source.digest == copy.digest);
  CHECK(source.items == copy.items);
}

TEST_CASE("Removals that are no longer kept show in the digest") {
  Replica source = MakeReplica();
  source.max_tombstones = 1;
  Replica copy = MakeReplica();
  ApplyUpdate(source, {10, 12, false, {Removal("a", 11), Removal("b", 12)}});
  ApplyUpdate(copy, ChangesAfter(source, copy.revision));
  CHECK(copy.revision == source.revision);
  CHECK(copy.digest != source.digest);
  ApplyUpdate(copy, FullSnapshot(source));
  CHECK(copy.digest == source.digest);
}

TEST_CASE("A key that went and came back is applied in order") {
  Replica source = MakeReplica();
  ApplyUpdate(source, {10, 12, false, {Removal("a", 11), Item("a", 12)}});
  Replica copy = MakeReplica();
  ApplyUpdate(copy, ChangesAfter(source, 10));
  CHECK(copy.items.at("a").revision == 12);
  CHECK(copy.digest == source.digest);
}

}  // namespace
}  // namespace boragepaddle::feed
