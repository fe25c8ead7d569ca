#include "boragepaddle/daemon/peer_hub.h"

#include <algorithm>
#include <utility>

namespace boragepaddle::daemon {

namespace {

// A connection within a region takes about 3 ms; a VM that does not answer
// must not hold up a call for long.
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(300);

}  // namespace

PeerHub::PeerHub(HelloSource own_hello, transport::PeerLinkHandler& handler)
    : own_hello(std::move(own_hello)), handler(handler) {}

PeerHub::~PeerHub() {
  for (const PeerLinkPtr& link : this->Links()) {
    link->Close();
  }
}

void PeerHub::Accept(transport::Socket socket) {
  this->Start(std::move(socket));
}

PeerLinkPtr PeerHub::Connect(const std::string& address) {
  std::shared_ptr<Slot> slot;
  {
    absl::MutexLock lock(&this->mutex);
    auto& entry = this->outgoing[address];
    if (entry == nullptr) {
      entry = std::make_shared<Slot>();
    }
    slot = entry;
  }
  // Held while connecting, so that concurrent calls share one connection.
  absl::MutexLock lock(&slot->mutex);
  if (slot->link != nullptr && slot->link->open()) {
    return slot->link;
  }
  auto socket = transport::Connect(address, kConnectTimeout);
  if (!socket) {
    return nullptr;
  }
  slot->link = this->Start(std::move(socket.value()));
  return slot->link;
}

void PeerHub::Broadcast(const schema::Message& message) {
  for (const PeerLinkPtr& link : this->Links()) {
    link->Send(message);
  }
}

std::vector<PeerLinkPtr> PeerHub::Links() {
  std::vector<PeerLinkPtr> links;
  absl::MutexLock lock(&this->mutex);
  for (const auto& weak : this->all) {
    PeerLinkPtr link = weak.lock();
    if (link != nullptr && link->open()) {
      links.push_back(std::move(link));
    }
  }
  return links;
}

PeerLinkPtr PeerHub::Start(transport::Socket socket) {
  auto link = std::make_shared<transport::PeerLink>(
      this->next_link++, std::move(socket), transport::PeerLink::Settings(),
      this->handler);
  {
    absl::MutexLock lock(&this->mutex);
    const auto gone = [](const std::weak_ptr<transport::PeerLink>& weak) {
      return weak.expired();
    };
    auto& list = this->all;
    list.erase(std::remove_if(list.begin(), list.end(), gone), list.end());
    list.push_back(link);
  }
  link->Start(this->own_hello());
  return link;
}

}  // namespace boragepaddle::daemon
