#include <algorithm>
#include <random>
#include <utility>

#include "absl/strings/str_format.h"
#include "boragepaddle/proxy/request_router.h"

// Rate limits of client accounts.

namespace boragepaddle::proxy {

namespace {

using limits::CreditDecision;

/// Spread of the retry time, so that refused clients do not return at the same
/// moment.
constexpr double kMaxRetryAfterFactor = 1.5;

}  // namespace

void RequestRouter::TakeCredit(RoutedCall& call) {
  const catalog::ClientAccount* account = call.client_account;
  if (account == nullptr || account->rate_per_s <= 0 ||
      this->shutdown.refuses_roots) {
    this->AdmitAndSend(call);
    return;
  }
  const limits::CreditVerdict verdict =
      this->account_limiter.Take(call.account, call.id);
  call.awaits_credit = verdict.decision == CreditDecision::kPending;
  if (!call.awaits_credit) {
    this->OnCreditVerdict(call.id, verdict);
  }
}

void RequestRouter::OnCreditVerdict(uint64_t id,
                                    const limits::CreditVerdict& verdict) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) {
    return;
  }
  RoutedCall& call = *found->second;
  call.awaits_credit = false;
  if (verdict.decision == CreditDecision::kGranted) {
    call.credit_expires = verdict.expires;
    this->AdmitAndSend(call);
    return;
  }
  call.last_reason = schema::Reason::kAccountLimit;
  std::uniform_real_distribution<double> spread(1, kMaxRetryAfterFactor);
  const absl::Duration retry_after =
      std::max(verdict.retry_after, this->bounds.min_retry_after) *
      spread(this->random);
  event::HttpReply reply;
  reply.status = 429;
  reply.fields.push_back(
      {this->dialect.retry_after,
       absl::StrFormat("%.3f", absl::ToDoubleSeconds(retry_after))});
  this->Finish(call, std::move(reply), "not_run");
}

void RequestRouter::ReturnCredit(RoutedCall& call) {
  if (call.credit_expires != absl::InfinitePast()) {
    this->account_limiter.Return(call.account, call.credit_expires);
    call.credit_expires = absl::InfinitePast();
  }
}

}  // namespace boragepaddle::proxy
