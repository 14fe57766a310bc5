#include "core/registry/deferred_changes.h"

#include <algorithm>
#include <map>
#include <string>
#include <type_traits>

#include "core/registry/new_era.h"

namespace knapweedlift {
namespace {

bool HaveSameOutcome(const ServerChange& a, const ServerChange& b) {
  if (!a.server.has_value() || !b.server.has_value()) {
    return a.server.has_value() == b.server.has_value();
  }
  return IsSameFact(*a.server, *b.server);
}

bool HaveSameOutcome(const EvacuationChange& a, const EvacuationChange& b) {
  return a.active == b.active;
}

template <typename Change>
bool Defer(const Registry& registry, std::map<std::string, Change>& deferred,
           const std::string& key, const Change& change, bool is_snapshot,
           TimePoint now) {
  const auto found = deferred.find(key);
  if (found != deferred.end()) {
    const bool is_known =
        change.revision == found->second.revision ||
        (is_snapshot && HaveSameOutcome(change, found->second));
    if (is_known) {
      found->second.revision =
          std::max(found->second.revision, change.revision);
      return true;
    }
    if (change.revision > found->second.revision) deferred.erase(found);
  }
  if (change.applies_at <= now || IsInForce(registry, change)) return false;
  deferred.try_emplace(key, change);
  return true;
}

// What the store says of each key in a snapshot. What a peer has deferred is
// that, and not the peer's facts in force.
template <typename Change>
std::map<std::string, Change> StatementsOf(const std::vector<Change>& changes,
                                           std::string Change::*key,
                                           TimePoint now) {
  std::map<std::string, Change> statements;
  for (const Change& change : changes) {
    if (change.applies_at > now) {
      statements.insert_or_assign(change.*key, change);
    } else {
      statements.try_emplace(change.*key, change);
    }
  }
  return statements;
}

}  // namespace

bool IsInForce(const Registry& registry, const ServerChange& change) {
  const auto found = registry.servers.find(change.name);
  const bool listed = found != registry.servers.end() && !found->second.removed;
  if (!change.server.has_value()) return !listed;
  return listed && IsSameFact(found->second.fact, *change.server);
}

bool IsInForce(const Registry& registry, const EvacuationChange& change) {
  const auto found = registry.evacuations.find(change.domain);
  const bool active =
      found != registry.evacuations.end() && !found->second.removed;
  return active == change.active;
}

bool DeferChange(Registry& registry, const ServerChange& change,
                 bool is_snapshot, TimePoint now) {
  return Defer(registry, registry.deferred_servers, change.name, change,
               is_snapshot, now);
}

bool DeferChange(Registry& registry, const EvacuationChange& change,
                 bool is_snapshot, TimePoint now) {
  return Defer(registry, registry.deferred_evacuations, change.domain, change,
               is_snapshot, now);
}

void DropContradictedChanges(Registry& registry, const FactDelta& snapshot,
                             TimePoint now) {
  const auto drop = [](auto& deferred, const auto& statements) {
    std::erase_if(deferred, [&statements](const auto& item) {
      const auto found = statements.find(item.first);
      // A key that the snapshot lacks is removed.
      const auto statement =
          found == statements.end()
              ? typename std::decay_t<decltype(item.second)>{}
              : found->second;
      return !HaveSameOutcome(item.second, statement);
    });
  };
  drop(registry.deferred_servers,
       StatementsOf(snapshot.servers, &ServerChange::name, now));
  drop(registry.deferred_evacuations,
       StatementsOf(snapshot.evacuations, &EvacuationChange::domain, now));
}

}  // namespace knapweedlift
