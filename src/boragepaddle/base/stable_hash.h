#ifndef BORAGEPADDLE_BASE_STABLE_HASH_H_
#define BORAGEPADDLE_BASE_STABLE_HASH_H_

#include <cstdint>
#include <initializer_list>

#include "absl/strings/string_view.h"

namespace boragepaddle::base {

/// 64-bit hash (XXH3) that is the same on every node and in every build, unlike
/// absl::Hash. The lengths of the parts are hashed too, so that ("ab", "c") and
/// ("a", "bc") differ.
uint64_t StableHash(std::initializer_list<absl::string_view> parts);

}  // namespace boragepaddle::base

#endif  // BORAGEPADDLE_BASE_STABLE_HASH_H_
