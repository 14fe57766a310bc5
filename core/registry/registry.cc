#include "core/registry/registry.h"

#include <algorithm>
#include <set>
#include <type_traits>
#include <utility>

#include "core/registry/deferred_changes.h"
#include "core/registry/facts_digest.h"
#include "core/registry/new_era.h"

namespace knapweedlift {
namespace {

// Bounds the memory for past configurations. A peer that lags further behind
// gets a snapshot.
constexpr size_t kMaxPastConfigs = 256;
// The same for spans of earlier eras.
constexpr size_t kMaxPastSpans = 4;

// Changes after an earlier revision are no longer known one by one.
void RaiseHorizon(Registry& registry, Revision revision) {
  registry.horizon = std::max(registry.horizon, revision);
  for (RevisionSpan& span : registry.past_spans) {
    span.first = std::max(span.first, revision);
  }
  std::erase_if(registry.past_spans, [](const RevisionSpan& span) {
    return span.first > span.last;
  });
}

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

void SetServer(Registry& registry, ServerRecord& record,
               const ServerChange& change, const FactDelta& delta,
               TimePoint now) {
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

void MergeServer(Registry& registry, const ServerChange& change,
                 const FactDelta& delta, TimePoint now) {
  if (DeferChange(registry, change, delta.is_snapshot, now)) return;
  const auto [found, added] = registry.servers.try_emplace(change.name);
  ServerRecord& record = found->second;
  const Revision known = RevisionInEra(registry, record.revision);
  if (!added && change.revision <= known) return;
  SetServer(registry, record, change, delta, now);
}

bool HasNewConfig(const Registry& registry, const FactDelta& delta) {
  return delta.limits.has_value() &&
         ReplacesConfig(*delta.limits, registry.limits);
}

// Returns true if the routes of the delta belong to a configuration that the
// registry does not take.
bool HasOldRoutes(const Registry& registry, const FactDelta& delta) {
  return delta.limits.has_value() && !HasNewConfig(registry, delta) &&
         delta.limits->revision != registry.limits.revision;
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

void SetEvacuation(EvacuationRecord& record, const EvacuationChange& change,
                   TimePoint now) {
  record = {.revision = change.revision,
            .removed = !change.active,
            .received_at = now};
}

void MergeEvacuation(Registry& registry, const EvacuationChange& change,
                     const FactDelta& delta, TimePoint now) {
  if (DeferChange(registry, change, delta.is_snapshot, now)) return;
  const auto [found, added] = registry.evacuations.try_emplace(change.domain);
  const Revision known = RevisionInEra(registry, found->second.revision);
  if (!added && change.revision <= known) return;
  SetEvacuation(found->second, change, now);
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
  for (const ServerChange& change : delta.servers) {
    const bool listed = change.applies_at <= now || IsInForce(registry, change);
    if (listed) servers.insert(change.name);
  }
  RemoveRecordsNotIn(registry.servers, servers, delta, now);
  std::set<std::string> evacuations;
  for (const EvacuationChange& change : delta.evacuations) {
    const bool listed = change.applies_at <= now || IsInForce(registry, change);
    if (listed) evacuations.insert(change.domain);
  }
  RemoveRecordsNotIn(registry.evacuations, evacuations, delta, now);
  // A snapshot without a configuration says nothing about routes.
  if (!delta.limits.has_value() || HasOldRoutes(registry, delta)) return;
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
    RaiseHorizon(registry, past.front().revision);
  }
  registry.limits = *delta.limits;
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

// Returns true if the delta leads from the facts at `as_of` to later ones.
bool Continues(const FactDelta& delta, Revision as_of) {
  if (delta.is_snapshot) return true;
  if (delta.after > as_of) return false;
  if (delta.spans.empty()) return delta.as_of.era == as_of.era;
  if (delta.spans.back().first.era != delta.as_of.era) return false;
  return std::any_of(
      delta.spans.begin(), delta.spans.end(),
      [as_of](const RevisionSpan& span) { return Includes(span, as_of); });
}

// Prepares the registry for a delta of a later era.
void BeginEra(Registry& registry, const FactDelta& delta, TimePoint now) {
  std::vector<RevisionSpan>& past = registry.past_spans;
  RevisionSpan own{.first = registry.horizon, .last = registry.as_of};
  for (const RevisionSpan& span : delta.spans) {
    if (!Includes(span, registry.as_of)) {
      // The delta contains the changes since the spans that follow, too.
      const bool follows = span.first > registry.as_of;
      const bool is_past = span.last.era != delta.as_of.era;
      if (follows && is_past) past.push_back(span);
      continue;
    }
    own.last = span.last;
    // While changes wait, this VM's facts at a revision are not the store's,
    // from which a peer's may come.
    const bool has_deferred = !registry.deferred_servers.empty() ||
                              !registry.deferred_evacuations.empty();
    if (!has_deferred) past.push_back(own);
  }
  if (past.size() > kMaxPastSpans) {
    past.erase(past.begin(),
               past.end() - static_cast<ptrdiff_t>(kMaxPastSpans));
  }
  registry.horizon = delta.spans.back().first;
  registry.last_change = delta.as_of;
  registry.era_began_at = now;
}

void MergeChanges(Registry& registry, const FactDelta& delta, TimePoint now) {
  if (delta.is_snapshot) DropContradictedChanges(registry, delta, now);
  for (const ServerChange& change : delta.servers) {
    MergeServer(registry, change, delta, now);
  }
  const bool takes_routes = !HasOldRoutes(registry, delta);
  for (const RouteChange& change : delta.routes) {
    if (takes_routes) MergeRoute(registry, change, delta, now);
  }
  for (const EvacuationChange& change : delta.evacuations) {
    MergeEvacuation(registry, change, delta, now);
  }
  MergeLimits(registry, delta);
  if (delta.is_snapshot) {
    RemoveRecordsMissingFrom(registry, delta, now);
    // Removals before the snapshot are unknown and cannot be sent as changes.
    RaiseHorizon(registry, delta.as_of);
    registry.past_configs.clear();
    registry.last_change = delta.as_of;
  }
  const bool is_new_era =
      registry.as_of != 0 && registry.as_of.era != delta.as_of.era;
  if (is_new_era) registry.era_began_with = delta.as_of;
  registry.as_of = delta.as_of;
  registry.last_change = std::max(registry.last_change, LastChange(delta));
  const bool may_differ = is_new_era || delta.is_snapshot ||
                          delta.limits.has_value() || !delta.servers.empty() ||
                          !delta.routes.empty() || !delta.evacuations.empty();
  if (may_differ || registry.digest == kNoDigest) {
    registry.digest = ComputeFactsDigest(registry);
  }
}

}  // namespace

Revision RevisionInEra(const Registry& registry, Revision revision) {
  return revision.era < registry.era_began_with.era ? registry.era_began_with
                                                    : revision;
}

bool ReplacesConfig(const LimitsChange& change, const LimitsChange& present) {
  const bool same_era = change.revision.era == present.revision.era;
  if (same_era || present.revision == 0) {
    return change.revision > present.revision;
  }
  if (change.limits.version != present.limits.version) {
    return change.limits.version > present.limits.version;
  }
  return change.revision > present.revision;
}

MergeResult MergeDelta(Registry& registry, const FactDelta& delta,
                       TimePoint now) {
  if (delta.as_of <= registry.as_of) return MergeResult::kUnchanged;
  const bool is_new_era =
      registry.as_of != 0 && delta.as_of.era != registry.as_of.era;
  if (is_new_era && delta.is_snapshot) {
    const FactDelta changes = ChangesOfNewEra(registry, delta, now);
    BeginEra(registry, changes, now);
    registry.deferred_servers.clear();
    registry.deferred_evacuations.clear();
    MergeChanges(registry, changes, now);
    return MergeResult::kMerged;
  }
  if (!Continues(delta, registry.as_of)) return MergeResult::kGap;
  if (HasNewConfig(registry, delta) && delta.config_base.has_value() &&
      *delta.config_base != registry.limits.revision) {
    return MergeResult::kOtherConfig;
  }
  if (is_new_era) BeginEra(registry, delta, now);
  MergeChanges(registry, delta, now);
  return MergeResult::kMerged;
}

void ReplaceFacts(Registry& registry, const FactDelta& snapshot,
                  TimePoint now) {
  Registry repaired{.era_began_at = registry.era_began_at,
                    .era_began_with = registry.era_began_with,
                    .max_listing_time = registry.max_listing_time,
                    .reregistration_time = registry.reregistration_time};
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

bool HasUnsettledFacts(const Registry& registry) {
  return registry.limits.revision.era != registry.as_of.era ||
         !registry.deferred_servers.empty() ||
         !registry.deferred_evacuations.empty();
}

bool ApplyDeferredChanges(Registry& registry, TimePoint now) {
  const auto take_due = [now](auto& deferred) {
    std::vector<typename std::decay_t<decltype(deferred)>::mapped_type> due;
    for (const auto& [key, change] : deferred) {
      if (now >= change.applies_at) due.push_back(change);
    }
    std::erase_if(deferred, [now](const auto& item) {
      return now >= item.second.applies_at;
    });
    return due;
  };
  const auto servers = take_due(registry.deferred_servers);
  const auto evacuations = take_due(registry.deferred_evacuations);
  if (servers.empty() && evacuations.empty()) return false;
  // A later change would have ended the wait.
  for (ServerChange change : servers) {
    ServerRecord& record = registry.servers[change.name];
    change.revision = std::max(change.revision, record.revision);
    SetServer(registry, record, change, {}, now);
  }
  for (EvacuationChange change : evacuations) {
    EvacuationRecord& record = registry.evacuations[change.domain];
    change.revision = std::max(change.revision, record.revision);
    SetEvacuation(record, change, now);
  }
  registry.digest = ComputeFactsDigest(registry);
  return true;
}

void PruneTombstones(Registry& registry, TimePoint now) {
  const auto expired = [now](const auto& item) {
    return item.second.removed &&
           now - item.second.received_at > kTombstoneLifetime;
  };
  for (const auto& [name, record] : registry.servers) {
    if (!expired(std::pair(name, record))) continue;
    RaiseHorizon(registry, record.revision);
  }
  for (const auto& [address, record] : registry.routes) {
    if (!expired(std::pair(address, record))) continue;
    RaiseHorizon(registry, record.revision);
  }
  for (const auto& [domain, record] : registry.evacuations) {
    if (!expired(std::pair(domain, record))) continue;
    RaiseHorizon(registry, record.revision);
  }
  if (now - registry.era_began_at > kTombstoneLifetime) {
    registry.past_spans.clear();
  }
  std::erase_if(registry.servers, expired);
  std::erase_if(registry.routes, expired);
  std::erase_if(registry.evacuations, expired);
  std::erase_if(registry.retired_marks, [now](const RetiredMark& retired) {
    return now - retired.retired_at > kTombstoneLifetime;
  });
}

}  // namespace knapweedlift
