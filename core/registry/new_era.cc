#include "core/registry/new_era.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace knapweedlift {
namespace {

// The operator writes again what the copy lacks, at a time that is not known.
// The state before the return is kept meanwhile, but not for good: the store
// decides if the operator does not write.
constexpr Duration kOperatorRewriteTime{30'000};

// A removal that is held does not show the end of the server. The next return
// repeats it and extends the hold, as the server may have lost its entry again.
bool HasEnded(const ServerRecord& record, TimePoint now) {
  return record.removed && now >= record.removal_held_until;
}

// Returns true if `copy` shows the server in a state before that of `record`.
bool IsEarlierState(const ServerFact& copy, const ServerRecord& record,
                    TimePoint now) {
  const ServerFact& known = record.fact;
  if (copy.mark != known.mark) return copy.started_at_ms < known.started_at_ms;
  return HasEnded(record, now) || (known.draining && !copy.draining);
}

// A peer's snapshot may contain changes that the peer has deferred. They say
// what the store's copy says, and the peer's facts what was known before.
template <typename Change>
std::map<std::string, Change> DeferredByPeer(const std::vector<Change>& changes,
                                             std::string Change::*key,
                                             TimePoint now) {
  std::map<std::string, Change> deferred;
  for (const Change& change : changes) {
    if (change.applies_at > now) deferred.emplace(change.*key, change);
  }
  return deferred;
}

void AddServerChanges(const Registry& registry, const FactDelta& snapshot,
                      TimePoint now, FactDelta& changes) {
  const auto deferred =
      DeferredByPeer(snapshot.servers, &ServerChange::name, now);
  std::set<std::string> listed;
  for (const ServerChange& change : snapshot.servers) {
    if (change.applies_at > now) continue;
    listed.insert(change.name);
    // The peer knew it before this VM knew its present facts.
    const bool is_outdated =
        deferred.contains(change.name) && change.revision <= registry.as_of;
    if (is_outdated) continue;
    const auto found = registry.servers.find(change.name);
    const bool known =
        found != registry.servers.end() && change.server.has_value();
    if (!known) {
      changes.servers.push_back(change);
      continue;
    }
    const ServerRecord& record = found->second;
    const bool unchanged =
        !record.removed && IsSameFact(record.fact, *change.server);
    if (unchanged) continue;
    ServerChange& added = changes.servers.emplace_back(change);
    if (change.revision <= record.revision) added.revision = snapshot.as_of;
    if (IsEarlierState(*change.server, record, now)) {
      added.applies_at = now + registry.max_listing_time;
    }
  }
  for (const auto& [name, record] : registry.servers) {
    if (HasEnded(record, now) || listed.contains(name)) continue;
    changes.servers.push_back({.name = name, .revision = snapshot.as_of});
  }
  for (const auto& [name, change] : deferred) changes.servers.push_back(change);
}

void AddEvacuationChanges(const Registry& registry, const FactDelta& snapshot,
                          TimePoint now, FactDelta& changes) {
  const TimePoint applies_at = now + kOperatorRewriteTime;
  const auto deferred =
      DeferredByPeer(snapshot.evacuations, &EvacuationChange::domain, now);
  std::set<std::string> listed;
  for (const EvacuationChange& change : snapshot.evacuations) {
    if (change.applies_at > now || !change.active) continue;
    listed.insert(change.domain);
    const bool is_outdated =
        deferred.contains(change.domain) && change.revision <= registry.as_of;
    if (is_outdated) continue;
    const auto found = registry.evacuations.find(change.domain);
    if (found == registry.evacuations.end()) {
      changes.evacuations.push_back(change);
      continue;
    }
    const EvacuationRecord& record = found->second;
    if (!record.removed) continue;
    EvacuationChange& added = changes.evacuations.emplace_back(change);
    if (change.revision <= record.revision) added.revision = snapshot.as_of;
    added.applies_at = applies_at;
  }
  for (const auto& [domain, record] : registry.evacuations) {
    if (record.removed || listed.contains(domain)) continue;
    EvacuationChange& ended = changes.evacuations.emplace_back(
        EvacuationChange{.domain = domain, .revision = snapshot.as_of});
    if (!deferred.contains(domain)) ended.applies_at = applies_at;
  }
  for (const auto& [domain, change] : deferred) {
    changes.evacuations.push_back(change);
  }
}

void AddRouteChanges(const Registry& registry, const FactDelta& snapshot,
                     FactDelta& changes) {
  const bool replaces = snapshot.limits.has_value() &&
                        ReplacesConfig(*snapshot.limits, registry.limits);
  if (!replaces) return;
  changes.limits = snapshot.limits;
  std::set<Endpoint> listed;
  for (const RouteChange& change : snapshot.routes) {
    listed.insert(change.address);
    const auto found = registry.routes.find(change.address);
    const bool unchanged = found != registry.routes.end() &&
                           !found->second.removed &&
                           found->second.fact == change.route;
    if (unchanged) continue;
    changes.routes.push_back(change);
    changes.routes.back().revision = snapshot.as_of;
  }
  for (const auto& [address, record] : registry.routes) {
    if (record.removed || listed.contains(address)) continue;
    changes.routes.push_back({.address = address, .revision = snapshot.as_of});
  }
}

}  // namespace

bool IsSameFact(const ServerFact& a, ServerFact b) {
  b.cold_until = a.cold_until;
  return a == b;
}

FactDelta ChangesOfNewEra(const Registry& registry, const FactDelta& snapshot,
                          TimePoint now) {
  FactDelta changes{
      .after = registry.as_of,
      .as_of = snapshot.as_of,
      .removals_held_until = std::max(snapshot.removals_held_until,
                                      now + registry.reregistration_time),
      .spans = {{.first = registry.horizon, .last = registry.as_of},
                {.first = snapshot.as_of, .last = snapshot.as_of}}};
  AddServerChanges(registry, snapshot, now, changes);
  AddEvacuationChanges(registry, snapshot, now, changes);
  AddRouteChanges(registry, snapshot, changes);
  return changes;
}

}  // namespace knapweedlift
