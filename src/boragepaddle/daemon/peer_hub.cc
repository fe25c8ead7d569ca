#include "boragepaddle/daemon/peer_hub.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "boragepaddle/transport/clock.h"

namespace boragepaddle::daemon {

namespace {

// Connecting within a region takes about 3 ms; a VM that does not respond must
// not delay a call for long.
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(300);

// Each occupies a thread until its Hello arrives or times out.
constexpr size_t kMaxUnidentifiedLinks = 256;

}  // namespace

PeerHub::PeerHub(HelloSource own_hello, transport::PeerLinkHandler& handler)
    : own_hello(std::move(own_hello)), handler(handler) {}

PeerHub::~PeerHub() {
  for (const PeerLinkPtr& link : this->Links()) {
    link->Close();
  }
}

void PeerHub::Accept(transport::Socket socket) {
  {
    absl::MutexLock lock(&this->mutex);
    if (this->unidentified_links.size() >= kMaxUnidentifiedLinks) {
      return;
    }
  }
  this->Start(std::move(socket), /*opened_here=*/false);
}

PeerLinkPtr PeerHub::Connect(const std::string& address) {
  const absl::Time asked = transport::MonotonicNow();
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
  // Calls that waited for a failed connection attempt share its result.
  // Otherwise they would wait for one connect timeout after the other.
  if (slot->last_failure >= asked) {
    return nullptr;
  }
  auto socket = transport::Connect(address, kConnectTimeout);
  if (!socket) {
    slot->last_failure = transport::MonotonicNow();
    return nullptr;
  }
  slot->link = this->Start(std::move(socket.value()), /*opened_here=*/true);
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

void PeerHub::OnOpen(const PeerLinkPtr& link) {
  {
    absl::MutexLock lock(&this->mutex);
    this->unidentified_links.erase(link->id());
  }
  if (this->observer != nullptr) {
    this->observer->OnPeerHello(link->peer(), this->IsOpenedHere(link->id()));
  }
  this->handler.OnOpen(link);
}

void PeerHub::OnMessage(const PeerLinkPtr& link, schema::Message message) {
  const auto* leaving = std::get_if<schema::Leaving>(&message);
  const schema::Hello& peer = link->peer();
  // A node can only announce its own leaving.
  if (leaving != nullptr && this->observer != nullptr &&
      leaving->vm_id == peer.vm_id &&
      leaving->incarnation == peer.incarnation) {
    this->observer->OnPeerLeaving(peer);
  }
  this->handler.OnMessage(link, std::move(message));
}

void PeerHub::OnClosed(const PeerLinkPtr& link) {
  bool opened = false;
  {
    absl::MutexLock lock(&this->mutex);
    opened = this->opened_here.erase(link->id()) > 0;
    this->unidentified_links.erase(link->id());
  }
  if (opened && this->observer != nullptr) {
    this->observer->OnPeerLost(link->peer());
  }
  this->handler.OnClosed(link);
}

bool PeerHub::IsOpenedHere(uint64_t link_id) {
  absl::MutexLock lock(&this->mutex);
  return this->opened_here.contains(link_id);
}

PeerLinkPtr PeerHub::Start(transport::Socket socket, bool opened_here) {
  auto link = std::make_shared<transport::PeerLink>(
      this->next_link++, std::move(socket), transport::PeerLink::Settings(),
      static_cast<transport::PeerLinkHandler&>(*this));
  {
    absl::MutexLock lock(&this->mutex);
    auto& kind = opened_here ? this->opened_here : this->unidentified_links;
    kind.insert(link->id());
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
