#include "boragepaddle/node/fastest_time.h"

#include <algorithm>

namespace boragepaddle::node {

namespace {

// Short, so that slow answers during an overload expire soon after it.
constexpr absl::Duration kWindow = absl::Milliseconds(250);
constexpr uint32_t kMinSamples = 10;

void Rotate(FastestTime& fastest, absl::Time now) {
  const absl::Duration age = now - fastest.started;
  if (age < kWindow) {
    return;
  }
  fastest.previous =
      age < 2 * kWindow ? fastest.current : FastestTime::Window();
  fastest.current = FastestTime::Window();
  fastest.started = now;
}

}  // namespace

void AddSample(FastestTime& fastest, absl::Duration sample, absl::Time now) {
  Rotate(fastest, now);
  ++fastest.current.samples;
  fastest.current.fastest = std::min(fastest.current.fastest, sample);
}

absl::Duration RecentFastest(FastestTime& fastest, absl::Time now) {
  Rotate(fastest, now);
  if (fastest.current.samples + fastest.previous.samples < kMinSamples) {
    return absl::ZeroDuration();
  }
  return std::min(fastest.current.fastest, fastest.previous.fastest);
}

}  // namespace boragepaddle::node
