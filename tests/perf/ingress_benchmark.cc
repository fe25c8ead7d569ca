#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "boragepaddle/node/ingress.h"

namespace boragepaddle::node {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

IngressState MakeNode(uint32_t slots) {
  IngressSettings settings;
  settings.vm_id = "vm-1";
  settings.service = "catalogue";
  settings.slots = slots;
  settings.max_queue = slots;
  return MakeIngress(settings);
}

schema::CallRequest MakeRequest(uint64_t attempt_id) {
  schema::CallRequest request;
  request.attempt_id = attempt_id;
  request.operation = "read";
  request.deadline_us = 1'000'000;
  request.fingerprint = attempt_id;
  return request;
}

/// One arrival, hand-over and end while other calls run or wait.
void BenchmarkArrivalToEnd(benchmark::State& run) {
  const auto others = static_cast<uint32_t>(run.range(0));
  IngressState state = MakeNode(others + 1);
  CallRule rule;
  uint64_t attempt = 1;
  for (; attempt <= others; ++attempt) {
    OnCallRequest(state, 1, MakeRequest(attempt), rule, kNow);
  }
  absl::Time now = kNow;
  for (auto _ : run) {
    now += absl::Microseconds(1);
    const CallKey key{1, ++attempt};
    OnCallRequest(state, 1, MakeRequest(attempt), rule, now);
    IngressActions actions;
    BeginRun(state, key, now, actions);
    WorkerAnswer answer;
    answer.end = WorkerCallEnd::kAnswered;
    benchmark::DoNotOptimize(OnWorkerEnd(state, key, answer, 0, now));
  }
}
BENCHMARK(BenchmarkArrivalToEnd)->Arg(1)->Arg(64)->Arg(960);

/// A refused arrival at a full queue.
void BenchmarkRefusal(benchmark::State& run) {
  const auto queued = static_cast<uint32_t>(run.range(0));
  IngressState state = MakeNode(queued);
  CallRule rule;
  uint64_t attempt = 1;
  for (; attempt <= uint64_t{2} * queued; ++attempt) {
    OnCallRequest(state, 1, MakeRequest(attempt), rule, kNow);
  }
  for (auto _ : run) {
    benchmark::DoNotOptimize(
        OnCallRequest(state, 1, MakeRequest(++attempt), rule, kNow));
  }
}
BENCHMARK(BenchmarkRefusal)->Arg(1)->Arg(64)->Arg(960);

/// A repeat that finds its answer; most of the time is the hash.
void BenchmarkTicketLookup(benchmark::State& run) {
  execution::TableSettings settings;
  settings.vm_id = "vm-1";
  auto table = execution::MakeTable(settings, execution::TicketSecret());
  std::vector<std::string> tickets;
  for (int64_t at = 0; at < run.range(0); ++at) {
    tickets.push_back(execution::IssueTicket(table, kNow));
    const auto begun = execution::Begin(table, tickets.back(), 1, {}, kNow);
    execution::Complete(table, begun.sequence, {});
  }
  size_t at = 0;
  for (auto _ : run) {
    at = (at + 7919) % tickets.size();
    benchmark::DoNotOptimize(execution::Begin(table, tickets[at], 1, {}, kNow));
  }
}
BENCHMARK(BenchmarkTicketLookup)->Arg(1000)->Arg(10000)->Arg(100000);

void BenchmarkIssueTicket(benchmark::State& run) {
  execution::TableSettings settings;
  settings.vm_id = "vm-1";
  auto table = execution::MakeTable(settings, execution::TicketSecret());
  for (auto _ : run) {
    benchmark::DoNotOptimize(execution::IssueTicket(table, kNow));
  }
}
BENCHMARK(BenchmarkIssueTicket);

void BenchmarkQuarantineLookup(benchmark::State& run) {
  quarantine::QuarantineState state;
  std::vector<uint64_t> fingerprints;
  for (int64_t at = 0; at < run.range(0); ++at) {
    fingerprints.push_back(static_cast<uint64_t>(at) * 2);
  }
  quarantine::OnWorkerCrash(state, fingerprints, 1, {}, kNow);
  uint64_t fingerprint = 0;
  for (auto _ : run) {
    fingerprint = (fingerprint + 7919) % 8192;
    benchmark::DoNotOptimize(
        quarantine::DecideAdmission(state, fingerprint, kNow));
  }
}
BENCHMARK(BenchmarkQuarantineLookup)->Arg(0)->Arg(110)->Arg(4096);

}  // namespace
}  // namespace boragepaddle::node
