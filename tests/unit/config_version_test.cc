#include <doctest/doctest.h>

#include <fstream>
#include <set>

#include "boragepaddle/config/diff.h"
#include "boragepaddle/config/rule_keys.h"
#include "boragepaddle/config/versioned_config.h"
#include "tests/unit/config_folders.h"

namespace boragepaddle::config {
namespace {

absl::Time Now() {
  return absl::FromUnixSeconds(1000);
}

Folder Good() {
  return OneService(R"({"name": "o", "retry_tokens": 1})");
}

Folder Better() {
  return OneService(R"({"name": "o", "retry_tokens": 3})");
}

Folder Bad() {
  return OneService(R"({"name": "o", "retry_tokens": 99})");
}

TEST_CASE("digest: is stable across builds and covers every byte") {
  // Nodes of different builds compare digests, so the value must not change.
  CHECK(DigestOf({{"a", "b"}, {"c", ""}}) == 3794333181940570137U);
  CHECK(DigestOf({{"a", "b"}}) != DigestOf({{"ab", ""}}));
  CHECK(DigestOf({}) != DigestOf({{"a", ""}}));
}

TEST_CASE("versioned config: an older version never replaces a newer one") {
  VersionedConfig config(Founders(), 10);
  CHECK(config.Current()->table->FindService("s") == nullptr);
  CHECK(config.Offer(7, Better(), Now()).outcome == OfferOutcome::kAccepted);
  CHECK(config.Offer(6, Good(), Now()).outcome == OfferOutcome::kOlderVersion);
  CHECK(config.Offer(7, Better(), Now()).outcome == OfferOutcome::kSameVersion);
  CHECK(config.Current()->version == 7);
}

TEST_CASE(
    "versioned config: the accepted version stays active after a refusal") {
  VersionedConfig config(Founders(), 10);
  config.Offer(1, Good(), Now());
  const OfferResult refused = config.Offer(2, Bad(), Now());
  CHECK(refused.outcome == OfferOutcome::kRefused);
  CHECK(config.RefusedVersion() == 2);
  const auto& table = *config.Current()->table;
  CHECK(table.FindOperation("s", "o")->rule.retry_tokens == 1);
  const size_t entries = config.Audit().Entries().size();
  // A version offered again by a peer is neither checked nor audited.
  CHECK(config.Offer(2, Bad(), Now()).errors.size() == 1);
  CHECK(config.Audit().Entries().size() == entries);
  CHECK(config.Offer(3, Better(), Now()).outcome == OfferOutcome::kAccepted);
  CHECK(config.RefusedVersion() == 0);
}

TEST_CASE("versioned config: one version with two digests is an error") {
  VersionedConfig config(Founders(), 10);
  config.Offer(1, Good(), Now());
  const OfferResult in_force = config.Offer(1, Better(), Now());
  CHECK(in_force.outcome == OfferOutcome::kVersionConflict);
  CHECK(in_force.errors.at(0).code == ConfigErrorCode::kVersionConflict);
  config.Offer(2, Bad(), Now());
  CHECK(config.Offer(2, Better(), Now()).outcome ==
        OfferOutcome::kVersionConflict);
  CHECK(config.Current()->version == 1);
}

TEST_CASE("versioned config: a delta with a digest mismatch is refused") {
  VersionedConfig config(Founders(), 10);
  config.Offer(1, Good(), Now());
  const auto changes = ChangedFiles(Good(), Better());
  const uint64_t digest = DigestOf(Better());
  const OfferResult wrong = config.OfferDelta(2, digest + 1, changes, Now());
  CHECK(wrong.errors.at(0).code == ConfigErrorCode::kDigestMismatch);
  CHECK(config.RefusedVersion() == 0);
  CHECK(config.OfferDelta(2, digest, changes, Now()).outcome ==
        OfferOutcome::kAccepted);
}

TEST_CASE("folder: changes turn one folder into the other") {
  Folder to = Better();
  to.erase("20-b.json");
  to["30-c.json"] = "{}";
  CHECK(ApplyFiles(Good(), ChangedFiles(Good(), to)) == to);
  CHECK(ChangedFiles(Good(), Good()).empty());
}

TEST_CASE("audit: a refused change is recorded with its reason") {
  VersionedConfig config(Founders(), 3);
  config.Offer(1, Good(), Now());
  config.Offer(2, Bad(), Now());
  const AuditEntry& entry = config.Audit().Entries().back();
  CHECK(entry.member == "a");
  CHECK(entry.file == "10-a.json");
  CHECK(entry.version == 2);
  CHECK(entry.path == "services[s].operations[o].retry_tokens");
  CHECK(entry.old_value == "1");
  CHECK(entry.new_value == "99");
  CHECK(entry.verdict == AuditVerdict::kRefused);
  CHECK(entry.reason.find("99: out of range") != std::string::npos);
  CHECK(entry.time == Now());
  // The audit trail is bounded.
  CHECK(config.Audit().Entries().size() == 3);
  CHECK(config.Audit().Dropped() > 0);
}

// Guards against a schema key whose changes do not appear in diffs and audit.
TEST_CASE("diff: every key of the schema is compared") {
  std::ifstream stream(BORAGEPADDLE_SOURCE_DIR "/schema/settings.json");
  const nlohmann::json document = nlohmann::json::parse(stream);
  size_t compared = 0;
  for (const auto& rule : document["structs"]) {
    std::vector<RuleKey> keys;
    if (rule["name"] == "OperationRule") {
      keys = KeysOf(schema::OperationRule());
    } else if (rule["name"] == "ServiceRule") {
      keys = KeysOf(schema::ServiceRule());
    } else {
      continue;
    }
    std::set<std::string> names = {"name", "operations"};
    for (const RuleKey& key : keys) {
      names.insert(key.name);
    }
    for (const auto& field : rule["fields"]) {
      CHECK(names.count(field["name"].get<std::string>()) == 1);
      ++compared;
    }
  }
  CHECK(compared >= 14);
}

TEST_CASE("diff: an invalid file is reported") {
  const std::vector<Change> changes = Diff(Good(), {{"10-a.json", "{"}});
  REQUIRE_FALSE(changes.empty());
  CHECK(changes[0].new_value.find("not JSON: 1 bytes") != std::string::npos);
}

// Guards against paths with indexes, where an insertion would change every
// later entry.
TEST_CASE("diff: inserting an entry does not change the paths of others") {
  const Folder from = {{"a", FileOf("a", "", Service("s", ""))}};
  const Folder to = {
      {"a", FileOf("a", "", R"({"name": "r"},)" + Service("s", ""))}};
  const std::vector<Change> changes = Diff(from, to);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].path == "services[r].name");
  CHECK(changes[0].service == "r");
  CHECK(changes[0].old_value.empty());
}

TEST_CASE("diff: a renamed file is one change") {
  const std::string text = FileOf("a", "", Service("s", ""));
  const std::vector<Change> changes = Diff({{"1", text}}, {{"2", text}});
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].old_value == "1");
  CHECK(changes[0].new_value == "2");
}

}  // namespace
}  // namespace boragepaddle::config
