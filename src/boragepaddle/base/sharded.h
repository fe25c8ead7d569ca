#ifndef BORAGEPADDLE_BASE_SHARDED_H_
#define BORAGEPADDLE_BASE_SHARDED_H_

#include <array>
#include <cstddef>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/hash/hash.h"
#include "absl/synchronization/mutex.h"

namespace boragepaddle::base {

/// Splits state into shards, each with its own lock. The key selects the shard;
/// the callback runs while that shard is locked and must not block.
template <typename State, size_t kShards = 16>
class Sharded {
 public:
  template <typename Key, typename Callback>
  auto With(const Key& key, Callback&& callback) {
    Shard& shard = this->shards[absl::Hash<Key>{}(key) % kShards];
    absl::MutexLock lock(&shard.mutex);
    return std::forward<Callback>(callback)(shard.state);
  }

  /// Visits all shards in turn, locking one at a time.
  template <typename Callback>
  void ForEach(Callback&& callback) {
    for (Shard& shard : this->shards) {
      absl::MutexLock lock(&shard.mutex);
      callback(shard.state);
    }
  }

 private:
  struct Shard {
    absl::Mutex mutex;
    State state ABSL_GUARDED_BY(mutex);
  };

  std::array<Shard, kShards> shards;
};

}  // namespace boragepaddle::base

#endif  // BORAGEPADDLE_BASE_SHARDED_H_
