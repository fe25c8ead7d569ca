#include <doctest/doctest.h>

#include "boragepaddle/config/diff.h"
#include "boragepaddle/config/versioned_config.h"
#include "tests/unit/config_folders.h"

namespace boragepaddle::config {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);

const Folder kGood = OneService(R"({"name": "o", "retry_tokens": 1})");
const Folder kBetter = OneService(R"({"name": "o", "retry_tokens": 3})");
const Folder kBad = OneService(R"({"name": "o", "retry_tokens": 99})");

TEST_CASE("digest: is fixed across builds and sees every byte") {
  // Nodes of different builds compare digests, so the value must not change.
  CHECK(DigestOf({{"a", "b"}, {"c", ""}}) == 3794333181940570137U);
  CHECK(DigestOf({{"a", "b"}}) != DigestOf({{"ab", ""}}));
  CHECK(DigestOf({}) != DigestOf({{"a", ""}}));
}

TEST_CASE("versioned config: an older version never reverts a newer one") {
  VersionedConfig config(kFounders, 10);
  CHECK(config.Current()->table->FindService("s") == nullptr);
  CHECK(config.Offer(7, kBetter, kNow).outcome == OfferOutcome::kAccepted);
  CHECK(config.Offer(6, kGood, kNow).outcome == OfferOutcome::kOlderVersion);
  CHECK(config.Offer(7, kBetter, kNow).outcome == OfferOutcome::kSameVersion);
  CHECK(config.Current()->version == 7);
}

TEST_CASE("versioned config: the last accepted version outlives a refusal") {
  VersionedConfig config(kFounders, 10);
  config.Offer(1, kGood, kNow);
  const OfferResult refused = config.Offer(2, kBad, kNow);
  CHECK(refused.outcome == OfferOutcome::kRefused);
  CHECK(config.RefusedVersion() == 2);
  const auto& table = *config.Current()->table;
  CHECK(table.FindOperation("s", "o")->rule.retry_tokens == 1);
  const size_t entries = config.Audit().Entries().size();
  // Peers offer the same version again; it is neither checked nor audited.
  CHECK(config.Offer(2, kBad, kNow).errors.size() == 1);
  CHECK(config.Audit().Entries().size() == entries);
  CHECK(config.Offer(3, kBetter, kNow).outcome == OfferOutcome::kAccepted);
  CHECK(config.RefusedVersion() == 0);
}

TEST_CASE("versioned config: one version with two digests is an error") {
  VersionedConfig config(kFounders, 10);
  config.Offer(1, kGood, kNow);
  const OfferResult in_force = config.Offer(1, kBetter, kNow);
  CHECK(in_force.outcome == OfferOutcome::kVersionConflict);
  CHECK(in_force.errors.at(0).code == ConfigErrorCode::kVersionConflict);
  config.Offer(2, kBad, kNow);
  CHECK(config.Offer(2, kBetter, kNow).outcome ==
        OfferOutcome::kVersionConflict);
  CHECK(config.Current()->version == 1);
}

TEST_CASE("versioned config: a delta from another base is refused") {
  VersionedConfig config(kFounders, 10);
  config.Offer(1, kGood, kNow);
  const auto changes = ChangedFiles(kGood, kBetter);
  const uint64_t digest = DigestOf(kBetter);
  const OfferResult wrong = config.OfferDelta(2, digest + 1, changes, kNow);
  CHECK(wrong.errors.at(0).code == ConfigErrorCode::kDigestMismatch);
  CHECK(config.RefusedVersion() == 0);
  CHECK(config.OfferDelta(2, digest, changes, kNow).outcome ==
        OfferOutcome::kAccepted);
}

TEST_CASE("folder: changes turn one folder into the other") {
  Folder to = kBetter;
  to.erase("20-b.json");
  to["30-c.json"] = "{}";
  CHECK(ApplyFiles(kGood, ChangedFiles(kGood, to)) == to);
  CHECK(ChangedFiles(kGood, kGood).empty());
}

TEST_CASE("audit: a refused change is recorded with its reason") {
  VersionedConfig config(kFounders, 3);
  config.Offer(1, kGood, kNow);
  config.Offer(2, kBad, kNow);
  const AuditEntry& entry = config.Audit().Entries().back();
  CHECK(entry.member == "a");
  CHECK(entry.file == "10-a.json");
  CHECK(entry.version == 2);
  CHECK(entry.path == "services[s].operations[o].retry_tokens");
  CHECK(entry.old_value == "1");
  CHECK(entry.new_value == "99");
  CHECK(entry.verdict == AuditVerdict::kRefused);
  CHECK(entry.reason.find("99: out of range") != std::string::npos);
  CHECK(entry.time == kNow);
  // The trail is bounded.
  CHECK(config.Audit().Entries().size() == 3);
  CHECK(config.Audit().Dropped() > 0);
}

// Positions in paths would report every later entry as changed.
TEST_CASE("diff: an entry added in front changes no other path") {
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
