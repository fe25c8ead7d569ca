#ifndef EMULATOR_FAULT_PROXY_H_
#define EMULATOR_FAULT_PROXY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "emulator/link_rules.h"
#include "emulator/proxy_connection.h"

namespace emulator {

/// Counters of the proxy.
struct ProxyStats {
  size_t connections = 0;
  uint64_t accepted = 0;
  uint64_t cut = 0;
  uint64_t bytes = 0;
};

/// TCP proxy with any number of listeners, served by one thread. Rules apply
/// to open connections at once. The other methods may be called from any
/// thread.
class FaultProxy {
 public:
  FaultProxy();
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  /// Serves all listeners; does not return.
  void Run();

  /// Opens a listener in front of `target_port`; returns its port or -1.
  int AddListener(LinkEndpoint target, int target_port);

  /// Changes the target of a listener, for a VM that was started again.
  bool SetTarget(int listener_port, int target_port);

  void SetRules(std::vector<LinkRule> rules);

  /// Resets all open connections that match; returns their number.
  size_t ResetConnections(const LinkRule& match);

  /// Ends one direction of all open connections that match.
  size_t HalfCloseConnections(const LinkRule& match);

  ProxyStats Stats();

 private:
  struct Listener {
    int socket = -1;
    int target_port = 0;
    LinkEndpoint target;
  };
  using ScheduledWakeup = std::pair<absl::Time, uint64_t>;

  void WaitForEvents(absl::Time next);
  void OnEvent(uint64_t id, uint32_t events)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  void Accept(const Listener& listener) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  void ServeConnection(uint64_t connection_id)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  void ServeDueConnections() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  void ScheduleWakeup(uint64_t connection_id,
                      absl::Time time,
                      ProxyConnection* connection)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  absl::Time NextWakeup() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  void UpdateEvents(uint64_t connection_id, ProxyConnection* connection)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  size_t ForEachMatching(const LinkRule& match,
                         const std::function<void(ProxyConnection*)>& action);
  void WakeEventLoop() const;

  int epoll_fd = -1;
  int timer_fd = -1;
  int wake_fd = -1;
  absl::Mutex mutex;
  std::vector<LinkRule> rules ABSL_GUARDED_BY(mutex);
  absl::flat_hash_map<uint64_t, Listener> listeners ABSL_GUARDED_BY(mutex);
  absl::flat_hash_map<uint64_t, std::unique_ptr<ProxyConnection>> connections
      ABSL_GUARDED_BY(mutex);
  std::priority_queue<ScheduledWakeup,
                      std::vector<ScheduledWakeup>,
                      std::greater<>>
      wakeups ABSL_GUARDED_BY(mutex);
  uint64_t next_id ABSL_GUARDED_BY(mutex) = 1;
  ProxyStats stats ABSL_GUARDED_BY(mutex);
};

}  // namespace emulator

#endif  // EMULATOR_FAULT_PROXY_H_
