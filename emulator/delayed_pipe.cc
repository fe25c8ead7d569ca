#include "emulator/delayed_pipe.h"

#include <algorithm>

namespace emulator {

void DelayedPipe::Push(absl::string_view bytes,
                       const DirectionEffect& effect,
                       absl::Time now) {
  const absl::Time due = this->DueTime(bytes.size(), effect, now);
  this->chunks.push_back({due, std::string(bytes), false});
  this->size += bytes.size();
}

void DelayedPipe::PushEof(const DirectionEffect& effect, absl::Time now) {
  this->chunks.push_back({this->DueTime(0, effect, now), "", true});
}

absl::string_view DelayedPipe::DueBytes(absl::Time now) const {
  if (this->chunks.empty() || this->chunks.front().due > now) {
    return {};
  }
  return absl::string_view(this->chunks.front().bytes)
      .substr(this->front_offset);
}

bool DelayedPipe::IsEofDue(absl::Time now) const {
  return !this->chunks.empty() && this->chunks.front().eof &&
         this->chunks.front().due <= now;
}

void DelayedPipe::Consume(size_t size) {
  this->size -= size;
  this->front_offset += size;
  if (this->front_offset == this->chunks.front().bytes.size()) {
    this->chunks.pop_front();
    this->front_offset = 0;
  }
}

void DelayedPipe::ConsumeEof() {
  this->chunks.pop_front();
}

absl::Time DelayedPipe::NextDueTime() const {
  return this->chunks.empty() ? absl::InfiniteFuture()
                              : this->chunks.front().due;
}

size_t DelayedPipe::BufferedBytes() const {
  return this->size;
}

absl::Time DelayedPipe::DueTime(size_t size,
                                const DirectionEffect& effect,
                                absl::Time now) {
  absl::Time due = std::max(now + effect.delay, this->last_due);
  if (effect.bandwidth > 0) {
    due += absl::Seconds(static_cast<double>(size) /
                         static_cast<double>(effect.bandwidth));
  }
  this->last_due = due;
  return due;
}

}  // namespace emulator
