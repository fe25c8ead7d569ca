#ifndef BORAGEPADDLE_DAEMON_PEER_HUB_H_
#define BORAGEPADDLE_DAEMON_PEER_HUB_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "boragepaddle/schema/messages.h"
#include "boragepaddle/transport/peer_link.h"
#include "boragepaddle/transport/socket.h"

namespace boragepaddle::daemon {

using PeerLinkPtr = std::shared_ptr<transport::PeerLink>;

/// All connections to other nodes, in both directions.
class PeerHub {
 public:
  /// Returns our Hello as of now.
  using HelloSource = std::function<schema::Hello()>;

  PeerHub(HelloSource own_hello, transport::PeerLinkHandler& handler);

  /// Closes all connections.
  ~PeerHub();

  /// Takes over a connection that another node opened.
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
  };

  PeerLinkPtr Start(transport::Socket socket);

  const HelloSource own_hello;
  transport::PeerLinkHandler& handler;
  std::atomic<uint64_t> next_link{1};
  absl::Mutex mutex;
  absl::flat_hash_map<std::string, std::shared_ptr<Slot>> outgoing
      ABSL_GUARDED_BY(mutex);
  std::vector<std::weak_ptr<transport::PeerLink>> all ABSL_GUARDED_BY(mutex);
};

}  // namespace boragepaddle::daemon

#endif  // BORAGEPADDLE_DAEMON_PEER_HUB_H_
