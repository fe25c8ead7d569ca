#ifndef BORAGEPADDLE_DAEMON_CONTROL_TRAFFIC_H_
#define BORAGEPADDLE_DAEMON_CONTROL_TRAFFIC_H_

#include <cstdint>

namespace boragepaddle::daemon {

/// Traffic of control messages between nodes, including frame headers but not
/// TCP and IP headers. Call messages and platform reads are not included.
struct ControlTraffic {
  uint64_t messages_sent = 0;
  uint64_t bytes_sent = 0;
  uint64_t messages_received = 0;
  uint64_t bytes_received = 0;
  uint64_t connections_opened = 0;
  /// Messages that were not sent because the peer could not be reached.
  uint64_t messages_dropped = 0;
};

}  // namespace boragepaddle::daemon

#endif  // BORAGEPADDLE_DAEMON_CONTROL_TRAFFIC_H_
