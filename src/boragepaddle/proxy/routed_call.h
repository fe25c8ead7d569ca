#ifndef BORAGEPADDLE_PROXY_ROUTED_CALL_H_
#define BORAGEPADDLE_PROXY_ROUTED_CALL_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "boragepaddle/catalog/route_catalog.h"
#include "boragepaddle/event/http_exchange.h"
#include "boragepaddle/event/peer_channel.h"
#include "boragepaddle/event/shared_body.h"
#include "boragepaddle/proxy/capacity_refusal.h"
#include "boragepaddle/recovery/outbound_attempt.h"
#include "boragepaddle/recovery/partial_body.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::proxy {

/// An answer whose body arrives in pieces.
struct PartialAnswer {
  schema::HttpAnswer head;
  recovery::PartialBody body;
  event::MemoryReservation reservation;
};

/// One request from its arrival until its reply.
struct RoutedCall {
  uint64_t id = 0;
  std::shared_ptr<event::HttpExchange> exchange;
  /// Body of the request if it is large; null if `exchange` has it. Kept for
  /// further attempts.
  event::SharedBody body;
  /// Keeps the route valid while newer configurations come into force.
  std::shared_ptr<const catalog::RouteCatalog> routes;
  const catalog::Route* route = nullptr;
  std::string service;
  std::string request_id;
  /// Request that the local worker was running when it made this one; empty for
  /// a root request.
  std::string parent_id;
  bool nested = false;
  /// Account of the root request's key, in `routes`; null for nested calls and
  /// for requests without a key.
  const catalog::ClientAccount* client_account = nullptr;
  /// Name of the account that the request, or its root request, belongs to;
  /// empty if none.
  std::string account;
  /// Waits for credit of the account's rate limit.
  bool awaits_credit = false;
  /// Until when the credit can be returned; infinite past without credit.
  absl::Time credit_expires = absl::InfinitePast();
  /// A root request that the rate limiter admitted.
  bool admitted = false;
  absl::Time admitted_at;
  /// Priority of the root request.
  uint32_t priority = 0;
  /// The parent request is itself a retry, and the call was counted in the
  /// retry budget.
  bool parent_is_retry = false;
  bool admitted_in_budget = false;
  bool wants_use = false;
  absl::Time arrived;
  /// End of the time limit of the client, of the route or of the parent
  /// request.
  absl::Time deadline;

  /// Instances to which the call was sent.
  std::vector<std::string> tried_instances;
  /// Attempts that a worker received, or may have received.
  uint32_t worker_attempts = 0;
  /// Attempts that the worker rejected without running the request.
  uint32_t worker_rejections = 0;
  /// Attempts that ended before any worker received them, such as at nodes
  /// without capacity.
  uint32_t reroutes = 0;
  /// While the call waits for capacity: time of the next check, and end of the
  /// wait.
  absl::Time next_capacity_check_at = absl::InfiniteFuture();
  absl::Time capacity_wait_until = absl::InfinitePast();
  /// Service whose lack of capacity held the root request back.
  std::string limiting_service;
  /// The last refusal was due to the account's recent use of that service.
  bool over_fair_share = false;
  /// Refusal of this nested call, or of a call nested in this one.
  CapacityRefusal refusal;
  /// Not sent, since this process ends before the call could complete.
  bool refused_for_shutdown = false;
  /// An attempt may have run without a complete answer.
  bool may_have_run = false;
  schema::Reason last_reason = schema::Reason::kNoUpstream;
  absl::Duration retry_after;

  /// True while an attempt is in progress.
  bool is_attempt_pending = false;
  /// Id of the attempt in messages; unique for each attempt.
  uint64_t attempt_id = 0;
  /// The attempt is sent to the worker of this VM.
  bool is_local = false;
  /// State of an attempt that was sent to another node. While it is resumed
  /// without a channel, the peer is asked again at `next_resume_at`.
  recovery::OutboundAttempt remote;
  absl::Time next_resume_at = absl::InfiniteFuture();
  /// Host that is asked for the state of the attempt.
  std::string resume_host;
  event::PeerChannelPtr channel;
  /// The beginning of the answer, received on `channel`.
  absl::optional<PartialAnswer> partial_answer;
  /// Id that the local worker proxy assigned to a local attempt.
  uint64_t local_call_id = 0;
  std::string instance;
  absl::Time sent_at;
};

}  // namespace boragepaddle::proxy

#endif  // BORAGEPADDLE_PROXY_ROUTED_CALL_H_
