#ifndef BORAGEPADDLE_DAEMON_MESSAGE_ROUTER_H_
#define BORAGEPADDLE_DAEMON_MESSAGE_ROUTER_H_

#include <memory>

#include "boragepaddle/daemon/attempt_table.h"
#include "boragepaddle/daemon/ingress_server.h"
#include "boragepaddle/daemon/logger.h"
#include "boragepaddle/transport/peer_link.h"

namespace boragepaddle::daemon {

/// Dispatches connection events to the components of the node. `control`
/// receives all events and selects its own messages.
class MessageRouter : public transport::PeerLinkHandler {
 public:
  MessageRouter(IngressServer& ingress,
                AttemptTable& attempts,
                transport::PeerLinkHandler& control);

  void OnOpen(const PeerLinkPtr& link) override;
  void OnMessage(const PeerLinkPtr& link, schema::Message message) override;
  void OnClosed(const PeerLinkPtr& link) override;

 private:
  IngressServer& ingress;
  AttemptTable& attempts;
  transport::PeerLinkHandler& control;
  const Logger log{"peers"};
};

}  // namespace boragepaddle::daemon

#endif  // BORAGEPADDLE_DAEMON_MESSAGE_ROUTER_H_
