#include <doctest/doctest.h>

#include "boragepaddle/catalog/route_catalog.h"
#include "boragepaddle/catalog/worker_directory.h"

namespace boragepaddle::catalog {
namespace {

absl::Time At(double seconds) {
  return absl::UnixEpoch() + absl::Seconds(seconds);
}

void AddRoute(RouteCatalog& catalog,
              const std::string& name,
              const std::string& host,
              const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = host;
  route.prefix = prefix;
  catalog.routes.push_back(route);
}

RouteCatalog MakeCatalog() {
  RouteCatalog catalog;
  AddRoute(catalog, "short", "A.example", "/a/");
  AddRoute(catalog, "long", "a.example", "/a/b/");
  AddRoute(catalog, "other", "b.example", "/a/");
  IndexRoutes(catalog);
  return catalog;
}

WorkerEntry MakeEntry(const std::string& instance, uint64_t revision) {
  WorkerEntry entry;
  entry.instance = instance;
  entry.service = "lending";
  entry.address = "10.0.0.1:80";
  entry.host = "10.0.0.1";
  entry.slots = 4;
  entry.position.revision = revision;
  return entry;
}

TEST_CASE("The longest prefix of the host selects the route") {
  const RouteCatalog catalog = MakeCatalog();
  CHECK(FindRoute(catalog, "a.example", "/a/x")->name == "short");
  CHECK(FindRoute(catalog, "a.example:81", "/a/b/x?q=/a/")->name == "long");
  CHECK(FindRoute(catalog, "B.EXAMPLE", "/a/b/x")->name == "other");
  CHECK(FindRoute(catalog, "a.example", "/a") == nullptr);
  CHECK(FindRoute(catalog, "a.example", "/b?p=/a/") == nullptr);
  CHECK(FindRoute(catalog, "c.example", "/a/x") == nullptr);
}

TEST_CASE("Without an outage, a removed worker is dropped at once") {
  WorkerDirectory directory;
  PutWorker(directory, MakeEntry("i-1", 5), At(0));
  RemoveWorker(directory, "i-1", {0, 6}, At(100));
  CHECK(directory.entries.empty());
}

TEST_CASE(
    "Entries that expire in an outage are kept until workers may return") {
  WorkerDirectory directory;
  directory.settings.reregistration_grace = absl::Seconds(2);
  PutWorker(directory, MakeEntry("i-1", 5), At(0));
  PutWorker(directory, MakeEntry("i-2", 6), At(0));
  OnSourceFailure(directory, At(10));
  RemoveWorker(directory, "i-1", {0, 7}, At(10));
  RemoveWorker(directory, "i-2", {0, 8}, At(10));
  CHECK_FALSE(ExpireWorkers(directory, At(11.9)));
  PutWorker(directory, MakeEntry("i-2", 9), At(11));
  CHECK(ExpireWorkers(directory, At(12)));
  CHECK(directory.entries.size() == 1);
  CHECK(directory.entries.contains("i-2"));
}

TEST_CASE("A draining worker is not kept after its entry is removed") {
  WorkerDirectory directory;
  WorkerEntry entry = MakeEntry("i-1", 5);
  entry.draining = true;
  PutWorker(directory, entry, At(0));
  OnSourceFailure(directory, At(10));
  RemoveWorker(directory, "i-1", {0, 7}, At(10));
  CHECK(directory.entries.empty());
}

TEST_CASE("Older revisions do not overwrite newer ones") {
  WorkerDirectory directory;
  WorkerEntry draining = MakeEntry("i-1", 7);
  draining.draining = true;
  PutWorker(directory, draining, At(0));
  PutWorker(directory, MakeEntry("i-1", 5), At(1));
  CHECK(directory.entries.at("i-1").draining);
  RemoveWorker(directory, "i-1", {0, 6}, At(2));
  CHECK(directory.entries.size() == 1);
}

TEST_CASE("The newest worker at an address is found") {
  WorkerDirectory directory;
  WorkerEntry old_entry = MakeEntry("i-1", 5);
  old_entry.started_ms = 100;
  WorkerEntry new_entry = MakeEntry("i-2", 6);
  new_entry.started_ms = 200;
  PutWorker(directory, old_entry, At(0));
  PutWorker(directory, new_entry, At(0));
  CHECK(FindByAddress(directory, "10.0.0.1:80")->instance == "i-2");
  CHECK(FindByAddress(directory, "10.0.0.2:80") == nullptr);
}

// Guards against calls to workers that crashed with their VMs: after a power
// loss, half of the listed entries are stale until their leases expire.
TEST_CASE("A later start at the same address supersedes the earlier worker") {
  WorkerDirectory directory;
  WorkerEntry crashed = MakeEntry("i-2", 5);
  crashed.started_ms = 100;
  WorkerEntry fresh = MakeEntry("i-1", 6);
  fresh.started_ms = 200;
  WorkerEntry other = MakeEntry("i-3", 7);
  other.address = "10.0.0.2:80";
  PutWorker(directory, crashed, At(0));
  CHECK(IsUsable(directory.entries.at("i-2")));
  PutWorker(directory, fresh, At(1));
  PutWorker(directory, other, At(1));
  CHECK_FALSE(IsUsable(directory.entries.at("i-2")));
  CHECK(IsUsable(directory.entries.at("i-1")));
  CHECK(IsUsable(directory.entries.at("i-3")));
  // The order in which the entries are read makes no difference.
  crashed.position.revision = 8;
  PutWorker(directory, crashed, At(2));
  CHECK_FALSE(IsUsable(directory.entries.at("i-2")));
  CHECK(IsUsable(directory.entries.at("i-1")));
}

// Guards against new calls to a worker whose answers say that it leaves while
// the list still names it (rule DRAIN).
TEST_CASE("A worker that said that it leaves is not usable under that start") {
  WorkerDirectory directory;
  WorkerEntry entry = MakeEntry("i-1", 5);
  entry.started_ms = 1000;
  PutWorker(directory, entry, At(0));
  CHECK(MarkLeaving(directory, "i-1", At(1), At(1)));
  CHECK_FALSE(MarkLeaving(directory, "i-1", At(1), At(1)));
  CHECK_FALSE(IsUsable(directory.entries.at("i-1")));
  // A change of its entry, and an entry that is listed again after an outage.
  entry.position.revision = 6;
  PutWorker(directory, entry, At(2));
  CHECK_FALSE(IsUsable(directory.entries.at("i-1")));
  OnSourceFailure(directory, At(3));
  RemoveWorker(directory, "i-1", {0, 7}, At(3));
  CHECK(directory.entries.empty());
  entry.position.revision = 8;
  PutWorker(directory, entry, At(4));
  CHECK_FALSE(IsUsable(directory.entries.at("i-1")));
  // A later start under the same instance id.
  entry.position.revision = 9;
  entry.started_ms = 2000;
  PutWorker(directory, entry, At(5));
  CHECK(IsUsable(directory.entries.at("i-1")));
}

TEST_CASE("A worker that says it leaves while it is not listed is remembered") {
  WorkerDirectory directory;
  CHECK(MarkLeaving(directory, "i-1", At(1), At(100)));
  CHECK_FALSE(MarkLeaving(directory, "i-1", At(2), At(101)));
  WorkerEntry entry = MakeEntry("i-1", 5);
  entry.started_ms = 99'000;
  PutWorker(directory, entry, At(3));
  CHECK_FALSE(IsUsable(directory.entries.at("i-1")));
  entry.position.revision = 6;
  entry.started_ms = 101'000;
  PutWorker(directory, entry, At(4));
  CHECK(IsUsable(directory.entries.at("i-1")));
}

}  // namespace
}  // namespace boragepaddle::catalog
