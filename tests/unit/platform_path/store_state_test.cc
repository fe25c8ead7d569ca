#include "boragepaddle/proxy/store_state.h"

#include <doctest/doctest.h>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

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
    entry.service = std::string(document);
    return entry;
  };
  return state;
}

TEST_CASE("An older configuration does not replace a newer one") {
  StoreState state = MakeState();
  ApplyItems(state, {{"cfg/now", "v5", 5, false}}, At(0));
  ApplyItems(state, {{"cfg/now", "v4", 4, false}}, At(1));
  CHECK(state.routes->version == "v5");
  ApplyItems(state, {{"cfg/now", "v6", 6, false}}, At(2));
  CHECK(state.routes->version == "v6");
}

TEST_CASE(
    "A rejected or removed configuration leaves the previous one in force") {
  StoreState state = MakeState();
  ApplyItems(state, {{"cfg/now", "v5", 5, false}}, At(0));
  const auto refused = ApplyItems(state, {{"cfg/now", "bad", 6, false}}, At(1));
  CHECK(refused[0].kind == StoreChange::Kind::kConfigRefused);
  ApplyItems(state, {{"cfg/now", "", 7, true}}, At(2));
  CHECK(state.routes->version == "v5");
}

TEST_CASE("A malformed entry removes only its own worker") {
  StoreState state = MakeState();
  ApplyItems(state, {{"w/a", "s", 1, false}, {"w/b", "s", 2, false}}, At(0));
  ApplyItems(state, {{"w/b", "bad", 3, false}, {"w/c", "bad", 4, false}},
             At(10));
  CHECK(state.workers.entries.size() == 1);
  CHECK(state.workers.entries.contains("a"));
}

TEST_CASE("Repeated items change nothing") {
  StoreState state = MakeState();
  const std::vector<schema::KeyValue> items = {{"cfg/now", "v5", 5, false},
                                               {"w/a", "s", 6, false}};
  ApplyItems(state, items, At(0));
  const auto again = ApplyItems(state, items, At(2));
  CHECK(again[0].kind == StoreChange::Kind::kEntryIgnored);
  CHECK(again[1].kind == StoreChange::Kind::kUnchanged);
  CHECK(state.routes->revision == 5);
  CHECK(state.workers.entries.contains("a"));
}

}  // namespace
}  // namespace boragepaddle::proxy
