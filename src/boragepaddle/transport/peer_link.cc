#include "boragepaddle/transport/peer_link.h"

#include <sys/socket.h>

#include <utility>
#include <variant>

#include "boragepaddle/transport/clock.h"
#include "boragepaddle/transport/frame.h"

namespace boragepaddle::transport {

namespace {

void SetTimeout(const Socket& socket, int option, absl::Duration timeout) {
  const timeval value = absl::ToTimeval(timeout);
  setsockopt(socket.get(), SOL_SOCKET, option, &value, sizeof(value));
}

LinkClose CloseReasonFor(const TransportError& error, LinkClose otherwise) {
  return error.code == TransportErrorCode::kFrameTooLarge
             ? LinkClose::kFrameTooLarge
             : otherwise;
}

}  // namespace

const char* ToString(LinkClose value) {
  switch (value) {
    case LinkClose::kOpen:
      return "open";
    case LinkClose::kConnectionClosed:
      return "connection closed";
    case LinkClose::kBadFrame:
      return "bad frame";
    case LinkClose::kFrameTooLarge:
      return "frame too large";
    case LinkClose::kNoHello:
      return "no hello";
    case LinkClose::kWrongFleet:
      return "wrong fleet";
    case LinkClose::kLocal:
      return "closed locally";
  }
  return "invalid";
}

PeerLink::PeerLink(uint64_t id,
                   Socket socket,
                   const Settings& settings,
                   PeerLinkHandler& handler)
    : link_id(id),
      socket(std::move(socket)),
      settings(settings),
      handler(handler) {}

PeerLink::~PeerLink() = default;

void PeerLink::Start(const schema::Hello& own) {
  SetTimeout(this->socket, SO_SNDTIMEO, this->settings.send_timeout);
  this->Send(own);
  // The detached thread holds a reference that keeps the link alive.
  std::thread([self = this->shared_from_this(), fleet = own.fleet] {
    self->ReadLoop(fleet);
  }).detach();
}

bool PeerLink::Send(const schema::Message& message) {
  const std::string payload = schema::Encode(message);
  absl::MutexLock lock(&this->write_mutex);
  if (!this->open()) {
    return false;
  }
  const auto written = WriteFrame(this->socket, payload);
  if (!written) {
    // Part of the frame may have been sent, so no further frame can follow.
    this->Close(LinkClose::kConnectionClosed);
    return false;
  }
  this->sent += written.value();
  return true;
}

void PeerLink::Close(LinkClose reason) {
  LinkClose expected = LinkClose::kOpen;
  if (this->close_reason.compare_exchange_strong(expected, reason)) {
    this->socket.Shutdown();
  }
}

bool PeerLink::ReadHello(const std::string& fleet) {
  auto payload = ReadFrame(this->socket, kMaxHelloBytes,
                           MonotonicNow() + this->settings.hello_timeout);
  if (!payload) {
    this->Close(CloseReasonFor(payload.error(), LinkClose::kNoHello));
    return false;
  }
  auto message = schema::Decode(payload.value());
  if (!message || !std::holds_alternative<schema::Hello>(message.value())) {
    this->Close(LinkClose::kNoHello);
    return false;
  }
  this->peer_hello = std::get<schema::Hello>(std::move(message.value()));
  if (this->peer_hello.fleet != fleet) {
    this->Close(LinkClose::kWrongFleet);
    return false;
  }
  return true;
}

void PeerLink::ReadLoop(const std::string& fleet) {
  const auto self = this->shared_from_this();
  if (this->ReadHello(fleet)) {
    this->handler.OnOpen(self);
    while (this->open()) {
      auto payload = ReadFrame(this->socket);
      if (!payload) {
        this->Close(
            CloseReasonFor(payload.error(), LinkClose::kConnectionClosed));
        break;
      }
      this->received += payload.value().size() + sizeof(uint32_t);
      auto message = schema::Decode(payload.value());
      if (!message) {
        this->Close(LinkClose::kBadFrame);
        break;
      }
      this->handler.OnMessage(self, std::move(message.value()));
    }
  }
  this->handler.OnClosed(self);
}

}  // namespace boragepaddle::transport
