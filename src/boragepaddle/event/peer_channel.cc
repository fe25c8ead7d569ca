#include "boragepaddle/event/peer_channel.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <cstring>
#include <utility>

#include "boragepaddle/event/clock.h"

namespace boragepaddle::event {

namespace {

constexpr size_t kLengthBytes = 4;

/// Largest frame. A larger length is treated as corruption. The largest frames
/// are snapshots of the store: 25,000 workers at about 400 bytes each, and a
/// document of up to 1.5 MB. Calls and answers are far smaller, as their bodies
/// are sent in pieces.
constexpr uint32_t kMaxFrameBytes = 16u << 20;

/// Send queue limit. Send fails beyond it, as when the peer reads slowly.
constexpr size_t kMaxPendingWriteBytes = 8u << 20;

/// Largest buffer that an idle channel keeps: room for one piece of a body.
constexpr size_t kMaxKeptBufferBytes = 128u << 10;

/// Frees the memory of an empty buffer that is larger than what is kept.
void TrimBuffer(std::string& buffer) {
  if (buffer.empty() && buffer.capacity() > kMaxKeptBufferBytes) {
    buffer = std::string();
  }
}

/// Connect timeout: several round trips between regions. Calls that wait for
/// the connection are then sent to another node.
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(400);

}  // namespace

PeerChannel::PeerChannel(boost::asio::io_context& loop,
                         const PeerChannelEvents& events)
    : loop(loop),
      events(events),
      socket(loop),
      created(BootNow()),
      liveness(MakeLivenessMonitor(LivenessSettings(), created)) {}

void PeerChannel::Adopt(Tcp::socket socket) {
  this->socket = std::move(socket);
  this->accepted = true;
  this->OnOpened();
}

void PeerChannel::Connect(const Tcp::endpoint& endpoint) {
  auto self = this->shared_from_this();
  this->socket.async_connect(
      endpoint, [self](const boost::system::error_code& error) {
        if (self->closed) {
          return;
        }
        if (error) {
          self->refused = error == boost::asio::error::connection_refused;
          self->Close();
          return;
        }
        self->OnOpened();
      });
}

void PeerChannel::OnOpened() {
  this->opened = true;
  OnBytesReceived(this->liveness, BootNow());
  SetTcpPeerOptions(this->socket);
  this->events.on_open(this->shared_from_this());
  this->Read();
  if (!this->pending_writes.empty() && !this->writing) {
    this->Write();
  }
}

bool PeerChannel::Send(const schema::Message& message) {
  if (this->closed || this->pending_writes.size() > kMaxPendingWriteBytes) {
    return false;
  }
  const std::string payload = schema::Encode(message);
  if (payload.size() > kMaxFrameBytes) {
    return false;
  }
  const uint32_t length =
      boost::endian::native_to_big(static_cast<uint32_t>(payload.size()));
  this->pending_writes.append(reinterpret_cast<const char*>(&length),
                              kLengthBytes);
  this->pending_writes.append(payload);
  if (this->opened && !this->writing) {
    // The write is posted, so that all frames that are queued in one iteration
    // of the event loop are sent with one write.
    this->writing = true;
    boost::asio::post(this->loop,
                      [self = this->shared_from_this()] { self->Write(); });
  }
  return true;
}

void PeerChannel::Write() {
  if (this->closed || this->pending_writes.empty()) {
    this->writing = false;
    return;
  }
  this->writing = true;
  this->writing_buffer.clear();
  this->writing_buffer.swap(this->pending_writes);
  auto self = this->shared_from_this();
  boost::asio::async_write(
      this->socket, boost::asio::buffer(this->writing_buffer),
      [self](const boost::system::error_code& error, size_t) {
        if (error) {
          self->writing = false;
          self->Close();
          return;
        }
        self->OnWritten();
      });
}

void PeerChannel::OnWritten() {
  this->writing_buffer.clear();
  if (!this->closed) {
    this->events.on_drained(this->shared_from_this());
  }
  if (this->pending_writes.empty()) {
    TrimBuffer(this->writing_buffer);
    TrimBuffer(this->pending_writes);
  }
  this->Write();
}

void PeerChannel::Read() {
  auto self = this->shared_from_this();
  this->socket.async_read_some(
      boost::asio::buffer(this->chunk),
      [self](const boost::system::error_code& error, size_t count) {
        if (self->closed) {
          return;
        }
        if (error) {
          self->Close();
          return;
        }
        OnBytesReceived(self->liveness, BootNow());
        self->received.append(self->chunk.data(), count);
        try {
          self->ProcessFrames();
        } catch (...) {
          // The receive buffer may still hold frames that were handled.
          self->Close();
          throw;
        }
        if (!self->closed) {
          self->Read();
        }
      });
}

void PeerChannel::ProcessFrames() {
  size_t position = 0;
  while (!this->closed && this->received.size() - position >= kLengthBytes) {
    uint32_t length = 0;
    std::memcpy(&length, this->received.data() + position, kLengthBytes);
    length = boost::endian::big_to_native(length);
    if (length > kMaxFrameBytes) {
      this->Close();
      return;
    }
    if (this->received.size() - position - kLengthBytes < length) {
      break;
    }
    auto message = schema::Decode(absl::string_view(
        this->received.data() + position + kLengthBytes, length));
    position += kLengthBytes + length;
    if (!message) {
      this->Close();
      return;
    }
    if (const auto* beat = std::get_if<schema::Heartbeat>(&message.value())) {
      if (!beat->reply) {
        this->Send(schema::Heartbeat{true});
      }
      continue;
    }
    this->events.on_message(this->shared_from_this(), message.value());
  }
  this->received.erase(0, position);
  TrimBuffer(this->received);
}

void PeerChannel::Tick(absl::Time now, bool waiting) {
  if (this->closed) {
    return;
  }
  if (!this->opened) {
    if (now - this->created > kConnectTimeout) {
      this->Close();
    }
    return;
  }
  switch (CheckLiveness(this->liveness, waiting, now)) {
    case LivenessAction::kNone:
      break;
    case LivenessAction::kSendHeartbeat:
      this->Send(schema::Heartbeat{false});
      break;
    case LivenessAction::kSuspect:
      this->events.on_suspect(this->shared_from_this());
      break;
    case LivenessAction::kDead:
      this->Close();
      break;
  }
}

void PeerChannel::Close() {
  if (this->closed) {
    return;
  }
  this->closed = true;
  boost::system::error_code ignored;
  this->socket.close(ignored);
  boost::asio::post(this->loop, [self = this->shared_from_this()] {
    self->events.on_closed(self);
  });
}

}  // namespace boragepaddle::event
