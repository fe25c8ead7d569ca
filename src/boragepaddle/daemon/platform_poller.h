#ifndef BORAGEPADDLE_DAEMON_PLATFORM_POLLER_H_
#define BORAGEPADDLE_DAEMON_PLATFORM_POLLER_H_

#include <atomic>
#include <string>
#include <thread>

#include "boragepaddle/daemon/egress_client.h"
#include "boragepaddle/daemon/ingress_server.h"
#include "boragepaddle/daemon/logger.h"
#include "boragepaddle/daemon/rule_book.h"

namespace boragepaddle::daemon {

/// Polls the platform for configuration and VM list.
class PlatformPoller {
 public:
  PlatformPoller(const std::string& platform_address,
                 RuleBook& rules,
                 EgressClient& egress,
                 IngressServer& ingress);
  ~PlatformPoller();

 private:
  void Loop();
  void PollConfig();
  void PollVms();

  const std::string url;
  RuleBook& rules;
  EgressClient& egress;
  IngressServer& ingress;
  const Logger log{"platform"};
  uint64_t list_revision = 0;
  std::atomic<bool> stopping{false};
  std::thread thread;
};

}  // namespace boragepaddle::daemon

#endif  // BORAGEPADDLE_DAEMON_PLATFORM_POLLER_H_
