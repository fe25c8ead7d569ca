// Corrupted frames, store responses and documents: decoding returns a value or
// an error and never throws or aborts.

#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

#include "boragepaddle/platform/documents.h"
#include "boragepaddle/platform/store_client.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::platform {
namespace {

constexpr uint64_t kSeed = 20261204;
constexpr int kRounds = 20000;

/// Overwrites, truncates, repeats or inserts some bytes.
std::string Corrupt(std::string text, std::mt19937_64& random) {
  const size_t changes = 1 + random() % 4;
  for (size_t change = 0; change < changes && !text.empty(); ++change) {
    const size_t at = random() % text.size();
    switch (random() % 4) {
      case 0:
        text[at] = static_cast<char>(random());
        break;
      case 1:
        text.resize(at);
        break;
      case 2:
        text.insert(at, text.substr(at, random() % 16));
        break;
      default:
        text.insert(at, 1, static_cast<char>(random()));
        break;
    }
  }
  return text;
}

TEST_CASE("Corrupted frames between nodes are decoded or return an error") {
  schema::HttpCall call;
  call.call_id = 7;
  call.request_id = "r";
  call.fields = {{"a", "b"}};
  call.body = "body";
  schema::FeedUpdate update;
  update.stamp.origin = "10.0.0.1";
  update.items = {{"servers/a", "{}", 3, false}};
  schema::HttpAnswer answer;
  answer.use = {{"s", 4}};
  const std::vector<std::string> corpus = {
      schema::Encode(call),
      schema::Encode(answer),
      schema::Encode(update),
      schema::Encode(schema::FeedNotice{}),
      schema::Encode(schema::CallResume{1, {2, 3}}),
      schema::Encode(schema::CallStates{{2}, {3}}),
      schema::Encode(schema::PeerHello{}),
      schema::Encode(schema::LoadNotice{})};
  std::mt19937_64 random(kSeed);
  size_t refused = 0;
  for (int round = 0; round < kRounds; ++round) {
    const auto decoded =
        schema::Decode(Corrupt(corpus[random() % corpus.size()], random));
    refused += decoded.has_value() ? 0 : 1;
  }
  CHECK(refused > kRounds / 4);
}

TEST_CASE("Corrupted store responses are decoded or return an error") {
  const std::string page =
      R"({"items":[{"key":"servers/a","value":"e30=","revision":4,)"
      R"("create_revision":4,"lease":0}],"truncated":false,"as_of":9})";
  std::mt19937_64 random(kSeed);
  size_t refused = 0;
  for (int round = 0; round < kRounds; ++round) {
    refused += DecodePage({200, {}, Corrupt(page, random)}).has_value() ? 0 : 1;
  }
  CHECK(refused > kRounds / 4);
}

TEST_CASE("Corrupted documents are decoded or return an error") {
  const std::string catalog =
      R"({"version":"00000007","routes":{"columns":["name","authority",)"
      R"("prefix","route_type","timeout_s","target_latency_s","priority",)"
      R"("service","max_attempts","traffic_split"],"rows":[["r","h.example",)"
      R"("/p/","idempotent",2,1,0,"s",2,null]]},"services":{"columns":)"
      R"(["name","max_connections"],"rows":[["s",10]]},"limits":)"
      R"({"max_header_bytes":16384,"max_body_bytes":1000,)"
      R"("header_timeout_s":3,"idle_timeout_s":15}})";
  const std::string worker =
      R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1",)"
      R"("slots":42,"state":"ready","cold_remaining_s":0,"sequence":4,)"
      R"("born":1700000000000})";
  REQUIRE(DecodeCatalog(catalog).has_value());
  REQUIRE(DecodeWorker("servers/i-1", worker).has_value());
  std::mt19937_64 random(kSeed);
  size_t refused = 0;
  for (int round = 0; round < kRounds; ++round) {
    refused += DecodeCatalog(Corrupt(catalog, random)).has_value() ? 0 : 1;
    refused += DecodeWorker("servers/i-1", Corrupt(worker, random)).has_value()
                   ? 0
                   : 1;
  }
  CHECK(refused > kRounds / 4);
}

}  // namespace
}  // namespace boragepaddle::platform
