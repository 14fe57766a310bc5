#include <algorithm>
#include <iterator>
#include <optional>
#include <set>

#include "core/registry/registry.h"

// What a registry tells its peers.
namespace knapweedlift {
namespace {

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

}  // namespace

bool HasChangesSince(const std::vector<RevisionSpan>& past_spans,
                     Revision horizon, Revision after) {
  return after >= horizon || std::any_of(past_spans.begin(), past_spans.end(),
                                         [after](const RevisionSpan& span) {
                                           return Includes(span, after);
                                         });
}

bool NeedsSnapshot(const Registry& registry, Revision after) {
  return after == 0 ||
         !HasChangesSince(registry.past_spans, registry.horizon, after) ||
         !ConfigInForceAt(registry, after).has_value();
}

FactDelta DeltaSince(const Registry& registry, Revision after) {
  FactDelta delta{.after = after,
                  .as_of = registry.as_of,
                  .is_snapshot = NeedsSnapshot(registry, after)};
  const auto is_included = [&](Revision revision) {
    return delta.is_snapshot || revision > after;
  };
  if (!delta.is_snapshot && after.era != registry.as_of.era) {
    delta.spans = registry.past_spans;
    delta.spans.push_back({.first = registry.horizon, .last = registry.as_of});
  }
  // A snapshot gives records that are older than the era its first revision,
  // so that they replace what the receiver knows from before.
  const auto sent_revision = [&](Revision revision, bool is_deferred) {
    return delta.is_snapshot && !is_deferred ? RevisionInEra(registry, revision)
                                             : revision;
  };
  for (const auto& [name, record] : registry.servers) {
    if (record.removed) {
      delta.removals_held_until =
          std::max(delta.removals_held_until, record.removal_held_until);
    }
    if (!is_included(record.revision)) continue;
    if (delta.is_snapshot && record.removed) continue;
    delta.servers.push_back(
        {.name = name,
         .revision = sent_revision(record.revision,
                                   registry.deferred_servers.contains(name))});
    if (!record.removed) delta.servers.back().server = record.fact;
  }
  for (const auto& [address, record] : registry.routes) {
    if (!is_included(record.revision)) continue;
    if (delta.is_snapshot && record.removed) continue;
    delta.routes.push_back({.address = address, .revision = record.revision});
    if (!record.removed) delta.routes.back().route = record.fact;
  }
  for (const auto& [domain, record] : registry.evacuations) {
    if (!is_included(record.revision)) continue;
    if (delta.is_snapshot && record.removed) continue;
    const bool is_deferred = registry.deferred_evacuations.contains(domain);
    delta.evacuations.push_back(
        {.domain = domain,
         .revision = sent_revision(record.revision, is_deferred),
         .active = !record.removed});
  }
  // After the facts in force, with which the receiver compares them.
  for (const auto& [name, change] : registry.deferred_servers) {
    if (is_included(change.revision)) delta.servers.push_back(change);
  }
  for (const auto& [domain, change] : registry.deferred_evacuations) {
    if (is_included(change.revision)) delta.evacuations.push_back(change);
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
  const LimitsChange limits{.revision = revision, .limits = config.limits};
  if (!ReplacesConfig(limits, registry.limits)) return;
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
  delta.limits = limits;
}

}  // namespace knapweedlift
