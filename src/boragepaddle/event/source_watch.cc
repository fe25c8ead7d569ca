#include "boragepaddle/event/source_watch.h"

#include <algorithm>
#include <utility>

namespace boragepaddle::event {

namespace {

constexpr uint32_t kMaxDoublings = 4;

}  // namespace

SourceWatch::SourceWatch(boost::asio::io_context& loop,
                         KeyValueSource& source,
                         std::string prefix,
                         const SourceWatchSettings& settings,
                         SourceWatchEvents events)
    : source(source),
      prefix(std::move(prefix)),
      settings(settings),
      events(std::move(events)),
      timer(loop) {}

void SourceWatch::Start() {
  if (this->must_list) {
    this->listed.clear();
    this->list_revision = 0;
    this->ListPage("");
    return;
  }
  this->WatchNext();
}

void SourceWatch::Restart() {
  ++this->epoch;
  this->timer.cancel();
  this->source.Abort();
  this->Start();
}

void SourceWatch::ListPage(const std::string& after_key) {
  this->source.List(
      this->prefix, after_key,
      [this, epoch = this->epoch](base::Result<SourcePage, SourceError> page) {
        if (epoch != this->epoch) {
          return;
        }
        if (!page) {
          this->OnFailure(page.error());
          return;
        }
        this->OnSuccess();
        this->OnPage(std::move(page.value()));
      });
}

void SourceWatch::OnPage(SourcePage page) {
  // Pages are not one snapshot. The changes since the first page are watched
  // afterwards; those that a later page already shows are applied again.
  if (this->list_revision == 0) {
    this->list_revision = page.as_of;
  }
  const bool more = page.more && !page.items.empty();
  for (schema::KeyValue& item : page.items) {
    this->listed.push_back(std::move(item));
  }
  if (more) {
    const std::string last = this->listed.back().key;
    this->ListPage(last);
    return;
  }
  this->FinishList();
}

void SourceWatch::FinishList() {
  absl::btree_set<std::string> present;
  for (const schema::KeyValue& item : this->listed) {
    present.insert(item.key);
  }
  for (const std::string& key : this->known) {
    if (!present.contains(key)) {
      this->listed.push_back({key, "", this->list_revision, true});
    }
  }
  this->known = std::move(present);
  this->revision = this->list_revision;
  this->must_list = false;
  this->events.on_changes(this->listed);
  this->listed.clear();
  if (!this->read_in_full) {
    this->read_in_full = true;
    this->events.on_complete();
  }
  this->WatchNext();
}

void SourceWatch::WatchNext() {
  const absl::Duration wait =
      this->failures > 0 ? this->settings.first_wait : this->settings.wait;
  this->source.Watch(
      this->prefix, this->revision, wait,
      [this, epoch = this->epoch](base::Result<SourcePage, SourceError> page) {
        if (epoch != this->epoch) {
          return;
        }
        if (!page) {
          this->OnFailure(page.error());
          return;
        }
        this->OnSuccess();
        this->OnWatched(std::move(page.value()));
      });
}

void SourceWatch::OnWatched(SourcePage page) {
  for (const schema::KeyValue& item : page.items) {
    if (item.removed) {
      this->known.erase(item.key);
    } else {
      this->known.insert(item.key);
    }
    this->revision = std::max(this->revision, item.revision);
  }
  this->revision = std::max(this->revision, page.as_of);
  if (page.items.empty()) {
    this->WatchNext();
    return;
  }
  this->events.on_changes(page.items);
  this->After(this->settings.gather, &SourceWatch::WatchNext);
}

void SourceWatch::After(absl::Duration pause, void (SourceWatch::*next)()) {
  this->timer.expires_after(absl::ToChronoNanoseconds(pause));
  this->timer.async_wait([this, next, epoch = this->epoch](
                             const boost::system::error_code& error) {
    if (!error && epoch == this->epoch) {
      (this->*next)();
    }
  });
}

void SourceWatch::OnSuccess() {
  if (this->failures > 0) {
    this->failures = 0;
    this->events.on_recovery();
  }
}

void SourceWatch::OnFailure(const SourceError& error) {
  if (error.code == SourceErrorCode::kCompacted) {
    this->must_list = true;
    this->Start();
    return;
  }
  this->events.on_failure(error);
  const uint32_t doublings = std::min(this->failures, kMaxDoublings);
  ++this->failures;
  const absl::Duration pause =
      std::min(this->settings.longest_pause,
               this->settings.first_pause * (1u << doublings));
  this->After(pause, &SourceWatch::Start);
}

}  // namespace boragepaddle::event
