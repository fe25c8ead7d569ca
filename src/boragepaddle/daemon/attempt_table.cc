#include "boragepaddle/daemon/attempt_table.h"

#include <algorithm>
#include <utility>

#include "boragepaddle/transport/clock.h"

namespace boragepaddle::daemon {

namespace {

// How often a waiting call checks that its caller is still connected.
constexpr absl::Duration kConnectedCheckInterval = absl::Milliseconds(50);

}  // namespace

uint64_t AttemptTable::Register(uint64_t link_id) {
  const uint64_t attempt_id = this->next_attempt++;
  auto waiter = std::make_shared<Waiter>();
  waiter->link_id = link_id;
  this->tables.With(attempt_id, [&](Table& table) {
    table.emplace(attempt_id, std::move(waiter));
  });
  return attempt_id;
}

AttemptResult AttemptTable::Wait(
    uint64_t attempt_id,
    absl::Time give_up_at,
    const std::function<bool()>& caller_connected) {
  const std::shared_ptr<Waiter> waiter = this->Find(attempt_id);
  node::AttemptLoss loss = node::AttemptLoss::kTimeout;
  waiter->mutex.Lock();
  while (!waiter->done) {
    const absl::Duration left = give_up_at - transport::MonotonicNow();
    if (left <= absl::ZeroDuration()) {
      break;
    }
    if (!caller_connected()) {
      loss = node::AttemptLoss::kCallerGone;
      break;
    }
    waiter->mutex.AwaitWithTimeout(absl::Condition(&waiter->done),
                                   std::min(left, kConnectedCheckInterval));
  }
  AttemptResult result;
  if (waiter->done) {
    result = std::move(waiter->result);
  } else {
    result.loss = loss;
  }
  waiter->mutex.Unlock();
  this->Forget(attempt_id);
  return result;
}

void AttemptTable::Forget(uint64_t attempt_id) {
  this->tables.With(attempt_id, [&](Table& table) { table.erase(attempt_id); });
}

bool AttemptTable::OnAnswer(uint64_t link_id, schema::CallAnswer answer) {
  const uint64_t attempt_id = answer.attempt_id;
  AttemptResult result;
  result.answer = std::move(answer);
  return Finish(this->Find(attempt_id), link_id, std::move(result));
}

bool AttemptTable::OnGrant(uint64_t link_id, schema::TicketGrant grant) {
  const uint64_t attempt_id = grant.attempt_id;
  AttemptResult result;
  result.grant = std::move(grant);
  return Finish(this->Find(attempt_id), link_id, std::move(result));
}

void AttemptTable::OnLinkClosed(uint64_t link_id) {
  this->tables.ForEach([link_id](Table& table) {
    for (const auto& [id, waiter] : table) {
      AttemptResult result;
      result.loss = node::AttemptLoss::kConnectionLost;
      Finish(waiter, link_id, std::move(result));
    }
  });
}

size_t AttemptTable::size() {
  size_t total = 0;
  this->tables.ForEach([&total](Table& table) { total += table.size(); });
  return total;
}

std::shared_ptr<AttemptTable::Waiter> AttemptTable::Find(uint64_t attempt_id) {
  return this->tables.With(
      attempt_id, [&](Table& table) -> std::shared_ptr<Waiter> {
        const auto found = table.find(attempt_id);
        return found == table.end() ? nullptr : found->second;
      });
}

bool AttemptTable::Finish(const std::shared_ptr<Waiter>& waiter,
                          uint64_t link_id,
                          AttemptResult result) {
  if (waiter == nullptr || waiter->link_id != link_id) {
    return false;
  }
  absl::MutexLock lock(&waiter->mutex);
  if (waiter->done) {
    return false;
  }
  waiter->result = std::move(result);
  waiter->done = true;
  return true;
}

}  // namespace boragepaddle::daemon
