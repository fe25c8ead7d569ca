#ifndef BORAGEPADDLE_EVENT_SHARED_BODY_H_
#define BORAGEPADDLE_EVENT_SHARED_BODY_H_

#include <cstddef>
#include <memory>
#include <string>

#include "boragepaddle/event/memory_budget.h"

namespace boragepaddle::event {

/// Largest body, in bytes, that a message between nodes contains. Larger ones
/// are shared instead of copied, and follow their message in pieces.
inline constexpr size_t kMaxWholeBodyBytes = 64u << 10;

/// Body of a request or response that several owners use.
using SharedBody = std::shared_ptr<const std::string>;

/// Shares the bytes. The reservation lasts as long as the last owner.
SharedBody ShareBody(std::string bytes, MemoryReservation reservation);

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_SHARED_BODY_H_
