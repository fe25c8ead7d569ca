#include "boragepaddle/caller/caller.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "absl/random/random.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/clock.h"
#include "boragepaddle/caller/resend_plan.h"

namespace boragepaddle::caller {

namespace {

constexpr absl::Duration kFirstPause = absl::Milliseconds(20);
constexpr uint32_t kMaxDoublings = 4;

std::string NewRequestId() {
  absl::BitGen random;
  return absl::StrFormat("%016x%016x", absl::Uniform<uint64_t>(random),
                         absl::Uniform<uint64_t>(random));
}

/// Random, so that the callers of an overloaded service do not resend at once.
absl::Duration PauseBefore(uint32_t send) {
  absl::BitGen random;
  const int factor = 1 << std::min(send, kMaxDoublings);
  return kFirstPause * factor * absl::Uniform(random, 0.5, 1.5);
}

}  // namespace

Caller::Caller(const CallerSettings& settings) : settings(settings) {
  assert(!settings.entry_nodes.empty());
  for (const std::string& address : settings.entry_nodes) {
    this->entries.push_back(std::make_unique<EntryClient>(address));
  }
}

CallResult Caller::Call(absl::string_view service,
                        absl::string_view operation,
                        absl::string_view body) {
  const absl::Time deadline = absl::Now() + this->settings.deadline;
  SendRequest request;
  request.path = absl::StrCat("/call/", service, "/", operation);
  request.request_id = NewRequestId();
  request.body = body;
  ResendPlan plan;
  plan.last.reason = schema::Reason::kDeadline;
  size_t entry = 0;
  while (true) {
    request.left = deadline - absl::Now();
    if (request.left < absl::Milliseconds(1)) {
      return plan.last;
    }
    request.ticket = plan.ticket;
    SendResult sent = this->entries[entry]->Send(request);
    switch (OnSendResult(plan, std::move(sent), this->settings.attempts)) {
      case NextStep::kFinish:
        return plan.last;
      case NextStep::kSendNow:
        break;
      case NextStep::kSendElsewhere:
        entry = (entry + 1) % this->entries.size();
        absl::SleepFor(
            std::min(PauseBefore(plan.sends - 1), deadline - absl::Now()));
        break;
    }
  }
}

}  // namespace boragepaddle::caller
