#include "boragepaddle/proxy/store_state.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace boragepaddle::proxy {

namespace {

using Kind = StoreChange::Kind;

/// Time for which a lost version stays in force although the store has an older
/// one. Operators write lost versions again, and versions increase, so this
/// ends only what the platform excludes; an early end would undo a version that
/// callers have seen.
constexpr absl::Duration kLostConfigRetention = absl::Seconds(60);

/// True if the store lost the version in force and has only an older one.
bool IsOlderVersion(const StoreState& state,
                    const catalog::RouteCatalog& offered) {
  return state.routes != nullptr && state.routes->position.era < state.era &&
         state.routes->version_order != 0 && offered.version_order != 0 &&
         offered.version_order < state.routes->version_order;
}

void PutInForce(StoreState& state,
                catalog::RouteCatalog routes,
                const schema::KeyValue& item,
                StoreChange& change) {
  change.kind = Kind::kConfigAccepted;
  change.detail = absl::StrCat("version=", routes.version,
                               " routes=", routes.routes.size());
  routes.position = change.position;
  state.routes =
      std::make_shared<const catalog::RouteCatalog>(std::move(routes));
  state.routes_item = item;
  state.lost_config.reset();
}

StoreChange ApplyConfig(StoreState& state,
                        const schema::KeyValue& item,
                        absl::Time now) {
  StoreChange change{
      Kind::kConfigRefused, item.key, {state.era, item.revision}, ""};
  if (item.removed) {
    change.detail = "removed; the previous configuration stays in force";
    if (state.routes != nullptr && state.routes->position.era < state.era) {
      state.lost_config = LostConfig{item, change.position, now};
    }
    return change;
  }
  if (state.routes != nullptr && state.routes->position >= change.position) {
    change.kind = Kind::kEntryIgnored;
    change.detail =
        absl::StrCat("not newer than version ", state.routes->version,
                     " of revision ", state.routes->position.revision,
                     " in era ", state.routes->position.era);
    return change;
  }
  auto decoded = state.dialect.decode_catalog(item.value);
  if (!decoded) {
    change.detail = decoded.error().detail;
    return change;
  }
  if (IsOlderVersion(state, decoded.value())) {
    change.kind = Kind::kConfigRetained;
    change.detail = absl::StrCat("version=", state.routes->version,
                                 " lost_in_era=", state.era,
                                 " store_version=", decoded.value().version);
    state.lost_config = LostConfig{item, change.position, now};
    return change;
  }
  PutInForce(state, std::move(decoded.value()), item, change);
  return change;
}

StoreChange ApplyWorker(StoreState& state,
                        const schema::KeyValue& item,
                        bool is_restored,
                        absl::Time now) {
  StoreChange change{
      Kind::kWorkerRemoved, item.key, {state.era, item.revision}, ""};
  const std::string instance =
      item.key.substr(state.dialect.worker_prefix.size());
  const auto known = state.workers.entries.find(instance);
  if (!item.removed && known != state.workers.entries.end() &&
      known->second.position == change.position) {
    change.kind = Kind::kUnchanged;
    catalog::ConfirmWorker(state.workers, instance);
    return change;
  }
  if (!item.removed) {
    auto decoded = state.dialect.decode_worker(item.key, item.value);
    if (decoded) {
      catalog::WorkerEntry entry = std::move(decoded.value());
      entry.position = change.position;
      change.kind = Kind::kWorkerListed;
      change.detail = absl::StrCat(
          "service=", entry.service, " address=", entry.address,
          " draining=", entry.draining, " slots=", entry.slots,
          " cold_s=", absl::ToDoubleSeconds(entry.warm_up_remaining));
      if (!is_restored) {
        catalog::PutWorker(state.workers, std::move(entry), now);
      } else if (!catalog::PutRestoredWorker(state.workers, std::move(entry),
                                             now)) {
        change.kind = Kind::kEntryIgnored;
        change.detail = "a later start of the worker is known";
      }
      return change;
    }
    change.kind = Kind::kEntryIgnored;
    change.detail = decoded.error().detail;
  }
  // A malformed entry lists no worker either.
  catalog::RemoveWorker(state.workers, instance, change.position, now);
  return change;
}

}  // namespace

std::vector<StoreChange> ApplyItems(
    StoreState& state,
    const std::vector<schema::KeyValue>& changes,
    uint64_t era,
    absl::Time now) {
  // A copy of an unknown era was read by a new process, or came from a node of
  // an earlier release: no return was seen.
  const bool is_restored = state.era != 0 && era > state.era;
  if (is_restored) {
    catalog::OnSourceRestored(state.workers, now);
  }
  if (is_restored && state.lost_config) {
    state.lost_config->since = now;
  }
  state.era = era;
  std::vector<StoreChange> applied;
  for (const schema::KeyValue& item : changes) {
    if (item.key == state.dialect.config_key) {
      applied.push_back(ApplyConfig(state, item, now));
    } else if (absl::StartsWith(item.key, state.dialect.worker_prefix)) {
      applied.push_back(ApplyWorker(state, item, is_restored, now));
    }
  }
  return applied;
}

std::vector<schema::KeyValue> LostItems(const StoreState& state) {
  return state.lost_config ? std::vector<schema::KeyValue>{state.routes_item}
                           : std::vector<schema::KeyValue>();
}

std::vector<StoreChange> ApplyLostItems(
    StoreState& state,
    const std::vector<schema::KeyValue>& items,
    absl::Time now) {
  std::vector<StoreChange> applied;
  for (const schema::KeyValue& item : items) {
    // In no era of its own, so that the version decides about each
    // configuration of the store.
    StoreChange change{Kind::kEntryIgnored, item.key, {0, item.revision}, ""};
    auto decoded = state.dialect.decode_catalog(item.value);
    const uint64_t known =
        std::max(state.expired_version_order,
                 state.routes == nullptr ? 0 : state.routes->version_order);
    if (item.key != state.dialect.config_key || !decoded ||
        decoded.value().version_order <= known) {
      change.detail = "lost by the store; no newer configuration";
      applied.push_back(std::move(change));
      continue;
    }
    absl::optional<LostConfig> lost;
    if (state.routes != nullptr) {
      lost = LostConfig{state.routes_item, state.routes->position, now};
    }
    PutInForce(state, std::move(decoded.value()), item, change);
    state.lost_config = lost;
    change.detail += " lost by the store";
    applied.push_back(std::move(change));
  }
  return applied;
}

std::vector<StoreChange> ExpireLostConfig(StoreState& state,
                                          bool is_copy_current,
                                          absl::Time now) {
  if (!state.lost_config) {
    return {};
  }
  if (!is_copy_current) {
    state.lost_config->since = now;
  }
  if (now - state.lost_config->since < kLostConfigRetention ||
      state.lost_config->store_item.removed) {
    return {};
  }
  const LostConfig lost = std::move(*state.lost_config);
  state.lost_config.reset();
  state.expired_version_order = state.routes->version_order;
  StoreChange change{Kind::kConfigRefused, lost.store_item.key,
                     lost.store_position, ""};
  auto decoded = state.dialect.decode_catalog(lost.store_item.value);
  if (decoded) {
    PutInForce(state, std::move(decoded.value()), lost.store_item, change);
  }
  return {std::move(change)};
}

}  // namespace boragepaddle::proxy
