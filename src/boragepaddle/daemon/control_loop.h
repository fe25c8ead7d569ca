#ifndef BORAGEPADDLE_DAEMON_CONTROL_LOOP_H_
#define BORAGEPADDLE_DAEMON_CONTROL_LOOP_H_

#include <deque>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "boragepaddle/config_service/watch_thread.h"
#include "boragepaddle/daemon/control_links.h"
#include "boragepaddle/daemon/logger.h"
#include "boragepaddle/daemon/rule_book.h"
#include "boragepaddle/daemon/traffic_window.h"
#include "boragepaddle/node/control.h"
#include "boragepaddle/schema/settings.h"
#include "boragepaddle/transport/peer_link.h"

namespace boragepaddle::daemon {

/// Event loop of the control plane, which keeps the configuration and the VM
/// list up to date.
class ControlLoop : public transport::PeerLinkHandler {
 public:
  using PeerLinkPtr = std::shared_ptr<transport::PeerLink>;
  using ListSink = std::function<void(const membership::VmList& list)>;

  ControlLoop(const schema::NodeSettings& settings,
              RuleBook& rules,
              ControlLinks::HelloSource own_hello,
              ListSink install_list);
  ~ControlLoop() override;

  /// Starts to query peers and the platform. The listeners must be open.
  void Start();

  /// Events of the control connections and of all other connections.
  void OnOpen(const PeerLinkPtr& link) override;
  void OnMessage(const PeerLinkPtr& link, schema::Message message) override;
  void OnClosed(const PeerLinkPtr& link) override;

  /// True when a configuration and a VM list are installed.
  bool ready() const;

  /// Versions, counters and traffic for /status.
  nlohmann::json Status() const;

 private:
  /// Snapshot of the state for other threads.
  struct Published {
    bool ready = false;
    bool watching = false;
    size_t reader_rank = dissemination::kReadersPerZone;
    dissemination::VersionTag config;
    dissemination::VersionTag list;
    dissemination::VersionTag refused;
    node::ControlCounters counters;
    TrafficRates rates;
  };

  std::vector<node::ConfigFault> Check(
      const dissemination::ConfigFolder& folder);
  void Post(node::ControlEvent event);
  void Run();
  bool TakeEvents(absl::Time next_tick, std::deque<node::ControlEvent>* events);
  void Handle(const node::ControlEvent& event);
  void Publish();

  void Perform(node::SendMessage& action);
  void Perform(const node::WatchPlatform& action);
  void Perform(const node::ReadPlatform& action);
  void Perform(const node::InstallConfig& action);
  void Perform(const node::InstallList& action);
  void Perform(const node::AuditConfig& action);
  void Perform(const node::RaiseAlarm& action);

  RuleBook& rules;
  const ListSink install_list;
  const Logger log{"control"};
  node::ControlState state;
  TrafficWindow window;
  mutable absl::Mutex mutex;
  bool stopping ABSL_GUARDED_BY(mutex) = false;
  std::deque<node::ControlEvent> queue ABSL_GUARDED_BY(mutex);
  Published published ABSL_GUARDED_BY(mutex);
  ControlLinks links;
  config_service::WatchThread config_watch;
  config_service::WatchThread list_watch;
  std::thread thread;
};

/// True for messages that ControlLoop handles.
bool IsControlMessage(const schema::Message& message);

}  // namespace boragepaddle::daemon

#endif  // BORAGEPADDLE_DAEMON_CONTROL_LOOP_H_
