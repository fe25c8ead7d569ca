#ifndef BORAGEPADDLE_DAEMON_PEER_HUB_H_
#define BORAGEPADDLE_DAEMON_PEER_HUB_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "boragepaddle/schema/messages.h"
#include "boragepaddle/transport/peer_link.h"
#include "boragepaddle/transport/socket.h"

namespace boragepaddle::daemon {

using PeerLinkPtr = std::shared_ptr<transport::PeerLink>;

/// Receives events about peer nodes. Called on the reader threads of the links.
class PeerObserver {
 public:
  virtual ~PeerObserver() = default;

  /// A peer sent its Hello. `listed` is true if this node opened the
  /// connection, so that the peer is the one at the address in the VM list.
  virtual void OnPeerHello(const schema::Hello& hello, bool listed) = 0;
  virtual void OnPeerLeaving(const schema::Hello& hello) = 0;
  /// A connection that this node opened was closed.
  virtual void OnPeerLost(const schema::Hello& hello) = 0;
};

/// All connections to other nodes, in both directions.
class PeerHub : private transport::PeerLinkHandler {
 public:
  /// Returns the current Hello of this node.
  using HelloSource = std::function<schema::Hello()>;

  PeerHub(HelloSource own_hello, transport::PeerLinkHandler& handler);

  /// Closes all connections.
  ~PeerHub() override;

  /// Sets the only observer; must be called before the first connection.
  void Observe(PeerObserver* observer) { this->observer = observer; }

  /// Accepts a connection that another node opened. Closes it if too many
  /// connections are waiting for their Hello.
  void Accept(transport::Socket socket);

  /// Returns an open connection to the address, connecting if there is none;
  /// null if that fails.
  PeerLinkPtr Connect(const std::string& address);

  /// Sends a message on every open connection.
  void Broadcast(const schema::Message& message);

  /// Open connections.
  std::vector<PeerLinkPtr> Links();

 private:
  /// Lock and connection of one outgoing address.
  struct Slot {
    absl::Mutex mutex;
    PeerLinkPtr link ABSL_GUARDED_BY(mutex);
    absl::Time last_failure ABSL_GUARDED_BY(mutex) = absl::InfinitePast();
  };

  void OnOpen(const PeerLinkPtr& link) override;
  void OnMessage(const PeerLinkPtr& link, schema::Message message) override;
  void OnClosed(const PeerLinkPtr& link) override;

  PeerLinkPtr Start(transport::Socket socket, bool opened_here);
  bool IsOpenedHere(uint64_t link_id);

  const HelloSource own_hello;
  transport::PeerLinkHandler& handler;
  PeerObserver* observer = nullptr;
  std::atomic<uint64_t> next_link{1};
  absl::Mutex mutex;
  /// Open links that this node opened.
  absl::flat_hash_set<uint64_t> opened_here ABSL_GUARDED_BY(mutex);
  /// Accepted links whose peer has not sent its Hello.
  absl::flat_hash_set<uint64_t> unidentified_links ABSL_GUARDED_BY(mutex);
  absl::flat_hash_map<std::string, std::shared_ptr<Slot>> outgoing
      ABSL_GUARDED_BY(mutex);
  std::vector<std::weak_ptr<transport::PeerLink>> all ABSL_GUARDED_BY(mutex);
};

}  // namespace boragepaddle::daemon

#endif  // BORAGEPADDLE_DAEMON_PEER_HUB_H_
