#include "boragepaddle/platform/documents.h"

#include <doctest/doctest.h>

#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "boragepaddle/platform/boot_settings.h"
#include "boragepaddle/platform/store_client.h"

namespace boragepaddle::platform {
namespace {

constexpr char kConfig[] = R"({"version":"0000000c","routes":{"columns":
["name","authority","prefix","route_type","timeout_s","target_latency_s",
"priority","traffic_split","max_attempts","service"],"rows":[
["r1","a.example","/a/","idempotent",5,1.2,2,
[{"service":"s1","weight":90},{"service":"s2","weight":10}],2,null],
["r2","b.example","/b/","upload",0.8,1.5,0,null,1,"s3"]]},
"services":{"columns":["name","health_path","max_connections"],
"rows":[["s1","/health",850]]},
"limits":{"max_header_bytes":100,"max_body_bytes":1000,
"header_timeout_s":3,"idle_timeout_s":15}})";

constexpr char kEntry[] = R"({"service":"s1","address":"10.0.0.9:8080",
"zone":"z","version":"v1","slots":125,"state":"ready","cold_remaining_s":1.5,"sequence":4,
"born":1700000000000})";

constexpr char kBoot[] =
    "node_id=n1\nip=10.1.0.8\nzone=z\nservice=s1\n"
    "listen_addrs.outbound=10.1.0.8:8304\nlisten_addrs.ready=10.1.0.8:8302\n"
    "app_addr=10.1.0.8:8301\nplatform.address=10.200.1.7:8309\n"
    "internal_port_range=7620,7635\nlimits.memory_mb=260\n"
    "limits.max_fds=4100\nsomething.new=1\nheartbeat_s=2\n"
    "bounds=grace_s=6,retry_budget_ratio=0.2,budget_window_s=10,"
    "budget_slack=47,config_apply_s=2.5,drain_s=3\n";

TEST_CASE("A configuration is decoded into routes") {
  const auto catalog = DecodeCatalog(kConfig);
  REQUIRE(catalog);
  CHECK(catalog.value().version_order == 12);
  REQUIRE(catalog.value().routes.size() == 2);
  const catalog::Route& split = catalog.value().routes[0];
  CHECK(split.idempotent);
  CHECK(split.timeout == absl::Seconds(5));
  CHECK(split.latency_objective == absl::Milliseconds(1200));
  CHECK(split.max_workers == 2);
  REQUIRE(split.targets.size() == 2);
  CHECK(split.targets[1].weight == 10);
  const catalog::Route& upload = catalog.value().routes[1];
  CHECK_FALSE(upload.idempotent);
  CHECK(upload.targets[0].service == "s3");
  CHECK(catalog.value().limits.max_header_bytes == 100);
}

// Guards against targets that get no requests because their weight is below 1.
TEST_CASE("Weights may be fractions") {
  const auto catalog = DecodeCatalog(
      absl::StrReplaceAll(kConfig, {{"\"weight\":90", "\"weight\":0.9"},
                                    {"\"weight\":10", "\"weight\":0.1"}}));
  REQUIRE(catalog);
  CHECK(catalog.value().routes[0].targets[0].weight == 0.9);
  CHECK(catalog.value().routes[0].targets[1].weight == 0.1);
}

TEST_CASE("A malformed configuration is rejected as a whole") {
  CHECK_FALSE(DecodeCatalog("{"));
  CHECK_FALSE(DecodeCatalog("[]"));
  const std::string text = kConfig;
  CHECK_FALSE(DecodeCatalog(text.substr(0, text.size() / 2)));
  CHECK_FALSE(DecodeCatalog(absl::StrReplaceAll(text, {{"\"/b/\"", "\"b\""}})));
  CHECK_FALSE(DecodeCatalog(absl::StrReplaceAll(text, {{"0.8", "\"x\""}})));
}

/// The configuration with a table of client accounts that has these rows.
std::string WithAccounts(absl::string_view rows) {
  return absl::StrReplaceAll(
      kConfig,
      {{"\"limits\":", absl::StrCat("\"tenants\":{\"columns\":[\"name\",\"api_"
                                    "keys\",\"priority\",\"rate_per_s\","
                                    "\"burst\",\"later\"],\"rows\":",
                                    rows, "},\"limits\":")}});
}

TEST_CASE("Client accounts are decoded and found by their keys") {
  const auto decoded =
      DecodeCatalog(WithAccounts(R"([["a",["k1","k2","k1"],1,386,12.5,true],
                       ["b",["k3"],null,null,null,null],
                       ["c",[],0,0,0,null]])"));
  REQUIRE(decoded);
  const catalog::RouteCatalog& catalog = decoded.value();
  CHECK(catalog.requires_key);
  const catalog::ClientAccount* first = catalog::FindAccount(catalog, "k2");
  REQUIRE(first != nullptr);
  CHECK(first->name == "a");
  CHECK(first->priority == 1);
  CHECK(first->rate_per_s == 386);
  CHECK(first->burst == 12.5);
  const catalog::ClientAccount* second = catalog::FindAccount(catalog, "k3");
  REQUIRE(second != nullptr);
  CHECK_FALSE(second->priority.has_value());
  CHECK(second->rate_per_s == 0);
  CHECK(catalog::FindAccount(catalog, "k4") == nullptr);
  CHECK(catalog::FindAccount(catalog, "") == nullptr);
}

TEST_CASE("Without a table of accounts no key is required") {
  CHECK_FALSE(DecodeCatalog(kConfig).value().requires_key);
  CHECK(DecodeCatalog(WithAccounts("[]")).value().requires_key);
}

// Guards against a configuration that gives a key to the wrong account, and
// against keys in logged errors.
TEST_CASE("Invalid client accounts reject the configuration") {
  for (const char* rows :
       {R"([["a",["secret"],1,1,1,0],["b",["secret"],1,1,1,0]])",
        R"([["a",["secret"],1,-1,1,0]])", R"([["a",["secret"],1,1,-1,0]])",
        R"([["a",["secret"],-1,1,1,0]])", R"([["a",["secret"],"x",1,1,0]])",
        R"([["a","secret",1,1,1,0]])", R"([["a",null,1,1,1,0]])",
        R"([["a",["secret",7],1,1,1,0]])", R"([["a",["secret",""],1,1,1,0]])",
        R"([[null,["secret"],1,1,1,0]])",
        R"([["a",["secret"],1,1,1,0],["a",["k"],1,1,1,0]])", R"([["a"]])",
        R"(["a"])", R"({"a":1})", R"(7)"}) {
    const auto decoded = DecodeCatalog(WithAccounts(rows));
    CAPTURE(rows);
    REQUIRE_FALSE(decoded);
    CHECK_FALSE(absl::StrContains(decoded.error().detail, "secret"));
  }
  CHECK_FALSE(DecodeCatalog(absl::StrReplaceAll(
      kConfig, {{"\"limits\":", "\"tenants\":7,\"limits\":"}})));
}

TEST_CASE("A worker entry is decoded; its id is taken from the key") {
  const auto entry = DecodeWorker("servers/i-7", kEntry);
  REQUIRE(entry);
  CHECK(entry.value().instance == "i-7");
  CHECK(entry.value().host == "10.0.0.9");
  CHECK(entry.value().slots == 125);
  CHECK(entry.value().warm_up_remaining == absl::Milliseconds(1500));
  CHECK(entry.value().started_ms == 1700000000000);
  CHECK_FALSE(entry.value().draining);
}

// Guards against an entry of another writer that displaces the worker at its
// address.
TEST_CASE("Worker entries without the fields that workers write are rejected") {
  const std::string text = kEntry;
  for (const auto& [from, to] : {std::pair{"\"version\":\"v1\",", ""},
                                 {"\"v1\"", "1"},
                                 {"\"sequence\":4,", ""},
                                 {"\"sequence\":4", "\"sequence\":\"4\""},
                                 {"1700000000000", "1700000000000.5"},
                                 {"1700000000000", "\"x\""}}) {
    const std::string replaced = from;
    CAPTURE(replaced);
    REQUIRE(absl::StrContains(text, from));
    CHECK_FALSE(
        DecodeWorker("servers/i-7", absl::StrReplaceAll(text, {{from, to}})));
  }
}

TEST_CASE("Malformed worker entries are rejected") {
  CHECK_FALSE(DecodeWorker("servers/i-7", "\x01\x02"));
  CHECK_FALSE(DecodeWorker("servers/i-7", "{}"));
  const std::string text = kEntry;
  for (const auto& [from, to] :
       {std::pair<const char*, const char*>{"\"ready\"", "\"resting\""},
        {"\"10.0.0.9:8080\"", "\"somewhere\""},
        {"125", "\"125\""},
        {"125", "1e300"},
        {"125", "99999999999"},
        {"1700000000000", "1e300"},
        {"1700000000000", "-1"},
        {"1.5", "1e400"},
        {"8080", "65536"},
        {"8080", "0"},
        {"8080", "-8080"},
        {"10.0.0.9", "10.0.0.900"},
        {"\"s1\"", "7"}}) {
    const std::string replacement = to;
    CAPTURE(replacement);
    CHECK_FALSE(
        DecodeWorker("servers/i-7", absl::StrReplaceAll(text, {{from, to}})));
  }
}

// Guards against entries of other writers that end every node: copies of a
// nested value recurse until the stack is used up.
TEST_CASE("Deeply nested documents are rejected") {
  constexpr size_t kDepth = 400'000;
  const std::string nested =
      std::string(kDepth, '[') + std::string(kDepth, ']');
  CHECK_FALSE(DecodeWorker("servers/i-7",
                           absl::StrReplaceAll(kEntry, {{"\"s1\"", nested}})));
  CHECK_FALSE(DecodeCatalog(
      absl::StrReplaceAll(kConfig, {{"\"idempotent\"", nested}})));
  CHECK_FALSE(DecodePage({200, {}, "{\"items\":" + nested + ",\"as_of\":9}"}));
  const std::string shallow = "[[[1]]]";
  CHECK(DecodeWorker(
      "servers/i-7",
      absl::StrReplaceAll(kEntry,
                          {{"\"zone\"", "\"new\":" + shallow + ",\"zone\""}})));
}

TEST_CASE("The settings file is decoded; unknown keys are ignored") {
  const auto settings = ParseBootSettings(kBoot);
  REQUIRE(settings);
  CHECK(settings.value().node.peer_port == 7620);
  CHECK(settings.value().node.retry_budget_allowance == 47);
  // The shorter of the two bounds on a change.
  CHECK(settings.value().node.change_deadline == absl::Seconds(2.5));
  CHECK(settings.value().node.memory_bytes == 260u << 20);
  CHECK(settings.value().node.entry_lifetime == absl::Seconds(7));
  CHECK(settings.value().defaulted.empty());
}

TEST_CASE("The error names a missing or invalid key of the settings file") {
  const auto missing = ParseBootSettings(
      absl::StrReplaceAll(kBoot, {{"app_addr=10.1.0.8:8301\n", ""}}));
  REQUIRE_FALSE(missing);
  CHECK(missing.error().key == "app_addr");
  const auto invalid =
      ParseBootSettings(absl::StrReplaceAll(kBoot, {{"7620,7635", "high"}}));
  REQUIRE_FALSE(invalid);
  CHECK(invalid.error().key == "internal_port_range");
  const auto defaulted = ParseBootSettings(
      absl::StrReplaceAll(kBoot, {{"limits.max_fds=4100\n", ""}}));
  REQUIRE(defaulted);
  CHECK(defaulted.value().defaulted ==
        std::vector<std::string>{"limits.max_fds"});
}

TEST_CASE("Store responses are decoded into pages or typed errors") {
  const auto page = DecodePage(
      {200, {}, R"({"items":[{"key":"servers/a","value":"eA==","revision":3}],
               "truncated":true,"as_of":9})"});
  REQUIRE(page);
  CHECK(page.value().as_of == 9);
  CHECK(page.value().more);
  CHECK(page.value().items[0].value == "x");
  const auto events = DecodePage(
      {200,
       {},
       R"({"events":[{"key":"k","revision":4,"removed":true}],"as_of":4})"});
  REQUIRE(events);
  CHECK(events.value().items[0].removed);
  CHECK(DecodePage({410, {}, ""}).error().code ==
        event::SourceErrorCode::kCompacted);
  CHECK(DecodePage({429, {}, ""}).error().code ==
        event::SourceErrorCode::kRefused);
  CHECK(DecodePage({0, {}, ""}).error().code ==
        event::SourceErrorCode::kUnreachable);
  CHECK(DecodePage({200, {}, "{"}).error().code ==
        event::SourceErrorCode::kMalformed);
}

TEST_CASE("The era of a store response is read from its header") {
  const auto era_of = [](const std::string& text) {
    const auto page = DecodePage({200, {{"store-era", text}}, "{\"as_of\":9}"});
    return page ? page.value().era : ~uint64_t{0};
  };
  CHECK(era_of("0") == 1);
  CHECK(era_of("7") == 8);
  for (const char* invalid : {"", "x", "-1", "1.5", "99999999999999999999999",
                              "18446744073709551615"}) {
    CHECK(era_of(invalid) == 0);
  }
  CHECK(DecodePage({200, {}, "{\"as_of\":9}"}).value().era == 0);
}

}  // namespace
}  // namespace boragepaddle::platform
