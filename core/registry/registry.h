#ifndef KNAPWEEDLIFT_CORE_REGISTRY_REGISTRY_H_
#define KNAPWEEDLIFT_CORE_REGISTRY_REGISTRY_H_

#include <compare>
#include <map>
#include <string>
#include <vector>

#include "core/registry/facts.h"

namespace knapweedlift {

// A server, or the tombstone of a removed one.
struct ServerRecord {
  // The last known state. It is kept when the server is removed, since its
  // flows may continue.
  ServerFact fact;
  Revision revision = 0;
  bool removed = false;
  // When this VM received the revision.
  TimePoint received_at;
  // If removed: the server may be listed again until then, see RemovalHold.
  TimePoint removal_held_until;

  auto operator<=>(const ServerRecord&) const = default;
};

// A route, or the tombstone of a removed one.
struct RouteRecord {
  RouteFact fact;
  Revision revision = 0;
  bool removed = false;
  TimePoint received_at;

  auto operator<=>(const RouteRecord&) const = default;
};

// An evacuated failure domain, or the tombstone of an ended evacuation.
struct EvacuationRecord {
  Revision revision = 0;
  // The evacuation has ended.
  bool removed = false;
  TimePoint received_at;

  auto operator<=>(const EvacuationRecord&) const = default;
};

// The mark of an earlier incarnation of a server. The flows of that
// incarnation have ended, but the next incarnation may have accepted flows with
// this mark: its SYNs are placed by the entry of the earlier one until a new
// entry arrives.
struct RetiredMark {
  Mark mark = kNoMark;
  TimePoint retired_at;
  // The earlier incarnation.
  std::string server;
  std::string service;
  Endpoint endpoint;

  auto operator<=>(const RetiredMark&) const = default;
};

// A configuration that was in force before the present one.
struct PastConfig {
  Revision revision = 0;
  // No newer configuration was set up to this revision. When the next one was
  // set after it is unknown, and so is whether others came in between.
  Revision known_until = 0;

  auto operator<=>(const PastConfig&) const = default;
};

// Replicated facts of servers, routes and evacuations, complete up to revision
// `as_of`, which never decreases. The facts in force depend on `as_of` alone,
// not on the path or order in which they arrived, except for a few seconds
// after the store's return from an older copy (docs/design/store-eras.md). What
// is known of the past does depend on it: tombstones, retired marks, `horizon`,
// `past_spans` and `past_configs`.
struct Registry {
  Revision as_of = 0;
  // The last revision known to have changed a fact.
  Revision last_change = 0;
  // Compaction limit: changes after an earlier revision than this can only be
  // sent as a snapshot.
  Revision horizon = 0;
  std::map<std::string, ServerRecord> servers;
  std::map<Endpoint, RouteRecord> routes;
  // By failure domain.
  std::map<std::string, EvacuationRecord> evacuations;
  // Grows with each change of a route. Local: not comparable between VMs.
  uint64_t routes_version = 0;
  // Its revision is that of the configuration, to which the routes belong.
  LimitsChange limits;
  // In ascending order, from the horizon on.
  std::vector<PastConfig> past_configs;
  std::vector<RetiredMark> retired_marks;
  // Of the facts in force.
  FactsDigest digest = kNoDigest;

  // Spans of earlier eras from which single changes lead to the present facts,
  // in ascending order.
  std::vector<RevisionSpan> past_spans;
  // When this VM learned of the present era, and its revision then; nothing if
  // it has known no other one. Records of earlier eras were in force then.
  TimePoint era_began_at;
  Revision era_began_with;
  // What the store's older copy says against what was known before its return.
  // Takes effect at `applies_at` unless the store reports a later change.
  std::map<std::string, ServerChange> deferred_servers;
  std::map<std::string, EvacuationChange> deferred_evacuations;
  // Longest time that the store lists a server after its end.
  Duration max_listing_time{5'000};
  // Running servers whose entries the store has lost have registered again this
  // long after its return.
  Duration reregistration_time{2'500};

  auto operator<=>(const Registry&) const = default;
};

// Retention of tombstones and retired marks: the longest lifetime of a flow.
inline constexpr Duration kTombstoneLifetime{60'000};

enum class MergeResult : uint8_t {
  kUnchanged,
  kMerged,
  // The changes between `as_of` and the delta are missing; nothing was merged.
  kGap,
  // The delta's changes of routes start from another configuration than that of
  // the registry; nothing was merged.
  kOtherConfig,
};

// Merges changes from the platform or from a peer. Idempotent: a delta that is
// not newer than the registry changes nothing. Of a snapshot of a newer era
// ChangesOfNewEra are merged.
MergeResult MergeDelta(Registry& registry, const FactDelta& delta,
                       TimePoint now);

// Replaces the facts in force by those of a snapshot of the same era that is
// not older, whatever their revisions. Repairs a registry that has become
// wrong; its tombstones and retired marks are kept.
void ReplaceFacts(Registry& registry, const FactDelta& snapshot, TimePoint now);

// Returns true if `change` is to replace the configuration `present`. The store
// may list an older configuration after it has returned from an older copy, so
// that versions decide between two eras.
bool ReplacesConfig(const LimitsChange& change, const LimitsChange& present);

// True while facts from before the store's return from an older copy are in
// force that the copy contradicts.
bool HasUnsettledFacts(const Registry& registry);

// The revision of a record in the present era: a record of an earlier one was
// in force when the era began.
Revision RevisionInEra(const Registry& registry, Revision revision);

// Puts deferred changes that are due into force. Returns true if there are any.
bool ApplyDeferredChanges(Registry& registry, TimePoint now);

// Returns true if the changes after a revision can only be sent as a snapshot:
// if it is 0, outside the spans from which changes are known, or a revision at
// which the configuration is not known.
bool NeedsSnapshot(const Registry& registry, Revision after);

// True if one of the spans, or that from `horizon` on, includes the revision.
bool HasChangesSince(const std::vector<RevisionSpan>& past_spans,
                     Revision horizon, Revision after);

// The changes from revision `after` to `as_of`; a snapshot if NeedsSnapshot.
FactDelta DeltaSince(const Registry& registry, Revision after);

// Adds to `delta` the changes of routes and limits that lead to `config`, which
// the operator set at `revision`. Unchanged routes are left out unless the
// delta is a snapshot.
void AddConfigChanges(const Registry& registry, const ConfigFact& config,
                      Revision revision, FactDelta& delta);

// Removes tombstones and retired marks older than kTombstoneLifetime, and
// raises the horizon accordingly.
void PruneTombstones(Registry& registry, TimePoint now);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_REGISTRY_REGISTRY_H_
