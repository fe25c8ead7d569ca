#ifndef BORAGEPADDLE_DAEMON_CALLER_SERVICE_H_
#define BORAGEPADDLE_DAEMON_CALLER_SERVICE_H_

#include <atomic>
#include <cstdint>

#include "absl/types/optional.h"
#include "boragepaddle/daemon/egress_client.h"
#include "boragepaddle/daemon/request_contexts.h"
#include "boragepaddle/daemon/rule_book.h"
#include "boragepaddle/metrics/call_metrics.h"
#include "boragepaddle/node/egress.h"
#include "boragepaddle/transport/http_message.h"

namespace boragepaddle::daemon {

/// Answers `POST /call/<service>/<operation>` of callers and of the local
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

  /// Requests being served now.
  uint32_t active() const { return this->active_calls; }

 private:
  /// Service, operation and rule of a request.
  struct Target {
    std::string service;
    std::string operation;
    node::CallRule rule;
  };

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
};

/// Headers and status for the end of a call.
transport::HttpReply ToReply(node::FinishCall finish,
                             absl::string_view request_id);

/// Reply for a request that was not run.
transport::HttpReply NotRunReply(schema::Reason reason, uint32_t status);

}  // namespace boragepaddle::daemon

#endif  // BORAGEPADDLE_DAEMON_CALLER_SERVICE_H_
