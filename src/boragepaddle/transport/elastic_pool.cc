#include "boragepaddle/transport/elastic_pool.h"

#include <thread>
#include <utility>

namespace boragepaddle::transport {

ElasticPool::ElasticPool(size_t max_threads) : max_threads(max_threads) {}

ElasticPool::~ElasticPool() {
  this->Stop();
  absl::MutexLock lock(&this->mutex);
  const auto all_ended = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) {
    return this->threads == 0;
  };
  this->mutex.Await(absl::Condition(&all_ended));
}

void ElasticPool::Submit(std::function<void()> task) {
  absl::MutexLock lock(&this->mutex);
  this->Enqueue(std::move(task));
}

bool ElasticPool::TrySubmit(std::function<void()> task) {
  absl::MutexLock lock(&this->mutex);
  if (!this->HasCapacity()) {
    return false;
  }
  this->Enqueue(std::move(task));
  return true;
}

void ElasticPool::Stop() {
  absl::MutexLock lock(&this->mutex);
  this->stopping = true;
}

bool ElasticPool::HasCapacity() const {
  return this->idle > this->tasks.size() || this->threads < this->max_threads;
}

void ElasticPool::Enqueue(std::function<void()> task) {
  if (this->stopping) {
    return;
  }
  this->tasks.push_back(std::move(task));
  if (this->idle < this->tasks.size() && this->threads < this->max_threads) {
    ++this->threads;
    std::thread([this] { this->Run(); }).detach();
  }
}

void ElasticPool::Run() {
  const auto wake = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) {
    return this->stopping || !this->tasks.empty();
  };
  this->mutex.Lock();
  while (true) {
    ++this->idle;
    this->mutex.Await(absl::Condition(&wake));
    --this->idle;
    if (this->tasks.empty()) {
      break;
    }
    std::function<void()> task = std::move(this->tasks.front());
    this->tasks.pop_front();
    this->mutex.Unlock();
    task();
    task = nullptr;
    this->mutex.Lock();
  }
  --this->threads;
  this->mutex.Unlock();
}

}  // namespace boragepaddle::transport
