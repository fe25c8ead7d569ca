#ifndef BORAGEPADDLE_TRANSPORT_PEER_LINK_H_
#define BORAGEPADDLE_TRANSPORT_PEER_LINK_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

#include "absl/synchronization/mutex.h"
#include "boragepaddle/schema/messages.h"
#include "boragepaddle/transport/socket.h"

namespace boragepaddle::transport {

class PeerLink;

/// Receives the events of links, on the reader thread of each link.
class PeerLinkHandler {
 public:
  virtual ~PeerLinkHandler() = default;

  /// Called when the peer's first frame was a valid Hello.
  virtual void OnOpen(const std::shared_ptr<PeerLink>& link) = 0;
  virtual void OnMessage(const std::shared_ptr<PeerLink>& link,
                         schema::Message message) = 0;
  /// Called once, as the last event, even if OnOpen was not called.
  virtual void OnClosed(const std::shared_ptr<PeerLink>& link) = 0;
};

/// Why a link was closed.
enum class LinkClose : uint8_t {
  kOpen,
  kConnectionClosed,
  kBadFrame,
  kFrameTooLarge,
  kNoHello,
  kWrongFleet,
  kLocal,
};

/// Returns the text of the value, as it is logged.
const char* ToString(LinkClose value);

/// A TCP connection to another node with its own reader thread.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  /// Timeouts of a link.
  struct Settings {
    /// Longest time for which a send may block before the link is closed.
    absl::Duration send_timeout = absl::Seconds(2);
    /// Longest time in which the peer's Hello must arrive.
    absl::Duration hello_timeout = absl::Seconds(5);
  };

  PeerLink(uint64_t id,
           Socket socket,
           const Settings& settings,
           PeerLinkHandler& handler);
  ~PeerLink();

  /// Sends the local Hello and starts the reader thread.
  void Start(const schema::Hello& own);

  /// Sends a message. Returns false if the link is closed or the send fails.
  /// True means only that the kernel has accepted the bytes.
  bool Send(const schema::Message& message);

  /// Closes the connection. The reader thread then calls OnClosed.
  void Close(LinkClose reason = LinkClose::kLocal);

  uint64_t id() const { return this->link_id; }
  bool open() const { return this->close_reason == LinkClose::kOpen; }
  LinkClose reason() const { return this->close_reason; }

  /// The peer's Hello; valid once OnOpen has been called.
  const schema::Hello& peer() const { return this->peer_hello; }

  uint64_t bytes_sent() const { return this->sent; }
  uint64_t bytes_received() const { return this->received; }

 private:
  void ReadLoop(const std::string& fleet);
  bool ReadHello(const std::string& fleet);

  const uint64_t link_id;
  Socket socket;
  const Settings settings;
  PeerLinkHandler& handler;
  schema::Hello peer_hello;
  absl::Mutex write_mutex;
  std::atomic<LinkClose> close_reason{LinkClose::kOpen};
  std::atomic<uint64_t> sent{0};
  std::atomic<uint64_t> received{0};
};

}  // namespace boragepaddle::transport

#endif  // BORAGEPADDLE_TRANSPORT_PEER_LINK_H_
