#ifndef BORAGEPADDLE_DAEMON_CONTROL_LINKS_H_
#define BORAGEPADDLE_DAEMON_CONTROL_LINKS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "boragepaddle/daemon/control_traffic.h"
#include "boragepaddle/node/control_action.h"
#include "boragepaddle/schema/messages.h"
#include "boragepaddle/transport/elastic_pool.h"
#include "boragepaddle/transport/peer_link.h"

namespace boragepaddle::daemon {

/// Connections for control messages, separate from those for calls, so that a
/// large delta does not delay a call. The number of outgoing connections is
/// limited; the least recently used one is closed first.
class ControlLinks {
 public:
  using PeerLinkPtr = std::shared_ptr<transport::PeerLink>;
  using HelloSource = std::function<schema::Hello()>;

  /// `handler` receives the events of the connections opened here.
  ControlLinks(HelloSource own_hello, transport::PeerLinkHandler& handler);
  ~ControlLinks();

  /// Sends asynchronously on a small thread pool, over the connection on which
  /// the VM last sent a control message or over a new one. May drop the
  /// message.
  void Send(node::SendMessage send);

  /// Counts a control message; later messages to its sender use the link.
  void NoteReceived(const PeerLinkPtr& link, const schema::Message& message);

  /// Removes a connection.
  void NoteClosed(const PeerLinkPtr& link);

  ControlTraffic traffic() const;

 private:
  struct Outgoing {
    PeerLinkPtr link;
    absl::Time last_used;
  };

  void SendNow(const node::SendMessage& send);
  PeerLinkPtr Find(absl::string_view vm_id, const std::string& address);
  PeerLinkPtr Connect(const std::string& address);
  void CloseLeastUsed() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  void CountHello(const schema::Hello& hello)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

  const HelloSource own_hello;
  transport::PeerLinkHandler& handler;
  mutable absl::Mutex mutex;
  absl::flat_hash_map<std::string, Outgoing> outgoing ABSL_GUARDED_BY(mutex);
  absl::flat_hash_map<std::string, std::weak_ptr<transport::PeerLink>> by_vm
      ABSL_GUARDED_BY(mutex);
  /// Ids of open connections that carried a control message.
  absl::flat_hash_set<uint64_t> used ABSL_GUARDED_BY(mutex);
  uint64_t next_link ABSL_GUARDED_BY(mutex);
  size_t pending ABSL_GUARDED_BY(mutex) = 0;
  ControlTraffic counts ABSL_GUARDED_BY(mutex);
  // Last member, so that its threads end before the members that they use are
  // destroyed.
  transport::ElasticPool pool;
};

}  // namespace boragepaddle::daemon

#endif  // BORAGEPADDLE_DAEMON_CONTROL_LINKS_H_
