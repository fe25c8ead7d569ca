#include "boragepaddle/event/prefix_watcher.h"

#include <algorithm>
#include <utility>

#include "boragepaddle/event/clock.h"

namespace boragepaddle::event {

namespace {

constexpr uint32_t kMaxDoublings = 4;

}  // namespace

PrefixWatcher::PrefixWatcher(boost::asio::io_context& loop,
                             KeyValueSource& source,
                             std::string prefix,
                             const PrefixWatcherSettings& settings,
                             PrefixWatcherEvents events)
    : source(source),
      prefix(std::move(prefix)),
      settings(settings),
      events(std::move(events)),
      timer(loop) {}

void PrefixWatcher::ReadOnce(ReadMode read) {
  this->read_once = read;
  this->Begin(Mode::kReadOnce);
}

void PrefixWatcher::Follow() {
  this->Begin(Mode::kFollow);
}

void PrefixWatcher::Stop() {
  ++this->epoch;
  this->mode = Mode::kStopped;
  this->timer.cancel();
  this->source.Abort();
}

void PrefixWatcher::Restart() {
  this->Begin(this->mode);
}

void PrefixWatcher::AdvanceTo(const base::StorePosition& position) {
  this->position = std::max(this->position, position);
  this->must_list = false;
}

void PrefixWatcher::Begin(Mode next) {
  this->Stop();
  this->mode = next;
  this->failures = 0;
  this->relists = 0;
  this->unconfirmed = true;
  this->Run();
}

void PrefixWatcher::Run() {
  if (this->mode == Mode::kStopped) {
    return;
  }
  if (this->must_list || this->mode == Mode::kReadOnce) {
    this->listed = feed::ReplicaUpdate();
    this->listed.is_snapshot = true;
    this->ListPage("");
    return;
  }
  this->WatchNext();
}

void PrefixWatcher::ListPage(const std::string& after_key) {
  const ReadMode read =
      this->MayBeStale() ? ReadMode::kMaybeStale : ReadMode::kNewest;
  this->source.List(
      this->prefix, after_key, read,
      [this, epoch = this->epoch](base::Result<SourcePage, SourceError> page) {
        if (epoch != this->epoch) {
          return;
        }
        page = this->CheckEra(std::move(page));
        if (!page) {
          this->OnFailure(page.error());
          return;
        }
        this->OnSuccess();
        this->OnPage(std::move(page.value()));
      });
}

bool PrefixWatcher::MayBeStale() const {
  return this->mode == Mode::kReadOnce &&
         this->read_once == ReadMode::kMaybeStale;
}

base::Result<SourcePage, SourceError> PrefixWatcher::CheckEra(
    base::Result<SourcePage, SourceError> page) const {
  if (!page || this->MayBeStale() || page.value().era >= this->position.era) {
    return page;
  }
  return SourceError{SourceErrorCode::kOlderEra, 0, page.value().era};
}

void PrefixWatcher::OnPage(SourcePage page) {
  // The pages are not read from one snapshot. The watch therefore starts from
  // the revision of the first page, and changes that a later page already
  // contains are applied twice.
  if (this->listed.to.revision == 0) {
    this->listed.to = {page.era, page.as_of};
  } else if (this->listed.to.era != page.era) {
    this->Relist();
    return;
  }
  const bool more = page.more && !page.items.empty();
  for (schema::KeyValue& item : page.items) {
    this->listed.items.push_back(std::move(item));
  }
  if (more) {
    const std::string last = this->listed.items.back().key;
    this->ListPage(last);
    return;
  }
  this->FinishList();
}

void PrefixWatcher::FinishList() {
  if (this->mode == Mode::kReadOnce) {
    // The listing may be stale, so Follow starts with a new one.
    if (this->MayBeStale()) {
      this->listed.to.era = 0;
    }
    this->mode = Mode::kStopped;
    this->events.on_items(std::move(this->listed));
    return;
  }
  this->position = std::max(this->position, this->listed.to);
  this->must_list = false;
  this->unconfirmed = false;
  const uint64_t epoch = this->epoch;
  this->events.on_items(std::move(this->listed));
  if (epoch == this->epoch) {
    this->WatchNext();
  }
}

void PrefixWatcher::Relist() {
  this->must_list = true;
  if (this->relists++ == 0) {
    this->Run();
    return;
  }
  this->RunAfter(this->Backoff(this->relists - 2), &PrefixWatcher::Run);
}

void PrefixWatcher::WatchNext() {
  const bool is_first = this->unconfirmed || this->failures > 0;
  const absl::Duration wait =
      is_first ? this->settings.probe_timeout : this->settings.wait;
  const absl::Duration margin =
      is_first
          ? this->settings.max_response_margin
          : std::clamp(2 * this->latency, this->settings.min_response_margin,
                       this->settings.max_response_margin);
  this->source.Watch(
      this->prefix, this->position.revision, wait, margin,
      [this, from = this->position, epoch = this->epoch, wait,
       sent_at = BootNow()](base::Result<SourcePage, SourceError> page) {
        if (epoch != this->epoch) {
          return;
        }
        page = this->CheckEra(std::move(page));
        if (!page) {
          this->OnFailure(page.error());
          return;
        }
        if (page.value().items.empty()) {
          this->latency = BootNow() - sent_at - wait;
        }
        this->OnSuccess();
        this->unconfirmed = false;
        this->OnWatched(from, std::move(page.value()));
      });
}

void PrefixWatcher::OnWatched(const base::StorePosition& from,
                              SourcePage page) {
  // The revision of an older era may exist in the newer one too, so the answer
  // need not be kCompacted.
  if (page.era > this->position.era) {
    this->Relist();
    return;
  }
  // AdvanceTo was called meanwhile.
  if (page.era != from.era) {
    this->WatchNext();
    return;
  }
  this->relists = 0;
  feed::ReplicaUpdate changes;
  changes.from = from;
  changes.to = {page.era, std::max(from.revision, page.as_of)};
  for (const schema::KeyValue& item : page.items) {
    changes.to.revision = std::max(changes.to.revision, item.revision);
  }
  this->position = std::max(this->position, changes.to);
  const bool changed = !page.items.empty();
  changes.items = std::move(page.items);
  const uint64_t epoch = this->epoch;
  this->events.on_items(std::move(changes));
  if (epoch != this->epoch) {
    return;
  }
  if (changed) {
    this->RunAfter(this->settings.coalesce_delay, &PrefixWatcher::WatchNext);
  } else {
    this->WatchNext();
  }
}

void PrefixWatcher::RunAfter(absl::Duration pause,
                             void (PrefixWatcher::*next)()) {
  this->timer.expires_after(absl::ToChronoNanoseconds(pause));
  this->timer.async_wait([this, next, epoch = this->epoch](
                             const boost::system::error_code& error) {
    if (!error && epoch == this->epoch) {
      (this->*next)();
    }
  });
}

void PrefixWatcher::OnSuccess() {
  if (this->failures > 0) {
    this->failures = 0;
    this->events.on_recovery();
  }
}

void PrefixWatcher::OnFailure(const SourceError& error) {
  if (error.code == SourceErrorCode::kCompacted) {
    this->Relist();
    return;
  }
  this->RunAfter(this->Backoff(this->failures), &PrefixWatcher::Run);
  ++this->failures;
  this->events.on_failure(error);
}

absl::Duration PrefixWatcher::Backoff(uint32_t attempts) const {
  return std::min(this->settings.max_backoff,
                  this->settings.initial_backoff *
                      (1u << std::min(attempts, kMaxDoublings)));
}

}  // namespace boragepaddle::event
