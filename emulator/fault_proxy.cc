#include "emulator/fault_proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "absl/time/clock.h"

namespace emulator {
namespace {

constexpr int kListenBacklog = 1024;
constexpr int kMaxEvents = 256;
// Ids of listeners and connections fit into 62 bits; the two low bits of an
// epoll key name the kind of socket.
constexpr uint64_t kKindBits = 2;
constexpr uint64_t kListenerKind = 2;
constexpr uint64_t kWakeupKind = 3;

uint64_t EpollKey(uint64_t id, uint64_t kind) {
  return id << kKindBits | kind;
}

sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

void SetNoDelay(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

int ConnectTo(int port) {
  const int result = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  const sockaddr_in address = LoopbackAddress(port);
  SetNoDelay(result);
  if (connect(result, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0 &&
      errno != EINPROGRESS) {
    close(result);
    return -1;
  }
  return result;
}

int BoundPort(int socket) {
  sockaddr_in address = {};
  socklen_t size = sizeof(address);
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

int ListenOnFreePort() {
  const int result = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  const sockaddr_in address = LoopbackAddress(0);
  if (bind(result, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(result, kListenBacklog) != 0) {
    close(result);
    return -1;
  }
  return result;
}

void UpdateEpoll(int epoll_fd,
                 int operation,
                 int fd,
                 uint32_t events,
                 uint64_t key) {
  epoll_event event = {};
  event.events = events;
  event.data.u64 = key;
  epoll_ctl(epoll_fd, operation, fd, &event);
}

void SetResetOnClose(int socket) {
  const linger reset = {1, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

}  // namespace

FaultProxy::FaultProxy()
    : epoll_fd(epoll_create1(0)),
      timer_fd(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK)),
      wake_fd(eventfd(0, EFD_NONBLOCK)) {
  UpdateEpoll(this->epoll_fd, EPOLL_CTL_ADD, this->timer_fd, EPOLLIN,
              EpollKey(0, kWakeupKind));
  UpdateEpoll(this->epoll_fd, EPOLL_CTL_ADD, this->wake_fd, EPOLLIN,
              EpollKey(0, kWakeupKind));
}

FaultProxy::~FaultProxy() {
  for (const int fd : {this->epoll_fd, this->timer_fd, this->wake_fd}) {
    close(fd);
  }
}

void FaultProxy::Run() {
  absl::Time next = absl::InfiniteFuture();
  while (true) {
    this->WaitForEvents(next);
    absl::MutexLock lock(&this->mutex);
    this->ServeDueConnections();
    next = this->NextWakeup();
  }
}

void FaultProxy::WaitForEvents(absl::Time next) {
  itimerspec timer = {};
  if (next != absl::InfiniteFuture()) {
    // A zero value would disarm the timer.
    const absl::Duration wait =
        std::max(next - absl::Now(), absl::Nanoseconds(1));
    timer.it_value = absl::ToTimespec(wait);
  }
  timerfd_settime(this->timer_fd, 0, &timer, nullptr);
  std::array<epoll_event, kMaxEvents> events = {};
  const int count = epoll_wait(this->epoll_fd, events.data(), kMaxEvents, -1);
  absl::MutexLock lock(&this->mutex);
  for (int index = 0; index < count; ++index) {
    this->OnEvent(events[index].data.u64, events[index].events);
  }
}

int FaultProxy::AddListener(LinkEndpoint target, int target_port) {
  const int socket = ListenOnFreePort();
  if (socket < 0) {
    return -1;
  }
  absl::MutexLock lock(&this->mutex);
  const uint64_t id = this->next_id++;
  this->listeners[id] = {socket, target_port, std::move(target)};
  UpdateEpoll(this->epoll_fd, EPOLL_CTL_ADD, socket, EPOLLIN,
              EpollKey(id, kListenerKind));
  return BoundPort(socket);
}

bool FaultProxy::SetTarget(int listener_port, int target_port) {
  absl::MutexLock lock(&this->mutex);
  for (auto& [id, listener] : this->listeners) {
    if (BoundPort(listener.socket) == listener_port) {
      listener.target_port = target_port;
      return true;
    }
  }
  return false;
}

void FaultProxy::SetRules(std::vector<LinkRule> rules) {
  {
    absl::MutexLock lock(&this->mutex);
    this->rules = std::move(rules);
    for (auto& [id, connection] : this->connections) {
      connection->ApplyRules(this->rules);
      this->stats.cut += connection->finished ? 1 : 0;
      this->ScheduleWakeup(id, absl::InfinitePast(), connection.get());
    }
  }
  this->WakeEventLoop();
}

size_t FaultProxy::ResetConnections(const LinkRule& match) {
  return this->ForEachMatching(
      match, [](ProxyConnection* connection) { connection->Reset(); });
}

size_t FaultProxy::HalfCloseConnections(const LinkRule& match) {
  return this->ForEachMatching(match, [&](ProxyConnection* connection) {
    if (match.to_target) {
      connection->HalfClose(kSource);
    }
    if (match.to_source) {
      connection->HalfClose(kTarget);
    }
  });
}

ProxyStats FaultProxy::Stats() {
  absl::MutexLock lock(&this->mutex);
  this->stats.connections = this->connections.size();
  return this->stats;
}

void FaultProxy::OnEvent(uint64_t id, uint32_t events) {
  const uint64_t kind = id & EpollKey(0, kWakeupKind);
  id >>= kKindBits;
  if (kind == kWakeupKind) {
    uint64_t count = 0;
    // Either read may find nothing; both descriptors do not block.
    [[maybe_unused]] ssize_t size = read(this->timer_fd, &count, sizeof(count));
    size = read(this->wake_fd, &count, sizeof(count));
    return;
  }
  if (kind == kListenerKind) {
    const auto listener = this->listeners.find(id);
    if (listener != this->listeners.end()) {
      this->Accept(listener->second);
    }
    return;
  }
  const auto found = this->connections.find(id);
  if (found == this->connections.end()) {
    return;
  }
  if ((events & EPOLLERR) != 0) {
    found->second->Reset();
  }
  this->ServeConnection(id);
}

void FaultProxy::Accept(const Listener& listener) {
  while (true) {
    const int source =
        accept4(listener.socket, nullptr, nullptr, SOCK_NONBLOCK);
    if (source < 0) {
      return;
    }
    SetNoDelay(source);
    ++this->stats.accepted;
    const int target = ConnectTo(listener.target_port);
    if (target < 0) {
      SetResetOnClose(source);
      close(source);
      continue;
    }
    const uint64_t id = this->next_id++;
    auto connection =
        std::make_unique<ProxyConnection>(source, target, listener.target);
    for (const ConnectionSide side : {kSource, kTarget}) {
      connection->registered_events[side] = connection->WantedEvents(side);
      UpdateEpoll(this->epoll_fd, EPOLL_CTL_ADD, connection->sockets[side],
                  connection->registered_events[side], EpollKey(id, side));
    }
    this->connections[id] = std::move(connection);
  }
}

void FaultProxy::ServeConnection(uint64_t connection_id) {
  const auto found = this->connections.find(connection_id);
  if (found == this->connections.end()) {
    return;
  }
  ProxyConnection* connection = found->second.get();
  if (!connection->finished) {
    this->stats.bytes += connection->Pump(this->rules, absl::Now());
  }
  if (connection->finished) {
    this->connections.erase(found);
    return;
  }
  this->UpdateEvents(connection_id, connection);
  this->ScheduleWakeup(connection_id, connection->NextDueTime(), connection);
}

void FaultProxy::ScheduleWakeup(uint64_t connection_id,
                                absl::Time time,
                                ProxyConnection* connection) {
  // A later wake-up is planned when this one is served, so that there are
  // never many of them for one connection.
  if (time < connection->scheduled_wakeup) {
    connection->scheduled_wakeup = time;
    this->wakeups.push({time, connection_id});
  }
}

void FaultProxy::ServeDueConnections() {
  while (!this->wakeups.empty() && this->wakeups.top().first <= absl::Now()) {
    const auto [time, id] = this->wakeups.top();
    this->wakeups.pop();
    const auto found = this->connections.find(id);
    if (found != this->connections.end() &&
        found->second->scheduled_wakeup == time) {
      found->second->scheduled_wakeup = absl::InfiniteFuture();
      this->ServeConnection(id);
    }
  }
}

absl::Time FaultProxy::NextWakeup() {
  return this->wakeups.empty() ? absl::InfiniteFuture()
                               : this->wakeups.top().first;
}

void FaultProxy::UpdateEvents(uint64_t connection_id,
                              ProxyConnection* connection) {
  for (const ConnectionSide side : {kSource, kTarget}) {
    const uint32_t wanted = connection->WantedEvents(side);
    if (wanted != connection->registered_events[side]) {
      connection->registered_events[side] = wanted;
      UpdateEpoll(this->epoll_fd, EPOLL_CTL_MOD, connection->sockets[side],
                  wanted, EpollKey(connection_id, side));
    }
  }
}

size_t FaultProxy::ForEachMatching(
    const LinkRule& match,
    const std::function<void(ProxyConnection*)>& action) {
  size_t count = 0;
  {
    absl::MutexLock lock(&this->mutex);
    for (auto& [id, connection] : this->connections) {
      if (Matches(match, connection->source, connection->target)) {
        action(connection.get());
        this->ScheduleWakeup(id, absl::InfinitePast(), connection.get());
        ++count;
      }
    }
  }
  this->WakeEventLoop();
  return count;
}

void FaultProxy::WakeEventLoop() const {
  const uint64_t one = 1;
  // The write fails only if the counter is full, and then the loop wakes up.
  [[maybe_unused]] const ssize_t size = write(this->wake_fd, &one, sizeof(one));
}

}  // namespace emulator
