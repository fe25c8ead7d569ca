#include "boragepaddle/base/stable_hash.h"

#include <xxhash.h>

namespace boragepaddle::base {

uint64_t StableHash(std::initializer_list<absl::string_view> parts) {
  uint64_t hash = 0;
  for (const absl::string_view part : parts) {
    hash = XXH3_64bits_withSeed(part.data(), part.size(), hash + part.size());
  }
  return hash;
}

}  // namespace boragepaddle::base
