#include "boragepaddle/event/server_connection.h"

#include <algorithm>
#include <utility>

#include "absl/algorithm/container.h"
#include "boragepaddle/event/clock.h"

namespace boragepaddle::event {

namespace {

/// Longest time for which a connection lingers after the last response.
constexpr absl::Duration kLingerTimeout = absl::Seconds(1);

/// Time without progress after which a client is taken not to read its response
/// any more. Longer than clients wait for a response in all; large, since the
/// socket reports progress only when a good part of its buffer is free.
constexpr absl::Duration kWriteTimeout = absl::Seconds(30);

/// Time without progress after which a request may be ended to free memory.
/// Longer than the retransmission of a lost packet (200 ms) and a round trip.
constexpr absl::Duration kMinReadStall = absl::Milliseconds(300);

/// The same for a response that the client does not read. The socket reports
/// progress late, and the end of a response makes its outcome unknown.
constexpr absl::Duration kMinWriteStall = absl::Seconds(2);

/// Responses up to this size are sent without room in the budget: a refusal
/// must reach the client, and 1 KiB for each connection is little.
constexpr uint64_t kUnchargedResponseBytes = 1u << 10;

/// Responses below this size are not ended to free memory.
constexpr uint64_t kMinStalledResponseBytes = 64u << 10;

uint64_t BytesOf(const HttpReply& reply) {
  uint64_t bytes = reply.body.capacity();
  for (const schema::HttpField& field : reply.fields) {
    bytes += field.name.size() + field.value.size();
  }
  return bytes;
}

}  // namespace

/// Exchange that is passed to the handler. It may outlive the open connection.
class ConnectionExchange : public HttpExchange {
 public:
  ConnectionExchange(std::shared_ptr<ServerConnection> connection,
                     uint64_t number,
                     ReceivedRequest received)
      : connection(std::move(connection)),
        number(number),
        message(std::move(received.request)),
        memory(std::move(received.memory)) {}

  const HttpRequest& request() const override { return this->message; }
  HttpRequest& mutable_request() override { return this->message; }

  SharedBody TakeBody() override {
    return ShareBody(std::move(this->message.body), std::move(this->memory));
  }

  void Reply(HttpReply reply) override {
    // The request is over, so its body makes room for the response.
    std::string().swap(this->message.body);
    this->memory.Release();
    this->connection->Answer(this->number, std::move(reply));
  }

  void SetOnClientDisconnect(std::function<void()> callback) override {
    auto* pending = this->connection->FindPending(this->number);
    if (pending != nullptr && !pending->reply) {
      pending->on_client_disconnect = std::move(callback);
    }
  }

 private:
  std::shared_ptr<ServerConnection> connection;
  uint64_t number;
  HttpRequest message;
  MemoryReservation memory;
};

ServerConnection::ServerConnection(HttpServer& server, Tcp::socket socket)
    : server(server),
      socket(std::move(socket)),
      reader(server.memory,
             [this](MemoryReservation& reservation, uint64_t bytes) {
               return this->server.Reserve(reservation, bytes);
             }),
      writer(this->socket,
             [this](const boost::system::error_code& error) {
               this->OnWritten(error);
             }),
      unparsed_memory(server.memory) {}

void ServerConnection::Start() {
  SetTcpLivenessOptions(this->socket);
  boost::system::error_code error;
  this->socket.non_blocking(true, error);
  if (error) {
    this->Close();
    return;
  }
  this->idle_since = BootNow();
  this->WaitForInput();
}

bool ServerConnection::busy() const {
  return !this->responses.empty() || this->held ||
         this->reader.is_reading_body();
}

void ServerConnection::OnRequest(ReceivedRequest received) {
  this->continue_sent = false;
  if (!received.keep_alive) {
    this->reading_ended = true;
  }
  if (!this->responses.empty() && !this->server.MayRunAhead(received.request)) {
    this->held = std::move(received);
    return;
  }
  this->Dispatch(std::move(received));
}

void ServerConnection::Dispatch(ReceivedRequest received) {
  PendingResponse pending;
  pending.number = ++this->last_number;
  pending.keep_alive = received.keep_alive;
  pending.is_head = received.is_head;
  const uint64_t number = pending.number;
  this->responses.push_back(std::move(pending));
  this->server.handler(std::make_shared<ConnectionExchange>(
      this->shared_from_this(), number, std::move(received)));
}

ServerConnection::PendingResponse* ServerConnection::FindPending(
    uint64_t number) {
  const auto found = absl::c_find_if(this->responses,
                                     [number](const PendingResponse& pending) {
                                       return pending.number == number;
                                     });
  return found == this->responses.end() ? nullptr : &*found;
}

void ServerConnection::Answer(uint64_t number, HttpReply reply) {
  PendingResponse* const pending = this->FindPending(number);
  if (this->closed || pending == nullptr || pending->reply) {
    return;
  }
  pending->on_client_disconnect = nullptr;
  pending->keep_alive = pending->keep_alive && !reply.close;
  // Reserve may end other requests, whose ends may change `responses`.
  MemoryReservation memory = reply.reservation.bytes() > 0
                                 ? std::move(reply.reservation)
                                 : MemoryReservation(this->server.memory);
  const uint64_t bytes = BytesOf(reply);
  const bool reserved = this->server.Reserve(memory, bytes);
  PendingResponse* const same = this->FindPending(number);
  if (this->closed || same == nullptr) {
    return;
  }
  if (!reserved && bytes > kUnchargedResponseBytes) {
    this->server.ReportIncident({"no_memory_for_response", 0, bytes, nullptr});
    this->Abort();
    return;
  }
  same->reply = std::move(reply);
  same->memory = std::move(memory);
  if (!same->keep_alive) {
    this->CancelBehind(number);
  }
  this->WriteNext();
}

void ServerConnection::RefuseRequest(uint32_t status, absl::string_view why) {
  const auto head = this->reader.Head();
  this->server.ReportIncident(
      {why, status, this->held_bytes(), head ? &*head : nullptr});
  this->StopReading();
  PendingResponse pending;
  pending.number = ++this->last_number;
  pending.reply.emplace();
  pending.reply->status = status;
  if (status == 503) {
    pending.reply->fields = this->server.options.refusal_fields;
  }
  this->responses.push_back(std::move(pending));
  this->WriteNext();
}

void ServerConnection::CancelBehind(uint64_t number) {
  this->StopReading();
  this->held.reset();
  std::vector<std::function<void()>> callbacks;
  while (!this->responses.empty() && this->responses.back().number != number) {
    if (this->responses.back().on_client_disconnect) {
      callbacks.push_back(
          std::move(this->responses.back().on_client_disconnect));
    }
    this->responses.pop_back();
  }
  for (const auto& callback : callbacks) {
    callback();
  }
}

void ServerConnection::WriteNext() {
  if (this->closed || this->lingering || this->writer.is_writing() ||
      this->responses.empty() || !this->responses.front().reply) {
    return;
  }
  PendingResponse& first = this->responses.front();
  // Requests that are already running behind this one are answered too; a
  // planned stop closes after the last of them.
  const bool keep = first.keep_alive && (!this->server.keep_alive_disabled() ||
                                         this->responses.size() > 1);
  this->closes_after_write = !keep;
  this->writer.Write(std::move(*first.reply), {keep, first.is_head},
                     this->shared_from_this());
  if (!keep) {
    this->CancelBehind(first.number);
  }
}

void ServerConnection::OnWritten(const boost::system::error_code& error) {
  if (this->closed) {
    return;
  }
  if (error) {
    this->Abort();
    return;
  }
  this->responses.erase(this->responses.begin());
  if (this->closes_after_write) {
    this->Linger();
    return;
  }
  this->WriteNext();
  this->ResumeReading();
}

bool ServerConnection::all_answered() const {
  return absl::c_all_of(this->responses, [](const PendingResponse& pending) {
    return pending.reply.has_value();
  });
}

// A client that has closed gets what was answered before, but none of its
// requests goes on.
void ServerConnection::OnClientClosed() {
  if (this->responses.empty() || !this->all_answered()) {
    this->Abort();
    return;
  }
  if (this->held || !this->unparsed.empty()) {
    // Sent before the close; the close is seen again behind it.
    return;
  }
  this->StopReading();
  this->responses.back().keep_alive = false;
  if (this->responses.size() == 1) {
    this->closes_after_write = true;
  }
}

void ServerConnection::Abort() {
  this->Close();
  std::vector<PendingResponse> ended;
  ended.swap(this->responses);
  for (const PendingResponse& pending : ended) {
    if (pending.on_client_disconnect) {
      pending.on_client_disconnect();
    }
  }
}

// Closing a socket with unread data resets the connection, and the client may
// lose the response. Linger therefore reads and discards the rest first.
void ServerConnection::Linger() {
  this->lingering = true;
  this->lingering_since = BootNow();
  boost::system::error_code ignored;
  this->socket.shutdown(Tcp::socket::shutdown_send, ignored);
  this->WaitForInput();
}

void ServerConnection::Detach() {
  this->closed = true;
  this->held.reset();
  this->responses.clear();
  this->StopReading();
  boost::system::error_code ignored;
  this->socket.close(ignored);
}

void ServerConnection::Close() {
  if (this->closed) {
    return;
  }
  this->closed = true;
  this->held.reset();
  this->StopReading();
  boost::system::error_code ignored;
  this->socket.close(ignored);
  this->server.open_connections.erase(this->shared_from_this());
}

void ServerConnection::CloseIfIdle() {
  if (!this->busy() && !this->lingering && !this->reader.is_reading() &&
      PeekSocket(this->socket) != SocketState::kData) {
    this->Close();
  }
}

absl::Time ServerConnection::evictable_at() const {
  // A connection that is parsing may be the one that needs memory.
  if (this->closed || this->lingering || this->parsing) {
    return absl::InfiniteFuture();
  }
  absl::Time at = absl::InfiniteFuture();
  if (this->MayRead() && this->held_bytes() > 0) {
    at = this->stalled_since + kMinReadStall;
  }
  if (this->writer.is_writing() &&
      this->responses.front().memory.bytes() >= kMinStalledResponseBytes) {
    at = std::min(at, this->writer.last_progress() + kMinWriteStall);
  }
  return at;
}

void ServerConnection::EndStalled() {
  if (this->MayRead() && this->held_bytes() > 0) {
    this->RefuseRequest(503, "ended_stalled");
    return;
  }
  this->server.ReportIncident({"ended_slow_reader", 0,
                               this->responses.front().memory.bytes(),
                               nullptr});
  this->Abort();
}

void ServerConnection::Tick(absl::Time now) {
  const HttpServerLimits& limits = this->server.limits();
  if (this->lingering) {
    if (now - this->lingering_since > kLingerTimeout) {
      this->Close();
    }
    return;
  }
  if (this->writer.is_writing() &&
      now - this->writer.last_progress() > kWriteTimeout) {
    this->Abort();
    return;
  }
  if (this->leaves_input_unread && !this->all_answered() &&
      HasPeerClosed(this->socket)) {
    this->Abort();
    return;
  }
  if (!this->MayRead()) {
    return;
  }
  if (this->reader.is_reading_body()) {
    if (now - this->stalled_since <= limits.idle_timeout) {
      return;
    }
    if (this->responses.empty()) {
      this->Close();
    } else {
      this->RefuseRequest(408, "body_timeout");
    }
  } else if (this->reader.is_reading()) {
    if (now - this->head_since > limits.header_timeout) {
      this->RefuseRequest(408, "header_timeout");
    }
  } else if (this->responses.empty() &&
             now - this->idle_since > limits.idle_timeout) {
    this->CloseIfIdle();
  }
}

}  // namespace boragepaddle::event
