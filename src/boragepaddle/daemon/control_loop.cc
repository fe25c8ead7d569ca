#include "boragepaddle/daemon/control_loop.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "boragepaddle/config_service/platform_response.h"
#include "boragepaddle/daemon/random_id.h"
#include "boragepaddle/transport/clock.h"

namespace boragepaddle::daemon {
namespace {

using transport::MonotonicNow;

// Messages beyond this are dropped; the digest exchange makes up for them.
constexpr size_t kMaxQueue = 4096;

node::ControlSettings ToControlSettings(const schema::NodeSettings& settings) {
  return {settings.vm_id, settings.availability_zone, settings.seed_peers};
}

config_service::ClientSettings ToClientSettings(
    const schema::NodeSettings& settings) {
  config_service::ClientSettings client;
  client.address = settings.platform_address;
  client.availability_zone = settings.availability_zone;
  return client;
}

nlohmann::json ToJson(const dissemination::VersionTag& tag) {
  return {{"version", tag.version},
          {"digest", absl::StrCat(absl::Hex(tag.digest, absl::kZeroPad16))}};
}

nlohmann::json ToJson(const node::ControlCounters& counters) {
  return {{"configs_accepted", counters.configs_accepted},
          {"configs_refused", counters.configs_refused},
          {"lists_accepted", counters.lists_accepted},
          {"older_ignored", counters.older_ignored},
          {"conflicts", counters.conflicts},
          {"unusable_deltas", counters.unusable_deltas},
          {"fetches", counters.fetches},
          {"exchanges", counters.exchanges},
          {"unanswered_exchanges", counters.unanswered_exchanges},
          {"platform_reads", counters.platform_reads}};
}

nlohmann::json ToJson(const ControlTraffic& traffic,
                      const TrafficRates& rates) {
  return {{"messages_sent", traffic.messages_sent},
          {"bytes_sent", traffic.bytes_sent},
          {"messages_received", traffic.messages_received},
          {"bytes_received", traffic.bytes_received},
          {"connections_opened", traffic.connections_opened},
          {"messages_dropped", traffic.messages_dropped},
          {"messages_sent_per_s", rates.messages_sent_per_s},
          {"bytes_sent_per_s", rates.bytes_sent_per_s},
          {"messages_received_per_s", rates.messages_received_per_s},
          {"bytes_received_per_s", rates.bytes_received_per_s}};
}

nlohmann::json ToJson(const config_service::WatchCounters& counters) {
  nlohmann::json json = {{"requests", counters.requests},
                         {"failures", counters.failures}};
  if (counters.failures > 0) {
    json["last_failure"] =
        std::string(config_service::ToString(counters.last_failure));
  }
  return json;
}

dissemination::PeerEndpoint NameOf(const schema::Hello& hello) {
  return {hello.vm_id, "", hello.availability_zone};
}

}  // namespace

ControlLoop::ControlLoop(const schema::NodeSettings& settings,
                         RuleBook& rules,
                         ControlLinks::HelloSource own_hello,
                         ListSink install_list)
    : rules(rules),
      install_list(std::move(install_list)),
      state(ToControlSettings(settings),
            [this](const dissemination::ConfigFolder& folder) {
              return this->Check(folder);
            }),
      links(std::move(own_hello), *this),
      config_watch(
          ToClientSettings(settings),
          "/v1/config",
          [this](absl::string_view body)
              -> base::Result<uint64_t, config_service::PlatformError> {
            auto answer = config_service::ParseConfigResponse(body);
            if (!answer.has_value()) {
              return answer.error();
            }
            const uint64_t revision = answer.value().revision;
            this->Post(std::move(answer.value()));
            return revision;
          },
          &RandomBits),
      list_watch(
          ToClientSettings(settings),
          "/v1/vms",
          [this](absl::string_view body)
              -> base::Result<uint64_t, config_service::PlatformError> {
            auto answer = config_service::ParseVmListResponse(body);
            if (!answer.has_value()) {
              return answer.error();
            }
            const uint64_t revision = answer.value().revision;
            this->Post(std::move(answer.value()));
            return revision;
          },
          &RandomBits) {}

ControlLoop::~ControlLoop() {
  {
    absl::MutexLock lock(&this->mutex);
    this->stopping = true;
  }
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void ControlLoop::Start() {
  this->Post(node::ControlStarted());
  this->thread = std::thread([this] { this->Run(); });
}

void ControlLoop::OnOpen(const PeerLinkPtr& link) {
  this->Post(node::PeerMessage{NameOf(link->peer()), link->peer()});
}

void ControlLoop::OnMessage(const PeerLinkPtr& link, schema::Message message) {
  if (!IsControlMessage(message)) {
    return;
  }
  if (!std::holds_alternative<schema::Leaving>(message)) {
    this->links.NoteReceived(link, message);
  }
  this->Post(node::PeerMessage{NameOf(link->peer()), std::move(message)});
}

void ControlLoop::OnClosed(const PeerLinkPtr& link) {
  this->links.NoteClosed(link);
}

bool ControlLoop::ready() const {
  absl::MutexLock lock(&this->mutex);
  return this->published.ready;
}

nlohmann::json ControlLoop::Status() const {
  Published now;
  {
    absl::MutexLock lock(&this->mutex);
    now = this->published;
  }
  return {{"ready", now.ready},
          {"watching", now.watching},
          {"reader_rank", now.reader_rank},
          {"config", ToJson(now.config)},
          {"list", ToJson(now.list)},
          {"refused", ToJson(now.refused)},
          {"counters", ToJson(now.counters)},
          {"traffic", ToJson(this->links.traffic(), now.rates)},
          {"config_watch", ToJson(this->config_watch.counters())},
          {"list_watch", ToJson(this->list_watch.counters())}};
}

std::vector<node::ConfigFault> ControlLoop::Check(
    const dissemination::ConfigFolder& folder) {
  const config::OfferResult result =
      this->rules.Offer(folder.version, folder.files);
  std::vector<node::ConfigFault> faults;
  for (const config::ConfigError& error : result.errors) {
    faults.push_back({error.file, error.path, error.value, error.reason});
  }
  return faults;
}

void ControlLoop::Post(node::ControlEvent event) {
  absl::MutexLock lock(&this->mutex);
  if (this->queue.size() < kMaxQueue) {
    this->queue.push_back(std::move(event));
  }
}

void ControlLoop::Run() {
  absl::Time next_tick = MonotonicNow();
  std::deque<node::ControlEvent> events;
  while (this->TakeEvents(next_tick, &events)) {
    for (const node::ControlEvent& event : events) {
      this->Handle(event);
    }
    if (MonotonicNow() >= next_tick) {
      next_tick = MonotonicNow() + node::kControlTickInterval;
      this->Handle(node::ControlTick());
    }
    this->Publish();
  }
}

bool ControlLoop::TakeEvents(absl::Time next_tick,
                             std::deque<node::ControlEvent>* events) {
  const auto has_work = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) {
    return this->stopping || !this->queue.empty();
  };
  events->clear();
  absl::MutexLock lock(&this->mutex);
  this->mutex.AwaitWithTimeout(absl::Condition(&has_work),
                               next_tick - MonotonicNow());
  events->swap(this->queue);
  return !this->stopping;
}

void ControlLoop::Handle(const node::ControlEvent& event) {
  node::ControlActions actions =
      node::OnControlEvent(this->state, event, MonotonicNow(), RandomBits());
  for (node::ControlAction& action : actions) {
    std::visit([this](auto& value) { this->Perform(value); }, action);
  }
}

void ControlLoop::Publish() {
  const absl::Time now = MonotonicNow();
  AddSample(this->window, now, this->links.traffic());
  Published next;
  next.ready = node::IsControlReady(this->state, now);
  next.watching = this->state.watching;
  next.reader_rank = this->state.reader_rank;
  next.config = this->state.config_channel.held;
  next.list = this->state.list_channel.held;
  next.refused = this->state.config_channel.refused;
  next.counters = this->state.counters;
  next.rates = RatesOf(this->window);
  absl::MutexLock lock(&this->mutex);
  this->published = next;
}

void ControlLoop::Perform(node::SendMessage& action) {
  this->links.Send(std::move(action));
}

void ControlLoop::Perform(const node::WatchPlatform& action) {
  this->config_watch.SetEnabled(action.enabled);
  this->list_watch.SetEnabled(action.enabled);
}

void ControlLoop::Perform(const node::ReadPlatform& /*action*/) {
  this->config_watch.ReadOnce();
  this->list_watch.ReadOnce();
}

void ControlLoop::Perform(const node::InstallConfig& action) {
  this->config_watch.NoteHeld(action.folder->version);
}

void ControlLoop::Perform(const node::InstallList& action) {
  this->list_watch.NoteHeld(action.list->version);
  this->install_list(*action.list);
}

void ControlLoop::Perform(const node::AuditConfig& action) {
  const uint64_t version = action.offered->version;
  if (action.faults.empty()) {
    this->log.Info(absl::StrCat("configuration in force version=", version));
    return;
  }
  const node::ConfigFault& fault = action.faults.front();
  this->log.Warn(absl::StrCat("configuration refused version=", version,
                              " file=", fault.file, " path=", fault.path,
                              " value=", fault.value, " reason=", fault.reason,
                              " faults=", action.faults.size()));
}

void ControlLoop::Perform(const node::RaiseAlarm& action) {
  const bool config = action.payload == node::Payload::kConfig;
  this->log.Error(
      absl::StrCat("alarm ", config ? "configuration " : "vm list ",
                   membership::ToString(action.error.code),
                   " version=", action.error.version, " expected_digest=",
                   absl::Hex(action.error.expected_digest, absl::kZeroPad16),
                   " offered_digest=",
                   absl::Hex(action.error.offered_digest, absl::kZeroPad16),
                   " source=", action.source));
}

bool IsControlMessage(const schema::Message& message) {
  return std::holds_alternative<schema::Leaving>(message) ||
         std::holds_alternative<schema::ConfigAnnounce>(message) ||
         std::holds_alternative<schema::ConfigFetch>(message) ||
         std::holds_alternative<schema::ConfigDelta>(message) ||
         std::holds_alternative<schema::ListAnnounce>(message) ||
         std::holds_alternative<schema::ListFetch>(message) ||
         std::holds_alternative<schema::ListDelta>(message) ||
         std::holds_alternative<schema::DigestExchange>(message);
}

}  // namespace boragepaddle::daemon
