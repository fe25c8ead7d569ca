#include "boragepaddle/node/control.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "boragepaddle/node/control_exchange.h"
#include "boragepaddle/node/control_spread.h"

namespace boragepaddle::node {
namespace {

using dissemination::ConfigFolderPtr;
using dissemination::PeerEndpoint;
using dissemination::SyncState;
using dissemination::VersionRelation;
using dissemination::VersionTag;
using membership::VersionError;
using membership::VersionErrorCode;
using membership::VmListPtr;

constexpr absl::string_view kPlatformSource = "platform";

// The delta pushed along tree 0 usually arrives within this time; fetching
// earlier would transfer most changes twice.
constexpr absl::Duration kAnnouncedFetchDelay = absl::Milliseconds(200);

// Time for which a node waits after its start for further seed peers once it
// holds a configuration and a list.
constexpr absl::Duration kReadyDelay = absl::Seconds(1);
constexpr uint32_t kReadyAnswers = 2;

// Statements are kept for minutes, so infrequent pruning suffices.
constexpr absl::Duration kPruneInterval = absl::Minutes(1);

constexpr size_t kMaxReportedConflicts = 64;

/// Origin of an offered version.
struct Origin {
  PeerEndpoint peer;
  Arrival arrival = Arrival::kPlatform;
  uint32_t depth = 0;
};

/// Context for handling one event.
struct Context {
  ControlState& state;
  absl::Time now;
  uint64_t random;
  ControlActions& actions;
};

void Alarm(Context& context,
           Payload payload,
           const VersionError& error,
           absl::string_view source) {
  auto& reported_conflicts = context.state.reported_conflicts;
  const std::pair<uint64_t, uint64_t> key(error.version, error.offered_digest);
  if (std::find(reported_conflicts.begin(), reported_conflicts.end(), key) !=
      reported_conflicts.end()) {
    return;
  }
  if (reported_conflicts.size() == kMaxReportedConflicts) {
    reported_conflicts.erase(reported_conflicts.begin());
  }
  reported_conflicts.push_back(key);
  context.actions.push_back(RaiseAlarm{payload, error, std::string(source)});
}

/// Counts and reports a version that is known here with another digest.
void RecordConflict(Context& context,
                    Payload payload,
                    const VersionTag& offered,
                    absl::string_view source) {
  const SyncState& channel = ChannelOf(context.state, payload);
  const bool held = channel.held.version == offered.version;
  VersionError error;
  error.code = VersionErrorCode::kDigestConflict;
  error.version = offered.version;
  error.expected_digest = held ? channel.held.digest : channel.refused.digest;
  error.offered_digest = offered.digest;
  ++context.state.counters.conflicts;
  Alarm(context, payload, error, source);
}

/// Returns true if the offered version is newer; counts it otherwise.
bool IsNewer(Context& context,
             Payload payload,
             const VersionTag& offered,
             absl::string_view source) {
  switch (dissemination::Compare(ChannelOf(context.state, payload), offered)) {
    case VersionRelation::kNewer:
      return true;
    case VersionRelation::kConflict:
      RecordConflict(context, payload, offered, source);
      return false;
    case VersionRelation::kOlder:
      ++context.state.counters.older_ignored;
      return false;
    case VersionRelation::kSame:
    case VersionRelation::kRefused:
      return false;
  }
  return false;
}

void SendDueFetch(Context& context, Payload payload) {
  const auto fetch = dissemination::TakeDueFetch(
      ChannelOf(context.state, payload), context.now);
  if (!fetch.has_value()) {
    return;
  }
  ++context.state.counters.fetches;
  if (payload == Payload::kConfig) {
    SendTo(context.state, fetch->source,
           schema::ConfigFetch{fetch->from_version}, context.actions);
  } else {
    SendTo(context.state, fetch->source, schema::ListFetch{fetch->from_version},
           context.actions);
  }
}

void AnswerFetch(Context& context,
                 Payload payload,
                 const PeerEndpoint& peer,
                 uint64_t from_version) {
  SyncState& channel = ChannelOf(context.state, payload);
  if (channel.held.version > from_version) {
    SendTo(context.state, peer,
           DeltaFrom(context.state, payload, from_version, 0), context.actions);
    return;
  }
  dissemination::DeferFetch(channel, {peer, from_version});
}

/// Forwards a version that was just accepted and answers deferred fetches.
void Forward(Context& context,
             Payload payload,
             const Origin& origin,
             uint64_t previous_version) {
  SpreadHeld(context.state, payload, origin.arrival, previous_version,
             origin.depth, context.actions);
  const auto waiting =
      std::exchange(ChannelOf(context.state, payload).deferred_fetches, {});
  for (const dissemination::DeferredFetch& entry : waiting) {
    AnswerFetch(context, payload, entry.peer, entry.from_version);
  }
}

void AcceptConfig(Context& context,
                  const ConfigFolderPtr& folder,
                  const Origin& origin) {
  ControlState& state = context.state;
  const VersionTag tag{folder->version, folder->digest};
  const ConfigFolderPtr previous = state.folder;
  std::vector<ConfigFault> faults = state.check(*folder);
  const bool refused = !faults.empty();
  context.actions.push_back(AuditConfig{previous, folder, std::move(faults)});
  if (refused) {
    ++state.counters.configs_refused;
    dissemination::NoteRefused(state.config_channel, tag);
    return;
  }
  ++state.counters.configs_accepted;
  if (previous->version != 0) {
    membership::Append(state.config_log,
                       {previous->version, folder->version,
                        dissemination::ChangedNames(*previous, *folder)});
  }
  state.folder = folder;
  dissemination::NoteHeld(state.config_channel, tag);
  context.actions.push_back(InstallConfig{folder});
  Forward(context, Payload::kConfig, origin, previous->version);
}

void UpdateReaderRank(ControlState& state) {
  state.reader_rank = dissemination::ReaderRank(
      state.zones, state.settings.availability_zone, state.settings.vm_id);
}

void AcceptList(Context& context, const VmListPtr& list, const Origin& origin) {
  ControlState& state = context.state;
  const VmListPtr previous = state.view.list;
  if (!membership::ApplyList(state.view, list).has_value()) {
    return;
  }
  ++state.counters.lists_accepted;
  if (previous->version != 0) {
    membership::Append(state.list_log,
                       {previous->version, list->version,
                        membership::ChangedIds(*previous, *list)});
  }
  state.zones = dissemination::GroupByZone(list);
  dissemination::NoteHeld(state.list_channel, {list->version, list->digest});
  context.actions.push_back(InstallList{list});
  UpdateReaderRank(state);
  if (previous->version == 0) {
    PlanPlatformRead(state, context.now, context.random);
  }
  Forward(context, Payload::kList, origin, previous->version);
}

/// Handles a delta that could not be applied: fetches the full content from the
/// sender.
void HandleUnusableDelta(Context& context,
                         Payload payload,
                         const VersionTag& offered,
                         const VersionError& error,
                         bool was_whole,
                         const Origin& origin) {
  ++context.state.counters.unusable_deltas;
  if (was_whole) {
    // The sender itself is inconsistent; another fetch would not help.
    Alarm(context, payload, error, origin.peer.vm_id);
    return;
  }
  SyncState& channel = ChannelOf(context.state, payload);
  dissemination::NoteOffer(channel, offered, origin.peer, context.now);
  dissemination::NoteUnusableDelta(channel, context.now);
}

Origin OriginOf(const ControlState& state,
                const SyncState& channel,
                const PeerEndpoint& from,
                uint32_t depth) {
  const bool own_zone =
      from.availability_zone == state.settings.availability_zone;
  Origin origin{from, Arrival::kPushed, depth};
  if (!from.vm_id.empty() && channel.fetching_from == from.vm_id) {
    origin.arrival =
        own_zone ? Arrival::kFetchedInZone : Arrival::kFetchedFromOtherZone;
  } else if (!own_zone) {
    origin.arrival = Arrival::kRelayed;
  }
  return origin;
}

void OnConfigDelta(Context& context,
                   const PeerEndpoint& from,
                   const schema::ConfigDelta& delta) {
  ControlState& state = context.state;
  const VersionTag offered{delta.to_version, delta.digest};
  if (!IsNewer(context, Payload::kConfig, offered, from.vm_id)) {
    return;
  }
  const Origin origin =
      OriginOf(state, state.config_channel, from, delta.depth);
  const auto folder = dissemination::ApplyDelta(*state.folder, delta);
  if (!folder.has_value()) {
    HandleUnusableDelta(context, Payload::kConfig, offered, folder.error(),
                        delta.from_version == 0, origin);
    return;
  }
  AcceptConfig(context, folder.value(), origin);
}

void OnListDelta(Context& context,
                 const PeerEndpoint& from,
                 const schema::ListDelta& delta) {
  ControlState& state = context.state;
  const VersionTag offered{delta.to_version, delta.digest};
  if (!IsNewer(context, Payload::kList, offered, from.vm_id)) {
    return;
  }
  const Origin origin = OriginOf(state, state.list_channel, from, delta.depth);
  const auto list = membership::ApplyDelta(*state.view.list, delta);
  if (!list.has_value()) {
    HandleUnusableDelta(context, Payload::kList, offered, list.error(),
                        delta.from_version == 0, origin);
    return;
  }
  AcceptList(context, list.value(), origin);
}

void OnAnnounce(Context& context,
                Payload payload,
                const PeerEndpoint& from,
                const VersionTag& offered,
                uint32_t tree) {
  SyncState& channel = ChannelOf(context.state, payload);
  const VersionRelation relation = dissemination::Compare(channel, offered);
  const bool newer = IsNewer(context, payload, offered, from.vm_id);
  if (newer) {
    dissemination::NoteOffer(channel, offered, from,
                             context.now + kAnnouncedFetchDelay);
  }
  if (newer || relation == VersionRelation::kSame) {
    const bool other_zone =
        from.availability_zone != context.state.settings.availability_zone;
    SpreadAnnouncement(context.state, payload, offered, tree, other_zone,
                       context.actions);
  }
}

void OnExchange(Context& context,
                const PeerEndpoint& from,
                const schema::DigestExchange& theirs) {
  ControlState& state = context.state;
  const VersionTag config{theirs.config_version, theirs.config_digest};
  const VersionTag list{theirs.list_version, theirs.list_digest};
  if (config.version != 0 &&
      IsNewer(context, Payload::kConfig, config, from.vm_id)) {
    dissemination::NoteOffer(state.config_channel, config, from, context.now);
  }
  if (list.version != 0 && IsNewer(context, Payload::kList, list, from.vm_id)) {
    dissemination::NoteOffer(state.list_channel, list, from, context.now);
  }
  if (!theirs.reply) {
    SendTo(state, from, OwnDigests(state, true), context.actions);
    return;
  }
  ++state.startup_answers;
  state.exchange.answer_due = absl::InfiniteFuture();
}

void OnStatement(Context& context, const membership::PeerReport& said) {
  membership::ApplyPeerReport(context.state.view, said, context.now);
}

/// Handles messages by type; messages of calls are ignored.
struct MessageHandler {
  Context& context;
  const PeerEndpoint& from;

  void operator()(const schema::Hello& hello) {
    OnStatement(this->context, {hello.vm_id, hello.incarnation, hello.leaving});
  }
  void operator()(const schema::Leaving& leaving) {
    OnStatement(this->context, {leaving.vm_id, leaving.incarnation, true});
  }
  void operator()(const schema::ConfigAnnounce& announce) {
    OnAnnounce(this->context, Payload::kConfig, this->from,
               {announce.version, announce.digest}, announce.tree);
  }
  void operator()(const schema::ListAnnounce& announce) {
    OnAnnounce(this->context, Payload::kList, this->from,
               {announce.version, announce.digest}, announce.tree);
  }
  void operator()(const schema::ConfigFetch& fetch) {
    AnswerFetch(this->context, Payload::kConfig, this->from,
                fetch.from_version);
  }
  void operator()(const schema::ListFetch& fetch) {
    AnswerFetch(this->context, Payload::kList, this->from, fetch.from_version);
  }
  void operator()(const schema::ConfigDelta& delta) {
    OnConfigDelta(this->context, this->from, delta);
  }
  void operator()(const schema::ListDelta& delta) {
    OnListDelta(this->context, this->from, delta);
  }
  void operator()(const schema::DigestExchange& exchange) {
    OnExchange(this->context, this->from, exchange);
  }
  template <typename Other>
  void operator()(const Other& /*message*/) {}
};

void OnTick(Context& context) {
  ControlState& state = context.state;
  TickExchange(state, context.now, context.random, context.actions);
  TickPlatformRead(state, context.now, context.random, context.actions);
  if (context.now >= state.next_prune) {
    membership::Prune(state.view, context.now);
    state.next_prune = context.now + kPruneInterval;
  }
}

/// Handles events by type.
struct EventHandler {
  Context& context;

  void operator()(const ControlStarted& /*event*/) {
    StartExchange(this->context.state, this->context.now, this->context.random,
                  this->context.actions);
  }
  void operator()(const ControlTick& /*event*/) { OnTick(this->context); }
  void operator()(const PeerMessage& event) {
    if (event.from.vm_id == this->context.state.settings.vm_id) {
      return;
    }
    std::visit(MessageHandler{this->context, event.from}, event.message);
  }
  void operator()(const PlatformConfig& event) {
    // Revision 0 means that nothing has been published yet.
    if (event.revision == 0) {
      return;
    }
    const ConfigFolderPtr folder =
        dissemination::MakeFolder(event.revision, event.files);
    this->context.state.startup_answers += kReadyAnswers;
    const VersionTag offered{event.revision, folder->digest};
    if (IsNewer(this->context, Payload::kConfig, offered, kPlatformSource)) {
      AcceptConfig(this->context, folder, Origin());
    }
  }
  void operator()(const PlatformList& event) {
    if (event.revision == 0) {
      return;
    }
    const auto list = membership::MakeVmList(event.revision, event.vms);
    if (!list.has_value()) {
      Alarm(this->context, Payload::kList, list.error(), kPlatformSource);
      return;
    }
    const VersionTag offered{event.revision, list.value()->digest};
    if (IsNewer(this->context, Payload::kList, offered, kPlatformSource)) {
      AcceptList(this->context, list.value(), Origin());
    }
  }
};

}  // namespace

ControlActions OnControlEvent(ControlState& state,
                              const ControlEvent& event,
                              absl::Time now,
                              uint64_t random) {
  ControlActions actions;
  Context context{state, now, random, actions};
  std::visit(EventHandler{context}, event);
  SendDueFetch(context, Payload::kConfig);
  SendDueFetch(context, Payload::kList);
  UpdateWatch(state, now, actions);
  return actions;
}

bool IsControlReady(const ControlState& state, absl::Time now) {
  if (!HasBoth(state)) {
    return false;
  }
  const size_t asked = state.settings.seed_peers.size();
  return state.startup_answers >= std::min<size_t>(asked, kReadyAnswers) ||
         now >= state.started + kReadyDelay;
}

}  // namespace boragepaddle::node
