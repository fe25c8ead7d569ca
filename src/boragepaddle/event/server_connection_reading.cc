#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <utility>

#include "boragepaddle/event/clock.h"
#include "boragepaddle/event/server_connection.h"

// Input of a connection: when it is read, and what is kept of it.

namespace boragepaddle::event {

namespace {

/// Bytes of a request that count as progress. With fewer, one byte now and then
/// would hold a connection and its body for as long as the client wants.
constexpr size_t kProgressBytes = 16u << 10;

}  // namespace

bool ServerConnection::MayRead() const {
  // In a planned stop, nothing more is read behind requests that are running.
  const bool stops =
      this->server.keep_alive_disabled() && !this->responses.empty();
  return !this->reading_ended && !this->held && !stops &&
         this->responses.size() < this->server.limits().max_pipelined_requests;
}

// Waits until the socket is readable instead of starting a read, so that no
// buffer is bound to a connection that sends nothing. A close is detected the
// same way, unless input that was sent before it has not been read yet.
void ServerConnection::WaitForInput() {
  this->leaves_input_unread = false;
  if (this->closed || this->waiting_for_input) {
    return;
  }
  this->waiting_for_input = true;
  auto self = this->shared_from_this();
  this->socket.async_wait(Tcp::socket::wait_read,
                          [self](const boost::system::error_code& error) {
                            self->waiting_for_input = false;
                            if (self->closed) {
                              return;
                            }
                            if (error) {
                              self->Abort();
                              return;
                            }
                            self->OnInput();
                          });
}

void ServerConnection::OnInput() {
  if (this->lingering) {
    this->DiscardInput();
    return;
  }
  if (this->MayRead()) {
    this->ReadSocket();
    return;
  }
  switch (PeekSocket(this->socket)) {
    case SocketState::kClosed:
      this->OnClientClosed();
      break;
    case SocketState::kNoData:
      this->WaitForInput();
      break;
    case SocketState::kData:
      // Read once the first request is answered. A wait would end at once, so
      // Tick looks for a close behind this input.
      this->leaves_input_unread = true;
      break;
  }
}

void ServerConnection::ReadSocket() {
  std::vector<char>& buffer = this->server.receive_buffer;
  boost::system::error_code error;
  const size_t count =
      this->socket.read_some(boost::asio::buffer(buffer), error);
  if (error == boost::asio::error::would_block ||
      error == boost::asio::error::interrupted) {
    this->WaitForInput();
    return;
  }
  if (error) {
    this->OnClientClosed();
    return;
  }
  this->bytes_since_stall += count;
  if (this->bytes_since_stall >= kProgressBytes || !this->reader.is_reading()) {
    this->stalled_since = BootNow();
    this->bytes_since_stall = 0;
  }
  this->ParseInput({buffer.data(), count});
}

void ServerConnection::ParseInput(absl::string_view received) {
  std::string joined;
  absl::string_view input = received;
  if (!this->unparsed.empty()) {
    joined.swap(this->unparsed);
    joined.append(received.data(), received.size());
    input = joined;
  }
  bool kept = false;
  this->parsing = true;
  try {
    this->ParseRequests(input);
    kept = this->KeepUnparsed(input);
  } catch (...) {
    // The rest of the input is lost.
    this->parsing = false;
    this->Abort();
    throw;
  }
  this->parsing = false;
  if (this->reading_ended || this->closed) {
    this->StopReading();
  } else if (!kept) {
    this->RefuseRequest(503, "no_memory");
  }
  this->WaitForInput();
}

void ServerConnection::ParseRequests(absl::string_view& input) {
  const HttpServerLimits& limits = this->server.limits();
  while (!this->closed && this->MayRead() && !input.empty()) {
    const RequestReader::Result result = this->reader.Parse(
        input, {limits.max_header_bytes, limits.max_body_bytes});
    if (this->closed || this->reading_ended) {
      // Ended while memory was made free for this request.
      return;
    }
    switch (result) {
      case RequestReader::Result::kNeedMore:
        this->SendContinue();
        return;
      case RequestReader::Result::kComplete:
        this->OnRequest(this->reader.Take());
        break;
      case RequestReader::Result::kRefused:
        this->RefuseRequest(this->reader.status(), this->reader.why());
        return;
    }
  }
}

bool ServerConnection::KeepUnparsed(absl::string_view input) {
  if (this->closed || this->reading_ended) {
    return true;
  }
  // A new string, since one that shrinks keeps its capacity.
  this->unparsed = std::string(input);
  const bool is_in_head =
      this->reader.is_reading() && !this->reader.is_reading_body();
  this->head_since = is_in_head ? std::min(this->head_since, BootNow())
                                : absl::InfiniteFuture();
  return this->server.Reserve(this->unparsed_memory,
                              input.empty() ? 0 : this->unparsed.capacity());
}

void ServerConnection::SendContinue() {
  // Behind other requests, it would be taken for the start of their responses.
  if (this->continue_sent || !this->responses.empty() ||
      !this->reader.expects_continue()) {
    return;
  }
  this->continue_sent = true;
  static constexpr absl::string_view kContinue =
      "HTTP/1.1 100 Continue\r\n\r\n";
  boost::system::error_code ignored;
  // If this write fails, so does reading the body.
  this->socket.send(boost::asio::buffer(kContinue.data(), kContinue.size()), 0,
                    ignored);
}

void ServerConnection::ResumeReading() {
  if (this->held && this->responses.empty()) {
    ReceivedRequest received = std::move(*this->held);
    this->held.reset();
    this->Dispatch(std::move(received));
  }
  if (this->closed || this->lingering) {
    return;
  }
  if (!this->unparsed.empty() && this->MayRead()) {
    this->ParseInput({});
    return;
  }
  this->SendContinue();
  if (!this->busy()) {
    this->idle_since = BootNow();
  }
  this->WaitForInput();
}

void ServerConnection::StopReading() {
  this->reading_ended = true;
  this->head_since = absl::InfiniteFuture();
  if (this->parsing) {
    // The reader is in use; ParseInput calls again.
    return;
  }
  this->reader.Discard();
  std::string().swap(this->unparsed);
  this->unparsed_memory.Release();
}

void ServerConnection::DiscardInput() {
  boost::system::error_code error;
  this->socket.read_some(boost::asio::buffer(this->server.receive_buffer),
                         error);
  if (error && error != boost::asio::error::would_block &&
      error != boost::asio::error::interrupted) {
    this->Close();
    return;
  }
  this->WaitForInput();
}

}  // namespace boragepaddle::event
