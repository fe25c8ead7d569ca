#include <benchmark/benchmark.h>

#include <variant>

#include "boragepaddle/retry/retry_tokens.h"
#include "tests/unit/route_fixture.h"

namespace boragepaddle {
namespace {

void PickOfUpstreams(benchmark::State& state) {
  routing::RouteTable table;
  routing::SetUpstreams(table, kHere, MakeVms(static_cast<int>(state.range(0))),
                        kStart);
  uint64_t random = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        PickFor(table, At(1), ++random, schema::CallClass::kStandard));
  }
}
BENCHMARK(PickOfUpstreams)->Arg(3)->Arg(20)->Arg(200);

void InstallList(benchmark::State& state) {
  const auto vms = MakeVms(static_cast<int>(state.range(0)));
  routing::RouteTable table;
  for (auto _ : state) {
    routing::SetUpstreams(table, kHere, vms, kStart);
  }
}
BENCHMARK(InstallList)->Arg(20)->Arg(200);

void TokenSplit(benchmark::State& state) {
  retry::RetryTokens budget{16};
  for (auto _ : state) {
    const uint32_t delegated = retry::Delegate(budget);
    benchmark::DoNotOptimize(delegated);
    retry::Return(budget, delegated, delegated);
  }
}
BENCHMARK(TokenSplit);

void WholeCall(benchmark::State& state) {
  const node::EgressSettings settings{kHere, node::EgressPolicy::kFull};
  node::ServiceState service;
  routing::SetUpstreams(service.routes, kHere,
                        MakeVms(static_cast<int>(state.range(0))), kStart);
  uint64_t random = 0;
  absl::Time now = kStart;
  for (auto _ : state) {
    now += absl::Microseconds(100);
    node::EgressCall call;
    call.service = "catalogue";
    call.operation = "read";
    call.deadline = now + absl::Seconds(1);
    call.tokens.remaining = 2;
    node::BeginCall(call, service, settings, now, ++random);
    auto answer = MakeAnswer(schema::Outcome::kCompleted);
    benchmark::DoNotOptimize(
        node::OnAttemptAnswer(call, service, settings, answer,
                              now + absl::Milliseconds(5), ++random));
  }
}
BENCHMARK(WholeCall)->Arg(3)->Arg(20)->Arg(200);

}  // namespace
}  // namespace boragepaddle
