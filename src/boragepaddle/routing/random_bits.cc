#include "boragepaddle/routing/random_bits.h"

#include <array>

#include "absl/strings/string_view.h"
#include "boragepaddle/base/stable_hash.h"

namespace boragepaddle::routing {

uint64_t DeriveBits(uint64_t random, uint64_t use) {
  const std::array<uint64_t, 2> words = {random, use};
  return base::StableHash({absl::string_view(
      reinterpret_cast<const char*>(words.data()), sizeof(words))});
}

double ToUnitInterval(uint64_t random) {
  constexpr int kMantissaBits = 53;
  return static_cast<double>(random >> (64 - kMantissaBits)) /
         static_cast<double>(uint64_t{1} << kMantissaBits);
}

}  // namespace boragepaddle::routing
