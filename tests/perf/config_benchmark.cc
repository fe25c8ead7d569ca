#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "boragepaddle/config/merge.h"
#include "boragepaddle/config/versioned_config.h"

namespace boragepaddle::config {
namespace {

constexpr int kOperations = 5;
constexpr int kLayers = 8;

std::string ServiceName(int service) {
  return absl::StrCat("service-", service);
}

// About 1 kB per service, as assumed in the design. The service calls two
// services of the layer below.
std::string ServiceText(int service, int services) {
  std::string text = absl::StrCat("{\"name\": \"", ServiceName(service),
                                  "\", \"slots\": 70, \"connections\": 530, "
                                  "\"operations\": [");
  for (int operation = 0; operation < kOperations; ++operation) {
    absl::StrAppend(&text, operation == 0 ? "" : ",", "{\"name\": \"operation-",
                    operation,
                    "\", \"class\": \"member\", \"idempotent\": true, "
                    "\"retry_on_unknown\": true, \"deadline_ms\": 1500, "
                    "\"retry_tokens\": 2");
    if (service % kLayers != 0 && services > kLayers) {
      const int callee = service - 1;
      const int other = service / kLayers * kLayers;
      absl::StrAppend(&text, ", \"calls\": [\"", ServiceName(callee),
                      ".operation-", operation, "\", \"", ServiceName(other),
                      ".operation-0\"]");
    }
    absl::StrAppend(&text, "}");
  }
  return absl::StrCat(text, "]}");
}

std::vector<std::string> Founders(int members) {
  std::vector<std::string> names;
  names.reserve(members);
  for (int member = 0; member < members; ++member) {
    names.push_back(absl::StrCat("member-", member));
  }
  return names;
}

Folder MakeFolder(int services, int members) {
  Folder folder;
  const std::vector<std::string> founders = Founders(members);
  for (int member = 0; member < members; ++member) {
    std::string text;
    for (int service = member; service < services; service += members) {
      absl::StrAppend(&text, text.empty() ? "" : ",\n",
                      ServiceText(service, services));
    }
    folder[absl::StrCat(10 + member, ".json")] = absl::StrCat(
        "{\"member\": \"", founders[member], "\", \"services\": [", text, "]}");
  }
  return folder;
}

size_t BytesOf(const Folder& folder) {
  size_t bytes = 0;
  for (const auto& [name, text] : folder) {
    bytes += text.size();
  }
  return bytes;
}

// Start of a node, which parses every file.
void BenchmarkMergeFolder(benchmark::State& state) {
  const Folder folder = MakeFolder(static_cast<int>(state.range(0)),
                                   static_cast<int>(state.range(1)));
  const std::vector<std::string> founders =
      Founders(static_cast<int>(state.range(1)));
  for (auto step : state) {
    const TableResult table = MergeFolder(folder, founders);
    if (!table.has_value()) {
      state.SkipWithError(Describe(table.error().front()).c_str());
      break;
    }
  }
  state.counters["bytes"] = static_cast<double>(BytesOf(folder));
}

// One configuration change on a running node, with digest, validation of the
// whole configuration and audit.
void BenchmarkOfferOneChangedFile(benchmark::State& state) {
  Folder folder = MakeFolder(static_cast<int>(state.range(0)),
                             static_cast<int>(state.range(1)));
  VersionedConfig config(Founders(static_cast<int>(state.range(1))), 10000);
  uint64_t version = 1;
  config.Offer(version, folder, absl::UnixEpoch());
  for (auto step : state) {
    folder["10.json"] += version % 2 == 0 ? " " : "\n";
    const OfferResult result =
        config.Offer(++version, folder, absl::UnixEpoch());
    if (result.outcome != OfferOutcome::kAccepted) {
      state.SkipWithError("configuration change was refused");
      break;
    }
  }
}

void BenchmarkFindOperation(benchmark::State& state) {
  const auto table = MergeFolder(MakeFolder(static_cast<int>(state.range(0)),
                                            static_cast<int>(state.range(1))),
                                 Founders(static_cast<int>(state.range(1))));
  const std::string service = ServiceName(static_cast<int>(state.range(0)) / 2);
  for (auto step : state) {
    benchmark::DoNotOptimize(
        table.value()->FindOperation(service, "operation-3"));
  }
}

// Arguments: services, members. A file is limited to 1 MB, so 1,700 services
// need at least two members.
BENCHMARK(BenchmarkMergeFolder)
    ->Args({1, 1})
    ->Args({100, 10})
    ->Args({1700, 10})
    ->Unit(benchmark::kMillisecond);
BENCHMARK(BenchmarkOfferOneChangedFile)
    ->Args({1, 1})
    ->Args({100, 10})
    ->Args({1700, 10})
    ->Args({1700, 2})
    ->Unit(benchmark::kMillisecond);
BENCHMARK(BenchmarkFindOperation)
    ->Args({1, 1})
    ->Args({100, 10})
    ->Args({1700, 10});

}  // namespace
}  // namespace boragepaddle::config
