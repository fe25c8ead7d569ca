#include "boragepaddle/daemon/control_links.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "boragepaddle/transport/clock.h"
#include "boragepaddle/transport/socket.h"

namespace boragepaddle::daemon {
namespace {

using transport::MonotonicNow;
using transport::PeerLink;

// Enough for the children in one dissemination tree (8) and the relays of a
// reader at the target fleet size (15). Each connection occupies a thread on
// both sides.
constexpr size_t kMaxOutgoing = 24;

// Sending blocks on peers that are unreachable (connect timeout) or paused with
// full socket buffers (2 s). Several threads keep other messages from waiting
// behind them.
constexpr size_t kSenderThreads = 8;
constexpr size_t kMaxPending = 1024;

constexpr absl::Duration kConnectTimeout = absl::Milliseconds(300);

// Keeps the ids distinct from those of the connections for calls.
constexpr uint64_t kFirstLinkId = uint64_t{1} << 62;

constexpr size_t kFrameHeaderBytes = 4;

uint64_t FrameBytes(const schema::Message& message) {
  return schema::Encode(message).size() + kFrameHeaderBytes;
}

}  // namespace

ControlLinks::ControlLinks(HelloSource own_hello,
                           transport::PeerLinkHandler& handler)
    : own_hello(std::move(own_hello)),
      handler(handler),
      next_link(kFirstLinkId),
      pool(kSenderThreads) {}

ControlLinks::~ControlLinks() {
  std::vector<PeerLinkPtr> links;
  {
    absl::MutexLock lock(&this->mutex);
    for (const auto& [address, entry] : this->outgoing) {
      links.push_back(entry.link);
    }
  }
  for (const PeerLinkPtr& link : links) {
    link->Close();
  }
}

void ControlLinks::Send(node::SendMessage send) {
  {
    absl::MutexLock lock(&this->mutex);
    if (this->pending >= kMaxPending) {
      ++this->counts.messages_dropped;
      return;
    }
    ++this->pending;
  }
  this->pool.Submit([this, send = std::move(send)] {
    this->SendNow(send);
    absl::MutexLock lock(&this->mutex);
    --this->pending;
  });
}

void ControlLinks::NoteReceived(const PeerLinkPtr& link,
                                const schema::Message& message) {
  const uint64_t bytes = FrameBytes(message);
  absl::MutexLock lock(&this->mutex);
  ++this->counts.messages_received;
  this->counts.bytes_received += bytes;
  if (this->used.insert(link->id()).second && link->id() < kFirstLinkId) {
    this->CountHello(link->peer());
  }
  this->by_vm[link->peer().vm_id] = link;
}

void ControlLinks::NoteClosed(const PeerLinkPtr& link) {
  absl::MutexLock lock(&this->mutex);
  this->used.erase(link->id());
  const auto found = this->by_vm.find(link->peer().vm_id);
  if (found != this->by_vm.end() &&
      (found->second.expired() || found->second.lock() == link)) {
    this->by_vm.erase(found);
  }
  absl::erase_if(this->outgoing, [&link](const auto& item) {
    return item.second.link == link;
  });
}

ControlTraffic ControlLinks::traffic() const {
  absl::MutexLock lock(&this->mutex);
  return this->counts;
}

void ControlLinks::SendNow(const node::SendMessage& send) {
  PeerLinkPtr link = this->Find(send.vm_id, send.address);
  if (link == nullptr) {
    link = this->Connect(send.address);
  }
  const bool sent = link != nullptr && link->Send(send.message);
  const uint64_t bytes = sent ? FrameBytes(send.message) : 0;
  absl::MutexLock lock(&this->mutex);
  this->counts.messages_sent += sent ? 1 : 0;
  this->counts.bytes_sent += bytes;
  this->counts.messages_dropped += sent ? 0 : 1;
}

ControlLinks::PeerLinkPtr ControlLinks::Find(absl::string_view vm_id,
                                             const std::string& address) {
  absl::MutexLock lock(&this->mutex);
  const auto known = this->by_vm.find(vm_id);
  if (known != this->by_vm.end()) {
    PeerLinkPtr link = known->second.lock();
    if (link != nullptr && link->open()) {
      return link;
    }
  }
  const auto found = this->outgoing.find(address);
  if (found == this->outgoing.end() || !found->second.link->open()) {
    return nullptr;
  }
  found->second.last_used = MonotonicNow();
  return found->second.link;
}

ControlLinks::PeerLinkPtr ControlLinks::Connect(const std::string& address) {
  auto socket = transport::Connect(address, kConnectTimeout);
  if (!socket.has_value()) {
    return nullptr;
  }
  const schema::Hello hello = this->own_hello();
  PeerLinkPtr link;
  {
    absl::MutexLock lock(&this->mutex);
    link =
        std::make_shared<PeerLink>(this->next_link++, std::move(socket.value()),
                                   PeerLink::Settings(), this->handler);
    this->CloseLeastUsed();
    this->outgoing[address] = Outgoing{link, MonotonicNow()};
    ++this->counts.connections_opened;
    this->CountHello(hello);
  }
  link->Start(hello);
  return link;
}

void ControlLinks::CloseLeastUsed() {
  if (this->outgoing.size() < kMaxOutgoing) {
    return;
  }
  const auto less_used = [](const auto& a, const auto& b) {
    return a.second.last_used < b.second.last_used;
  };
  const auto oldest =
      std::min_element(this->outgoing.begin(), this->outgoing.end(), less_used);
  oldest->second.link->Close();
  this->outgoing.erase(oldest);
}

void ControlLinks::CountHello(const schema::Hello& hello) {
  // Both sides send a Hello of about the same size.
  const uint64_t bytes = FrameBytes(hello);
  ++this->counts.messages_sent;
  this->counts.bytes_sent += bytes;
  ++this->counts.messages_received;
  this->counts.bytes_received += bytes;
}

}  // namespace boragepaddle::daemon
