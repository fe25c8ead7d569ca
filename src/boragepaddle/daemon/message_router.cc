#include "boragepaddle/daemon/message_router.h"

#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"

namespace boragepaddle::daemon {

MessageRouter::MessageRouter(IngressServer& ingress,
                             AttemptTable& attempts,
                             transport::PeerLinkHandler& control)
    : ingress(ingress), attempts(attempts), control(control) {}

void MessageRouter::OnOpen(const PeerLinkPtr& link) {
  this->ingress.OnLinkOpen(link);
  this->control.OnOpen(link);
}

void MessageRouter::OnMessage(const PeerLinkPtr& link,
                              schema::Message message) {
  if (auto* request = std::get_if<schema::CallRequest>(&message)) {
    this->ingress.OnCallRequest(link, std::move(*request));
  } else if (auto* answer = std::get_if<schema::CallAnswer>(&message)) {
    // A late answer matches no waiting attempt and is dropped.
    this->attempts.OnAnswer(link->id(), std::move(*answer));
  } else if (auto* cancel = std::get_if<schema::CancelCall>(&message)) {
    this->ingress.OnCancel(link, *cancel);
  } else if (auto* grant = std::get_if<schema::TicketGrant>(&message)) {
    this->attempts.OnGrant(link->id(), std::move(*grant));
  } else if (auto* ticket = std::get_if<schema::TicketRequest>(&message)) {
    this->ingress.OnTicketRequest(link, *ticket);
  } else if (auto* report = std::get_if<schema::CrashReport>(&message)) {
    this->ingress.OnCrashReport(link, *report);
  } else if (auto* ack = std::get_if<schema::CrashAck>(&message)) {
    this->ingress.OnCrashAck(link, *ack);
  } else {
    this->control.OnMessage(link, std::move(message));
  }
}

void MessageRouter::OnClosed(const PeerLinkPtr& link) {
  if (link->reason() != transport::LinkClose::kConnectionClosed &&
      link->reason() != transport::LinkClose::kLocal) {
    this->log.Warn(absl::StrCat("closed connection link=", link->id(),
                                " reason=", ToString(link->reason())));
  }
  this->attempts.OnLinkClosed(link->id());
  this->ingress.OnLinkClosed(link);
  this->control.OnClosed(link);
}

}  // namespace boragepaddle::daemon
