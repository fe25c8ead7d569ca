#include "emulator/platform_document.h"

#include <algorithm>
#include <utility>

namespace emulator {
namespace {

constexpr size_t kMaxStoredRevisions = 64;
// A lagging revision becomes visible without an event, so watches look again.
constexpr absl::Duration kVisibilityPollInterval = absl::Milliseconds(50);

}  // namespace

PlatformDocument::PlatformDocument(std::string content_key,
                                   nlohmann::json content)
    : content_key(std::move(content_key)) {
  absl::MutexLock lock(&this->mutex);
  this->revisions.push_back({0, absl::InfinitePast(), std::move(content)});
}

uint64_t PlatformDocument::Put(nlohmann::json content) {
  absl::MutexLock lock(&this->mutex);
  const uint64_t number = this->revisions.back().number + 1;
  this->revisions.push_back({number, absl::Now(), std::move(content)});
  if (this->revisions.size() > kMaxStoredRevisions) {
    this->revisions.pop_front();
  }
  this->changed.SignalAll();
  return number;
}

std::string PlatformDocument::Get() {
  absl::MutexLock lock(&this->mutex);
  return this->ToText(this->VisibleRevision());
}

bool PlatformDocument::WaitForNewer(uint64_t after, absl::Time deadline) {
  absl::MutexLock lock(&this->mutex);
  while (this->VisibleRevision().number <= after && absl::Now() < deadline) {
    const absl::Time step = absl::Now() + kVisibilityPollInterval;
    this->changed.WaitWithDeadline(&this->mutex, std::min(step, deadline));
  }
  return this->VisibleRevision().number > after;
}

void PlatformDocument::SetMaxVisibleRevision(uint64_t revision) {
  absl::MutexLock lock(&this->mutex);
  this->max_visible_revision = revision;
  this->changed.SignalAll();
}

void PlatformDocument::SetLag(absl::Duration lag) {
  absl::MutexLock lock(&this->mutex);
  this->lag = lag;
  this->changed.SignalAll();
}

const PlatformDocument::Revision& PlatformDocument::VisibleRevision() const {
  const absl::Time latest_visible_time = absl::Now() - this->lag;
  for (auto it = this->revisions.rbegin(); it != this->revisions.rend(); ++it) {
    const bool shown = this->max_visible_revision == 0 ||
                       it->number <= this->max_visible_revision;
    if (shown && it->stored_at <= latest_visible_time) {
      return *it;
    }
  }
  return this->revisions.front();
}

std::string PlatformDocument::ToText(const Revision& revision) const {
  nlohmann::json json = {{"revision", revision.number}};
  json[this->content_key] = revision.content;
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace emulator
