#ifndef BORAGEPADDLE_DAEMON_CALLER_SERVICE_H_
#define BORAGEPADDLE_DAEMON_CALLER_SERVICE_H_

#include <atomic>
#include <cstdint>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "boragepaddle/daemon/egress_client.h"
#include "boragepaddle/daemon/request_contexts.h"
#include "boragepaddle/daemon/rule_book.h"
#include "boragepaddle/metrics/call_metrics.h"
#include "boragepaddle/node/egress.h"
#include "boragepaddle/transport/http_message.h"

namespace boragepaddle::daemon {

/// Serves `POST /call/<service>/<operation>` for callers and for the local
/// worker.
class CallerService {
 public:
  CallerService(RuleBook& rules,
                RequestContexts& contexts,
                EgressClient& egress,
                metrics::CallMetrics& metrics);

  /// A request on the caller port: always a new root request.
  transport::HttpReply FromCaller(const transport::HttpCall& http);

  /// A request on the worker port: a child call if its context is valid.
  transport::HttpReply FromWorker(const transport::HttpCall& http);

  /// Refuses new requests of callers from now on. Calls of the local worker are
  /// still served, since they belong to requests in flight.
  void StartLeaving();

  /// True when no request is being served and callers have had time to switch
  /// to other nodes.
  bool IsDrained();

  /// Number of requests being served.
  uint32_t active() const { return this->active_calls; }

 private:
  /// Service, operation and rule of a request.
  struct Target {
    std::string service;
    std::string operation;
    node::CallRule rule;
  };

  bool IsLeaving();
  absl::optional<Target> Resolve(const transport::HttpCall& http);
  transport::HttpReply RunRoot(const transport::HttpCall& http,
                               Target target,
                               bool trusted);
  node::FinishCall Run(node::EgressCall call, const transport::HttpCall& http);

  RuleBook& rules;
  RequestContexts& contexts;
  EgressClient& egress;
  metrics::CallMetrics& metrics;
  std::atomic<uint32_t> active_calls{0};
  absl::Mutex mutex;
  /// Time at which the node started to leave.
  absl::Time leaving_since ABSL_GUARDED_BY(mutex) = absl::InfiniteFuture();
  /// Time of the last caller request that was refused since then.
  absl::Time last_refused ABSL_GUARDED_BY(mutex) = absl::InfinitePast();
};

/// Builds the HTTP reply for a finished call.
transport::HttpReply ToReply(node::FinishCall finish,
                             absl::string_view request_id);

/// Builds the reply for a request that this node refuses as its entry node. The
/// outcome is not run, or unknown if the request has a ticket, since it may
/// have been sent with the ticket before.
transport::HttpReply RefusalReply(const transport::HttpCall& http,
                                  schema::Reason reason,
                                  uint32_t status);

}  // namespace boragepaddle::daemon

#endif  // BORAGEPADDLE_DAEMON_CALLER_SERVICE_H_
