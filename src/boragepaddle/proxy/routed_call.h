#ifndef BORAGEPADDLE_PROXY_ROUTED_CALL_H_
#define BORAGEPADDLE_PROXY_ROUTED_CALL_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "boragepaddle/catalog/route_catalog.h"
#include "boragepaddle/event/http_exchange.h"
#include "boragepaddle/event/peer_channel.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::proxy {

/// One request of a client between its arrival and its answer.
struct RoutedCall {
  uint64_t id = 0;
  std::shared_ptr<event::HttpExchange> exchange;
  /// Keeps the route alive while newer configurations come into force.
  std::shared_ptr<const catalog::RouteCatalog> routes;
  const catalog::Route* route = nullptr;
  std::string service;
  std::string request_id;
  /// Request of the local worker that made this one; empty for a root.
  std::string parent_id;
  bool nested = false;
  /// A root that the gate admitted.
  bool admitted = false;
  /// Of the root request.
  uint32_t priority = 0;
  /// The parent's run is itself a repeat.
  bool parent_is_retry = false;
  bool wants_use = false;
  absl::Time arrived;
  /// When the client, or the route's timeout, ends the wait.
  absl::Time deadline;

  /// Instances that the call was sent to.
  std::vector<std::string> tried_instances;
  /// Workers that were given the request, or may have been.
  uint32_t worker_attempts = 0;
  /// Offers that the worker refused without running the request.
  uint32_t worker_rejections = 0;
  /// Refusals by nodes that had no room.
  uint32_t reroutes = 0;
  /// While no worker has room: when to look again, and until when.
  absl::Time next_capacity_check_at = absl::InfiniteFuture();
  absl::Time capacity_wait_until = absl::InfinitePast();
  /// Service that had no room for the root request, if it was held back.
  std::string limiting_service;
  /// An attempt may have run without an answer.
  bool may_have_run = false;
  schema::Reason last_reason = schema::Reason::kNoUpstream;
  absl::Duration retry_after;

  /// The attempt in progress.
  bool is_attempt_pending = false;
  /// Its id on the wire; another one for each attempt.
  uint64_t attempt_id = 0;
  /// The attempt goes to the worker of this VM.
  bool is_local = false;
  /// The connection ended, and the other node is asked on a new one what
  /// became of the attempt. Without a channel, the next try is at
  /// `next_resume_at`.
  bool is_resuming = false;
  absl::Time next_resume_at = absl::InfiniteFuture();
  /// Where the attempt went, once the connection ended.
  std::string resume_host;
  uint64_t resume_incarnation = 0;
  event::PeerChannelPtr channel;
  /// Id that the worker side of this node gave to a local attempt.
  uint64_t local_call_id = 0;
  std::string instance;
  absl::Time sent_at;
};

}  // namespace boragepaddle::proxy

#endif  // BORAGEPADDLE_PROXY_ROUTED_CALL_H_
