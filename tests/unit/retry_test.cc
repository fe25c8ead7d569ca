#include <doctest/doctest.h>

#include "boragepaddle/daemon/request_contexts.h"
#include "boragepaddle/retry/back_off.h"
#include "boragepaddle/retry/retry_ratio.h"
#include "boragepaddle/retry/retry_tokens.h"
#include "boragepaddle/routing/random_bits.h"
#include "tests/unit/route_fixture.h"

namespace boragepaddle {
namespace {

using node::AttemptLoss;
using schema::Outcome;
using schema::Reason;

constexpr int kFanOut = 3;
constexpr int kDepth = 8;

/// A call tree in which all leaves fail and a share of the answers is lost.
struct Tree {
  node::EgressSettings settings{kHere, node::EgressPolicy::kFull};
  node::ServiceState service;
  daemon::RequestContexts contexts;
  uint64_t lost_percent = 0;
  uint64_t random = 0;
  uint64_t next_context = 0;
  uint64_t first_attempts = 0;
  uint64_t executions = 0;

  uint64_t Next() { return routing::DeriveBits(this->random++, 77); }
};

node::EgressCall MakeCall(uint32_t tokens) {
  node::EgressCall call;
  call.service = "catalogue";
  call.operation = "read";
  call.rule.retry_on_unknown = true;
  call.rule.retry_ratio_percent = 100;
  call.deadline = At(600000);
  call.tokens.remaining = tokens;
  return call;
}

uint32_t RunCall(Tree& tree, uint32_t tokens, int depth);

/// Runs the request at its upstream; returns the unspent retry tokens.
uint32_t Execute(Tree& tree, uint32_t tokens, int depth) {
  ++tree.executions;
  if (depth == kDepth) {
    return tokens;
  }
  const std::string id = absl::StrCat(tree.next_context++);
  daemon::RequestContext context;
  context.tokens.remaining = tokens;
  tree.contexts.Open(id, context);
  for (int i = 0; i < kFanOut; ++i) {
    const uint32_t delegated = tree.contexts.BeginChild(id)->tokens.remaining;
    const uint32_t left = RunCall(tree, delegated, depth + 1);
    tree.contexts.EndChild(id, delegated, left, false);
  }
  return tree.contexts.Close(id);
}

/// Makes one call with its retries; returns the unspent retry tokens.
uint32_t RunCall(Tree& tree, uint32_t tokens, int depth) {
  ++tree.first_attempts;
  node::EgressCall call = MakeCall(tokens);
  node::EgressAction action =
      node::BeginCall(call, tree.service, tree.settings, kStart, tree.Next());
  while (!std::holds_alternative<node::FinishCall>(action)) {
    if (auto* send = std::get_if<node::SendAttempt>(&action)) {
      const uint32_t left = Execute(tree, send->request.retry_tokens, depth);
      if (tree.Next() % 100 < tree.lost_percent) {
        action =
            node::OnAttemptLoss(call, tree.service, tree.settings,
                                AttemptLoss::kTimeout, kStart, tree.Next());
        continue;
      }
      auto answer = MakeAnswer(Outcome::kUnknown, Reason::kWorkerLost);
      answer.tokens_left = left;
      action = node::OnAttemptAnswer(call, tree.service, tree.settings, answer,
                                     kStart, tree.Next());
    } else {
      action = node::OnWaitOver(call, tree.service, tree.settings, kStart,
                                tree.Next());
    }
  }
  return std::get<node::FinishCall>(action).tokens_left;
}

// Guards against retries that multiply with the depth of the call chain (R1).
TEST_CASE("retry: executions stay within first attempts plus root tokens") {
  for (const uint64_t lost : {0, 30, 100}) {
    for (const uint32_t tokens : {0U, 2U, 16U}) {
      Tree tree;
      tree.lost_percent = lost;
      routing::SetUpstreams(tree.service.routes, kHere, MakeVms(3), kStart);
      const uint32_t left = RunCall(tree, tokens, 1);
      CHECK(tree.executions <= tree.first_attempts + tokens);
      CHECK(tree.executions >= (tokens > 0 ? 3280U + 1 : 3280U));
      CHECK(left <= tokens);
    }
  }
}

TEST_CASE("retry: a peer cannot return more tokens than it was given") {
  retry::RetryTokens budget{5};
  const uint32_t delegated = retry::Delegate(budget);
  CHECK(delegated == 3);
  retry::Return(budget, delegated, 1000);
  CHECK(budget.remaining == 5);
}

// Guards against a retry storm when all callers of a service retry at once.
TEST_CASE("retry: the ratio bounds the retries of a window") {
  retry::RetryRatio ratio;
  int few = 0;
  for (int i = 0; i < 10; ++i) {
    few += retry::TakeRetry(ratio, 10, At(0));
  }
  CHECK(few == 3);
  for (int i = 0; i < 1000; ++i) {
    retry::AddFirstAttempt(ratio, At(i));
  }
  int many = 0;
  for (int i = 0; i < 200; ++i) {
    many += retry::TakeRetry(ratio, 10, At(1000));
  }
  CHECK(few + many == 100);
  CHECK(retry::TakeRetry(ratio, 10, At(20000)));
}

TEST_CASE("retry: back-off doubles with jitter up to its cap") {
  CHECK(retry::BackOff(0, 0) == absl::Milliseconds(5));
  CHECK(retry::BackOff(1, ~uint64_t{0}) > absl::Milliseconds(29));
  CHECK(retry::BackOff(100, 0) == absl::Milliseconds(80));
}

}  // namespace
}  // namespace boragepaddle
