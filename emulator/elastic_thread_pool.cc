#include "emulator/elastic_thread_pool.h"

#include <utility>

namespace emulator {

ElasticThreadPool::ElasticThreadPool(size_t max_threads)
    : max_threads(max_threads) {}

void ElasticThreadPool::enqueue(std::function<void()> task) {
  absl::MutexLock lock(&this->mutex);
  this->tasks.push_back(std::move(task));
  if (this->tasks.size() > this->idle_threads &&
      this->threads.size() < this->max_threads) {
    this->threads.emplace_back([this] { this->WorkerLoop(); });
  }
}

void ElasticThreadPool::shutdown() {
  std::vector<std::thread> stopped;
  {
    absl::MutexLock lock(&this->mutex);
    this->stopping = true;
    stopped.swap(this->threads);
  }
  for (std::thread& thread : stopped) {
    thread.join();
  }
}

void ElasticThreadPool::WorkerLoop() {
  while (true) {
    std::function<void()> task;
    {
      absl::MutexLock lock(&this->mutex);
      ++this->idle_threads;
      this->mutex.Await(
          absl::Condition(this, &ElasticThreadPool::HasTaskOrStopping));
      --this->idle_threads;
      if (this->tasks.empty()) {
        return;
      }
      task = std::move(this->tasks.front());
      this->tasks.pop_front();
    }
    task();
  }
}

bool ElasticThreadPool::HasTaskOrStopping() const {
  return this->stopping || !this->tasks.empty();
}

}  // namespace emulator
