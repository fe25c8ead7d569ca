#ifndef EMULATOR_ELASTIC_THREAD_POOL_H_
#define EMULATOR_ELASTIC_THREAD_POOL_H_

#include <httplib.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace emulator {

/// Task queue of an HTTP server that starts a thread only when no thread is
/// idle, up to a maximum. A server thread stays with one connection, so
/// an eager pool of `connections` threads would waste memory in a mesh of many
/// programs.
class ElasticThreadPool : public httplib::TaskQueue {
 public:
  explicit ElasticThreadPool(size_t max_threads);

  void enqueue(std::function<void()> task) override;
  void shutdown() override;

 private:
  void WorkerLoop();
  bool HasTaskOrStopping() const ABSL_SHARED_LOCKS_REQUIRED(mutex);

  const size_t max_threads;
  absl::Mutex mutex;
  std::deque<std::function<void()>> tasks ABSL_GUARDED_BY(mutex);
  std::vector<std::thread> threads ABSL_GUARDED_BY(mutex);
  size_t idle_threads ABSL_GUARDED_BY(mutex) = 0;
  bool stopping ABSL_GUARDED_BY(mutex) = false;
};

}  // namespace emulator

#endif  // EMULATOR_ELASTIC_THREAD_POOL_H_
