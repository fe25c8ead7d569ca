#ifndef BORAGEPADDLE_BASE_STORE_POSITION_H_
#define BORAGEPADDLE_BASE_STORE_POSITION_H_

#include <cstdint>
#include <tuple>

namespace boragepaddle::base {

/// Position in the history of a store. The store may come back from an older
/// copy; its era then rises, and its revisions go back and are given out again.
/// Revisions of different eras are therefore not comparable by themselves.
struct StorePosition {
  /// Counted from 1; 0 if unknown, which is older than any.
  uint64_t era = 0;
  uint64_t revision = 0;
};

inline bool operator==(const StorePosition& a, const StorePosition& b) {
  return a.era == b.era && a.revision == b.revision;
}
inline bool operator!=(const StorePosition& a, const StorePosition& b) {
  return !(a == b);
}
inline bool operator<(const StorePosition& a, const StorePosition& b) {
  return std::tie(a.era, a.revision) < std::tie(b.era, b.revision);
}
inline bool operator>(const StorePosition& a, const StorePosition& b) {
  return b < a;
}
inline bool operator<=(const StorePosition& a, const StorePosition& b) {
  return !(b < a);
}
inline bool operator>=(const StorePosition& a, const StorePosition& b) {
  return !(a < b);
}

}  // namespace boragepaddle::base

#endif  // BORAGEPADDLE_BASE_STORE_POSITION_H_
