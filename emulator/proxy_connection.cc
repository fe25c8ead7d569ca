#include "emulator/proxy_connection.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "absl/time/clock.h"
#include "emulator/hello_parser.h"

namespace emulator {
namespace {

constexpr size_t kReadBytes = 65'536;
// Reading stops at this size, so that a slow reader holds the sender back.
constexpr size_t kMaxBufferedBytes = 4'194'304;

bool WouldBlock() {
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ||
         errno == EINPROGRESS || errno == ENOTCONN;
}

ConnectionSide Other(ConnectionSide side) {
  return side == kSource ? kTarget : kSource;
}

}  // namespace

ProxyConnection::ProxyConnection(int source_socket,
                                 int target_socket,
                                 LinkEndpoint target)
    : sockets({source_socket, target_socket}), target(std::move(target)) {}

ProxyConnection::~ProxyConnection() {
  close(this->sockets[kSource]);
  close(this->sockets[kTarget]);
}

size_t ProxyConnection::Pump(absl::Span<const LinkRule> rules, absl::Time now) {
  size_t delivered = 0;
  for (const ConnectionSide side : {kSource, kTarget}) {
    this->Read(side, rules, now);
    delivered += this->Write(side, now);
  }
  const auto ended = [](const Direction& direction) {
    return direction.write_ended;
  };
  if (std::all_of(this->directions.begin(), this->directions.end(), ended)) {
    this->finished = true;
  }
  return delivered;
}

void ProxyConnection::ApplyRules(absl::Span<const LinkRule> rules) {
  this->effect = CombinedEffect(rules, this->source, this->target);
  if (this->effect.cut) {
    this->Reset();
  }
}

uint32_t ProxyConnection::WantedEvents(ConnectionSide side) const {
  const Direction& outgoing = this->directions[side];
  const Direction& incoming = this->directions[Other(side)];
  uint32_t events = 0;
  if (!outgoing.read_ended &&
      outgoing.pipe.BufferedBytes() < kMaxBufferedBytes) {
    events |= EPOLLIN;
  }
  if (incoming.write_blocked) {
    events |= EPOLLOUT;
  }
  return events;
}

absl::Time ProxyConnection::NextDueTime() const {
  absl::Time next = absl::InfiniteFuture();
  for (const ConnectionSide side : {kSource, kTarget}) {
    const Direction& direction = this->directions[side];
    if (!direction.write_blocked && !this->EffectOf(side).black_hole) {
      next = std::min(next, direction.pipe.NextDueTime());
    }
  }
  return next;
}

void ProxyConnection::HalfClose(ConnectionSide side) {
  Direction& direction = this->directions[side];
  if (!direction.read_ended) {
    direction.read_ended = true;
    direction.pipe.PushEof({}, absl::Now());
  }
}

void ProxyConnection::Reset() {
  const linger reset = {1, 0};
  for (const int socket : this->sockets) {
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }
  this->finished = true;
}

void ProxyConnection::Read(ConnectionSide side,
                           absl::Span<const LinkRule> rules,
                           absl::Time now) {
  static thread_local std::string buffer(kReadBytes, '\0');
  Direction& direction = this->directions[side];
  while (!direction.read_ended &&
         direction.pipe.BufferedBytes() < kMaxBufferedBytes) {
    const ssize_t size =
        recv(this->sockets[side], buffer.data(), buffer.size(), 0);
    if (size > 0) {
      this->OnBytes(side, {buffer.data(), static_cast<size_t>(size)}, rules,
                    now);
      continue;
    }
    if (size < 0 && WouldBlock()) {
      return;
    }
    if (size < 0) {
      return this->Reset();
    }
    direction.read_ended = true;
    direction.pipe.PushEof(this->EffectOf(side), now);
  }
}

void ProxyConnection::OnBytes(ConnectionSide side,
                              absl::string_view bytes,
                              absl::Span<const LinkRule> rules,
                              absl::Time now) {
  if (side == kTarget || this->identified) {
    this->directions[side].pipe.Push(bytes, this->EffectOf(side), now);
    return;
  }
  this->first_bytes.append(bytes.data(), bytes.size());
  if (ParseHello(this->first_bytes, &this->source) ==
      HelloParseResult::kIncomplete) {
    return;
  }
  this->identified = true;
  this->ApplyRules(rules);
  this->directions[side].pipe.Push(this->first_bytes, this->EffectOf(side),
                                   now);
  this->first_bytes.clear();
}

size_t ProxyConnection::Write(ConnectionSide side, absl::Time now) {
  Direction& direction = this->directions[side];
  const int socket = this->sockets[Other(side)];
  size_t delivered = 0;
  direction.write_blocked = false;
  if (this->EffectOf(side).black_hole) {
    return 0;
  }
  while (!direction.pipe.DueBytes(now).empty()) {
    const absl::string_view bytes = direction.pipe.DueBytes(now);
    const ssize_t size = send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (size < 0 && !WouldBlock()) {
      this->Reset();
      return delivered;
    }
    if (size < 0) {
      direction.write_blocked = true;
      return delivered;
    }
    direction.pipe.Consume(static_cast<size_t>(size));
    delivered += static_cast<size_t>(size);
  }
  if (direction.pipe.IsEofDue(now)) {
    direction.pipe.ConsumeEof();
    direction.write_ended = true;
    shutdown(socket, SHUT_WR);
  }
  return delivered;
}

const DirectionEffect& ProxyConnection::EffectOf(ConnectionSide side) const {
  return side == kSource ? this->effect.to_target : this->effect.to_source;
}

}  // namespace emulator
