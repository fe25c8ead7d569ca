#include "boragepaddle/daemon/random_id.h"

#include "absl/random/random.h"
#include "absl/strings/str_format.h"

namespace boragepaddle::daemon {

uint64_t RandomBits() {
  thread_local absl::BitGen generator;
  return absl::Uniform<uint64_t>(generator);
}

std::string RandomId() {
  return absl::StrFormat("%016x%016x", RandomBits(), RandomBits());
}

}  // namespace boragepaddle::daemon
