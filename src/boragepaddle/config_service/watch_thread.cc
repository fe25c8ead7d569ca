#include "boragepaddle/config_service/watch_thread.h"

#include <algorithm>
#include <utility>

namespace boragepaddle::config_service {
namespace {

// The platform ends a watch without news after 30 s.
constexpr absl::Duration kWatchWait = absl::Seconds(35);

// A read without waiting is a watch that is given up soon: it
// transfers the document only if it is newer.
constexpr absl::Duration kReadOnceWait = absl::Seconds(1);

// Bounds the reads if the platform answers watches at once without news.
constexpr absl::Duration kNoNewsPause = absl::Seconds(1);

// At the longest pause, 48 readers with two watches each make 48 requests per
// second on average, of the 2,000 that the platform serves.
constexpr absl::Duration kFirstPause = absl::Milliseconds(100);
constexpr absl::Duration kLongestPause = absl::Seconds(2);
constexpr uint32_t kMaxDoublings = 5;

constexpr absl::Duration kInterruptInterval = absl::Milliseconds(20);

}  // namespace

WatchThread::WatchThread(const ClientSettings& settings,
                         std::string path,
                         ResponseHandler handler,
                         RandomSource random)
    : client(settings),
      path(std::move(path)),
      handler(std::move(handler)),
      random(std::move(random)) {
  this->thread = std::thread([this] { this->Run(); });
}

WatchThread::~WatchThread() {
  this->mutex.Lock();
  this->stopping = true;
  while (!this->ended) {
    // Repeated, as a request may begin just after it was interrupted.
    this->mutex.Unlock();
    this->client.Interrupt();
    this->mutex.Lock();
    this->mutex.AwaitWithTimeout(absl::Condition(&this->ended),
                                 kInterruptInterval);
  }
  this->mutex.Unlock();
  this->thread.join();
}

void WatchThread::SetEnabled(bool enabled) {
  {
    absl::MutexLock lock(&this->mutex);
    this->enabled = enabled;
    this->failures_in_a_row = 0;
  }
  if (!enabled) {
    this->client.Interrupt();
  }
}

void WatchThread::ReadOnce() {
  absl::MutexLock lock(&this->mutex);
  this->once = true;
}

void WatchThread::NoteHeld(uint64_t version) {
  absl::MutexLock lock(&this->mutex);
  this->newest = std::max(this->newest, version);
}

WatchCounters WatchThread::counters() const {
  absl::MutexLock lock(&this->mutex);
  return this->counts;
}

void WatchThread::Run() {
  Request request;
  while (this->NextRequest(&request)) {
    this->Perform(request);
  }
  absl::MutexLock lock(&this->mutex);
  this->ended = true;
}

bool WatchThread::NextRequest(Request* request) {
  const auto has_work = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) {
    return this->stopping || this->enabled || this->once;
  };
  absl::MutexLock lock(&this->mutex);
  this->mutex.Await(absl::Condition(&has_work));
  request->after = this->newest;
  request->once = !this->enabled;
  request->wait = request->once ? kReadOnceWait : kWatchWait;
  this->once = false;
  ++this->counts.requests;
  return !this->stopping;
}

void WatchThread::Perform(const Request& request) {
  const auto body = this->client.Watch(this->path, request.after, request.wait);
  if (!body.has_value()) {
    const bool no_news =
        request.once && body.error().code == PlatformErrorCode::kTimeout;
    if (!no_news && this->Wants(request)) {
      this->NoteFailure(body.error());
    }
    return;
  }
  const auto revision = this->handler(body.value());
  if (!revision.has_value()) {
    this->NoteFailure(revision.error());
    return;
  }
  this->NoteHeld(revision.value());
  {
    absl::MutexLock lock(&this->mutex);
    this->failures_in_a_row = 0;
  }
  if (revision.value() <= request.after) {
    this->Pause(kNoNewsPause);
  }
}

bool WatchThread::Wants(const Request& request) const {
  absl::MutexLock lock(&this->mutex);
  return request.once || this->enabled;
}

void WatchThread::NoteFailure(const PlatformError& error) {
  absl::Duration pause;
  {
    absl::MutexLock lock(&this->mutex);
    ++this->counts.failures;
    this->counts.last_failure = error.code;
    const uint32_t doublings = std::min(this->failures_in_a_row, kMaxDoublings);
    ++this->failures_in_a_row;
    pause = std::min(kFirstPause * (1 << doublings), kLongestPause);
  }
  // Half of the pause is random, so that readers do not ask in step.
  constexpr uint64_t kSteps = 1024;
  const auto step = static_cast<int64_t>(this->random() % kSteps);
  this->Pause(pause / 2 + pause / 2 * step / int64_t{kSteps});
}

void WatchThread::Pause(absl::Duration duration) {
  absl::MutexLock lock(&this->mutex);
  this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping), duration);
}

}  // namespace boragepaddle::config_service
