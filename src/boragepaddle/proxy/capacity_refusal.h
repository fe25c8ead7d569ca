#ifndef BORAGEPADDLE_PROXY_CAPACITY_REFUSAL_H_
#define BORAGEPADDLE_PROXY_CAPACITY_REFUSAL_H_

#include <string>

#include "absl/time/time.h"

namespace boragepaddle::proxy {

/// Refusal of a call for lack of capacity.
struct CapacityRefusal {
  /// Service that refused; empty if none did.
  std::string service;
  /// Mean slot time of a call to that service; 0 if unknown.
  absl::Duration slot_time;
};

}  // namespace boragepaddle::proxy

#endif  // BORAGEPADDLE_PROXY_CAPACITY_REFUSAL_H_
