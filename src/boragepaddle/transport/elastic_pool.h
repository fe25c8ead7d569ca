#ifndef BORAGEPADDLE_TRANSPORT_ELASTIC_POOL_H_
#define BORAGEPADDLE_TRANSPORT_ELASTIC_POOL_H_

#include <cstddef>
#include <deque>
#include <functional>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace boragepaddle::transport {

/// Thread pool that starts threads on demand, up to a limit. When all threads
/// are busy, tasks wait in FIFO order.
class ElasticPool {
 public:
  explicit ElasticPool(size_t max_threads);

  /// Stops the pool and waits until all threads have ended.
  ~ElasticPool();

  void Submit(std::function<void()> task);

  /// Queues the task if a thread is idle or can be started. Returns false, and
  /// drops the task, if not.
  bool TrySubmit(std::function<void()> task);

  /// Discards new tasks. The threads end once the queued tasks have run.
  void Stop();

 private:
  bool HasCapacity() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  void Enqueue(std::function<void()> task) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  void Run();

  const size_t max_threads;
  absl::Mutex mutex;
  std::deque<std::function<void()>> tasks ABSL_GUARDED_BY(mutex);
  size_t threads ABSL_GUARDED_BY(mutex) = 0;
  size_t idle ABSL_GUARDED_BY(mutex) = 0;
  bool stopping ABSL_GUARDED_BY(mutex) = false;
};

}  // namespace boragepaddle::transport

#endif  // BORAGEPADDLE_TRANSPORT_ELASTIC_POOL_H_
