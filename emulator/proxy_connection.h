#ifndef EMULATOR_PROXY_CONNECTION_H_
#define EMULATOR_PROXY_CONNECTION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "emulator/delayed_pipe.h"
#include "emulator/link_rules.h"

namespace emulator {

/// Ends of a proxied connection; also the index of the direction that starts
/// at this end.
enum ConnectionSide : uint8_t { kSource = 0, kTarget = 1 };

/// One proxied connection with its two sockets, which it owns.
class ProxyConnection {
 public:
  ProxyConnection(int source_socket, int target_socket, LinkEndpoint target);
  ~ProxyConnection();
  ProxyConnection(const ProxyConnection&) = delete;
  ProxyConnection& operator=(const ProxyConnection&) = delete;

  /// Reads and writes what is possible now; returns the bytes delivered.
  /// Bytes of a source that is not identified yet are held.
  size_t Pump(absl::Span<const LinkRule> rules, absl::Time now);

  void ApplyRules(absl::Span<const LinkRule> rules);

  /// Epoll events that a side waits for.
  uint32_t WantedEvents(ConnectionSide side) const;

  /// When bytes that are held become due; InfiniteFuture if none are.
  absl::Time NextDueTime() const;

  /// Ends the direction that starts at `side`.
  void HalfClose(ConnectionSide side);

  /// The next close is a reset.
  void Reset();

  /// Both directions ended, or one side was lost or reset.
  bool finished = false;
  std::array<int, 2> sockets;
  std::array<uint32_t, 2> registered_events = {0, 0};
  /// Earliest wake-up that is planned for held bytes.
  absl::Time scheduled_wakeup = absl::InfiniteFuture();
  LinkEndpoint source;
  LinkEndpoint target;
  LinkEffect effect;

 private:
  struct Direction {
    DelayedPipe pipe;
    bool read_ended = false;
    bool write_ended = false;
    bool write_blocked = false;
  };

  void Read(ConnectionSide side,
            absl::Span<const LinkRule> rules,
            absl::Time now);
  void OnBytes(ConnectionSide side,
               absl::string_view bytes,
               absl::Span<const LinkRule> rules,
               absl::Time now);
  size_t Write(ConnectionSide side, absl::Time now);
  const DirectionEffect& EffectOf(ConnectionSide side) const;

  std::array<Direction, 2> directions;
  std::string first_bytes;
  bool identified = false;
};

}  // namespace emulator

#endif  // EMULATOR_PROXY_CONNECTION_H_
