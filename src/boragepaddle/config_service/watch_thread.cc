#include "boragepaddle/config_service/watch_thread.h"

#include <algorithm>
#include <utility>

namespace boragepaddle::config_service {
namespace {

// The platform responds to a watch after 30 s if nothing has changed.
constexpr absl::Duration kWatchWait = absl::Seconds(35);

// A single read is a watch with a short timeout, which transfers the document
// only if it is newer.
constexpr absl::Duration kReadOnceWait = absl::Seconds(1);

// Limits the request rate if the platform responds to watches immediately
// although nothing has changed.
constexpr absl::Duration kUnchangedPause = absl::Seconds(1);

// At the longest pause, 48 readers with two watches each make 48 requests per
// second on average; the platform serves 2,000.
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
    // Repeated, as a new request may start just after the interrupt.
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
  this->read_once = true;
}

void WatchThread::NoteHeld(uint64_t version) {
  absl::MutexLock lock(&this->mutex);
  this->newest_version = std::max(this->newest_version, version);
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
    return this->stopping || this->enabled || this->read_once;
  };
  absl::MutexLock lock(&this->mutex);
  this->mutex.Await(absl::Condition(&has_work));
  request->after = this->newest_version;
  request->read_once = !this->enabled;
  request->wait = request->read_once ? kReadOnceWait : kWatchWait;
  this->read_once = false;
  ++this->counts.requests;
  return !this->stopping;
}

void WatchThread::Perform(const Request& request) {
  const auto body = this->client.Watch(this->path, request.after, request.wait);
  if (!body.has_value()) {
    const bool not_modified =
        request.read_once && body.error().code == PlatformErrorCode::kTimeout;
    if (!not_modified && this->IsStillWanted(request)) {
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
    this->Pause(kUnchangedPause);
  }
}

bool WatchThread::IsStillWanted(const Request& request) const {
  absl::MutexLock lock(&this->mutex);
  return request.read_once || this->enabled;
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
  // Half of the pause is random, so that the readers' retries do not
  // synchronize.
  constexpr uint64_t kSteps = 1024;
  const auto step = static_cast<int64_t>(this->random() % kSteps);
  this->Pause(pause / 2 + pause / 2 * step / int64_t{kSteps});
}

void WatchThread::Pause(absl::Duration duration) {
  absl::MutexLock lock(&this->mutex);
  this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping), duration);
}

}  // namespace boragepaddle::config_service
