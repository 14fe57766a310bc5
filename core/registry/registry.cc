#include "core/registry/registry.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>
#include <utility>

#include "core/registry/facts_digest.h"

namespace knapweedlift {
namespace {

// Bounds the memory for past configurations. A peer that lags further behind
// gets a snapshot.
constexpr size_t kMaxPastConfigs = 256;

void SetRemoved(ServerRecord& record, Revision revision, const FactDelta& delta,
                TimePoint now) {
  record.removed = true;
  record.revision = revision;
  record.received_at = now;
  record.removal_held_until = delta.removals_held_until;
}

void SetRemoved(RouteRecord& record, Revision revision,
                const FactDelta& /*delta*/, TimePoint now) {
  record.removed = true;
  record.revision = revision;
  record.received_at = now;
}

void SetRemoved(EvacuationRecord& record, Revision revision,
                const FactDelta& /*delta*/, TimePoint now) {
  record = {.revision = revision, .removed = true, .received_at = now};
}

// Retires the mark of a server that has restarted since `previous`.
void RetireMark(Registry& registry, const ServerFact& previous,
                const ServerFact& present, TimePoint now) {
  if (previous.mark == kNoMark || previous.mark == present.mark) return;
  registry.retired_marks.push_back({.mark = previous.mark,
                                    .retired_at = now,
                                    .server = previous.name,
                                    .service = previous.service,
                                    .endpoint = previous.endpoint});
}

void MergeServer(Registry& registry, const ServerChange& change,
                 const FactDelta& delta, TimePoint now) {
  const auto [found, added] = registry.servers.try_emplace(change.name);
  ServerRecord& record = found->second;
  if (!added && change.revision <= record.revision) return;
  if (!change.server.has_value()) {
    SetRemoved(record, change.revision, delta, now);
    return;
  }
  record.revision = change.revision;
  record.received_at = now;
  record.removed = false;
  RetireMark(registry, record.fact, *change.server, now);
  record.fact = *change.server;
}

bool HasNewConfig(const Registry& registry, const FactDelta& delta) {
  return delta.limits.has_value() &&
         delta.limits->revision > registry.limits.revision;
}

void MergeRoute(Registry& registry, const RouteChange& change,
                const FactDelta& delta, TimePoint now) {
  const auto [found, added] = registry.routes.try_emplace(change.address);
  RouteRecord& record = found->second;
  // A route may have changed back after the change that this registry knows.
  // Its revision in the snapshot is then the older one.
  const bool replaces = delta.is_snapshot && HasNewConfig(registry, delta);
  if (!added && !replaces && change.revision <= record.revision) return;
  ++registry.routes_version;
  if (!change.route.has_value()) {
    SetRemoved(record, change.revision, delta, now);
    return;
  }
  record = {
      .fact = *change.route, .revision = change.revision, .received_at = now};
}

void MergeEvacuation(Registry& registry, const EvacuationChange& change,
                     TimePoint now) {
  const auto [found, added] = registry.evacuations.try_emplace(change.domain);
  if (!added && change.revision <= found->second.revision) return;
  found->second = {.revision = change.revision,
                   .removed = !change.active,
                   .received_at = now};
}

// Turns records that a snapshot lacks into tombstones.
template <typename Records, typename Names>
void RemoveRecordsNotIn(Records& records, const Names& names,
                        const FactDelta& delta, TimePoint now) {
  for (auto& [key, record] : records) {
    const bool retained =
        record.removed || record.revision > delta.as_of || names.contains(key);
    if (!retained) SetRemoved(record, delta.as_of, delta, now);
  }
}

void RemoveRecordsMissingFrom(Registry& registry, const FactDelta& delta,
                              TimePoint now) {
  std::set<std::string> servers;
  for (const ServerChange& change : delta.servers) servers.insert(change.name);
  RemoveRecordsNotIn(registry.servers, servers, delta, now);
  std::set<std::string> evacuations;
  for (const EvacuationChange& change : delta.evacuations) {
    evacuations.insert(change.domain);
  }
  RemoveRecordsNotIn(registry.evacuations, evacuations, delta, now);
  // A snapshot without a configuration says nothing about routes.
  if (!delta.limits.has_value()) return;
  std::set<Endpoint> routes;
  for (const RouteChange& change : delta.routes) routes.insert(change.address);
  RemoveRecordsNotIn(registry.routes, routes, delta, now);
  ++registry.routes_version;
}

// Makes the configuration of the delta the present one.
void MergeLimits(Registry& registry, const FactDelta& delta) {
  if (!HasNewConfig(registry, delta)) return;
  std::vector<PastConfig>& past = registry.past_configs;
  past.push_back(
      {.revision = registry.limits.revision, .known_until = registry.as_of});
  if (past.size() > kMaxPastConfigs) {
    past.erase(past.begin());
    registry.horizon = std::max(registry.horizon, past.front().revision);
  }
  registry.limits = *delta.limits;
}

// Returns the revision of the configuration in force at revision `at`; nothing
// if it is not known.
std::optional<Revision> ConfigInForceAt(const Registry& registry, Revision at) {
  if (at >= registry.limits.revision) return registry.limits.revision;
  const auto& past = registry.past_configs;
  const auto later = std::find_if(
      past.begin(), past.end(),
      [at](const PastConfig& config) { return config.revision > at; });
  if (later == past.begin()) return {};
  const PastConfig& config = *std::prev(later);
  if (at > config.known_until) return {};
  return config.revision;
}

Revision LastChange(const FactDelta& delta) {
  Revision last = 0;
  for (const ServerChange& change : delta.servers) {
    last = std::max(last, change.revision);
  }
  for (const RouteChange& change : delta.routes) {
    last = std::max(last, change.revision);
  }
  for (const EvacuationChange& change : delta.evacuations) {
    last = std::max(last, change.revision);
  }
  if (delta.limits.has_value()) last = std::max(last, delta.limits->revision);
  return last;
}

}  // namespace

MergeResult MergeDelta(Registry& registry, const FactDelta& delta,
                       TimePoint now) {
  if (delta.as_of <= registry.as_of) return MergeResult::kUnchanged;
  if (!delta.is_snapshot && delta.after > registry.as_of)
    return MergeResult::kGap;
  if (HasNewConfig(registry, delta) && delta.config_base.has_value() &&
      *delta.config_base != registry.limits.revision) {
    return MergeResult::kOtherConfig;
  }
  for (const ServerChange& change : delta.servers) {
    MergeServer(registry, change, delta, now);
  }
  for (const RouteChange& change : delta.routes) {
    MergeRoute(registry, change, delta, now);
  }
  for (const EvacuationChange& change : delta.evacuations) {
    MergeEvacuation(registry, change, now);
  }
  MergeLimits(registry, delta);
  if (delta.is_snapshot) {
    RemoveRecordsMissingFrom(registry, delta, now);
    // Removals before the snapshot are unknown and cannot be sent as changes.
    registry.horizon = delta.as_of;
    registry.past_configs.clear();
    registry.last_change = delta.as_of;
  }
  registry.as_of = delta.as_of;
  registry.last_change = std::max(registry.last_change, LastChange(delta));
  const bool may_differ = delta.is_snapshot || delta.limits.has_value() ||
                          !delta.servers.empty() || !delta.routes.empty() ||
                          !delta.evacuations.empty();
  if (may_differ || registry.digest == kNoDigest) {
    registry.digest = ComputeFactsDigest(registry);
  }
  return MergeResult::kMerged;
}

void ReplaceFacts(Registry& registry, const FactDelta& snapshot,
                  TimePoint now) {
  Registry repaired;
  MergeDelta(repaired, snapshot, now);
  repaired.retired_marks = registry.retired_marks;
  repaired.routes_version = registry.routes_version + 1;
  for (auto& [name, record] : registry.servers) {
    const auto [found, missing] = repaired.servers.try_emplace(name, record);
    if (missing && !record.removed) {
      SetRemoved(found->second, snapshot.as_of, snapshot, now);
    }
    RetireMark(repaired, record.fact, found->second.fact, now);
  }
  for (const auto& [address, record] : registry.routes) {
    const auto [found, missing] = repaired.routes.try_emplace(address, record);
    if (missing && !record.removed) {
      SetRemoved(found->second, snapshot.as_of, snapshot, now);
    }
  }
  for (const auto& [domain, record] : registry.evacuations) {
    const auto [found, missing] =
        repaired.evacuations.try_emplace(domain, record);
    if (missing && !record.removed) {
      SetRemoved(found->second, snapshot.as_of, snapshot, now);
    }
  }
  registry = std::move(repaired);
}

bool NeedsSnapshot(const Registry& registry, Revision after) {
  return after == 0 || after < registry.horizon ||
         !ConfigInForceAt(registry, after).has_value();
}

FactDelta DeltaSince(const Registry& registry, Revision after) {
  FactDelta delta{.after = after,
                  .as_of = registry.as_of,
                  .is_snapshot = NeedsSnapshot(registry, after)};
  for (const auto& [name, record] : registry.servers) {
    if (record.removed) {
      delta.removals_held_until =
          std::max(delta.removals_held_until, record.removal_held_until);
    }
    const bool included =
        delta.is_snapshot ? !record.removed : record.revision > after;
    if (!included) continue;
    delta.servers.push_back({.name = name, .revision = record.revision});
    if (!record.removed) delta.servers.back().server = record.fact;
  }
  for (const auto& [address, record] : registry.routes) {
    const bool included =
        delta.is_snapshot ? !record.removed : record.revision > after;
    if (!included) continue;
    delta.routes.push_back({.address = address, .revision = record.revision});
    if (!record.removed) delta.routes.back().route = record.fact;
  }
  for (const auto& [domain, record] : registry.evacuations) {
    const bool included =
        delta.is_snapshot ? !record.removed : record.revision > after;
    if (!included) continue;
    delta.evacuations.push_back({.domain = domain,
                                 .revision = record.revision,
                                 .active = !record.removed});
  }
  if (delta.is_snapshot || registry.limits.revision > after) {
    delta.limits = registry.limits;
    if (!delta.is_snapshot) {
      delta.config_base = ConfigInForceAt(registry, after);
    }
  }
  return delta;
}

void AddConfigChanges(const Registry& registry, const ConfigFact& config,
                      Revision revision, FactDelta& delta) {
  if (revision <= registry.limits.revision) return;
  std::set<Endpoint> configured;
  for (const RouteFact& route : config.routes) {
    configured.insert(route.address);
    const auto found = registry.routes.find(route.address);
    const bool unchanged = found != registry.routes.end() &&
                           !found->second.removed &&
                           found->second.fact == route;
    if (unchanged && !delta.is_snapshot) continue;
    delta.routes.push_back(
        {.address = route.address,
         .revision = unchanged ? found->second.revision : revision,
         .route = route});
  }
  if (!delta.is_snapshot) {
    delta.config_base = registry.limits.revision;
    for (const auto& [address, record] : registry.routes) {
      if (record.removed || configured.contains(address)) continue;
      delta.routes.push_back({.address = address, .revision = revision});
    }
  }
  delta.limits = {.revision = revision, .limits = config.limits};
}

void PruneTombstones(Registry& registry, TimePoint now) {
  const auto expired = [now](const auto& item) {
    return item.second.removed &&
           now - item.second.received_at > kTombstoneLifetime;
  };
  for (const auto& [name, record] : registry.servers) {
    if (!expired(std::pair(name, record))) continue;
    registry.horizon = std::max(registry.horizon, record.revision);
  }
  for (const auto& [address, record] : registry.routes) {
    if (!expired(std::pair(address, record))) continue;
    registry.horizon = std::max(registry.horizon, record.revision);
  }
  for (const auto& [domain, record] : registry.evacuations) {
    if (!expired(std::pair(domain, record))) continue;
    registry.horizon = std::max(registry.horizon, record.revision);
  }
  std::erase_if(registry.servers, expired);
  std::erase_if(registry.routes, expired);
  std::erase_if(registry.evacuations, expired);
  std::erase_if(registry.retired_marks, [now](const RetiredMark& retired) {
    return now - retired.retired_at > kTombstoneLifetime;
  });
}

}  // namespace knapweedlift
