#ifndef KNAPWEEDLIFT_CORE_REGISTRY_REGISTRY_H_
#define KNAPWEEDLIFT_CORE_REGISTRY_REGISTRY_H_

#include <compare>
#include <map>
#include <string>
#include <vector>

#include "core/registry/facts.h"

namespace knapweedlift {

struct ServerRecord {
  // The last state, also of a server that is gone: its flows may go on.
  ServerFact fact;
  Revision revision = 0;
  bool removed = false;
  // When this VM learnt of the revision.
  TimePoint received_at;
  // Where it is gone: until then it may come back, see RemovalHold.
  TimePoint removal_held_until;

  auto operator<=>(const ServerRecord&) const = default;
};

struct RouteRecord {
  RouteFact fact;
  Revision revision = 0;
  bool removed = false;
  TimePoint received_at;

  auto operator<=>(const RouteRecord&) const = default;
};

// The mark of a server's former life. Its flows ended with that life.
struct RetiredMark {
  Mark mark = kNoMark;
  TimePoint retired_at;

  auto operator<=>(const RetiredMark&) const = default;
};

// What a VM knows of servers and routes, complete up to the revision `as_of`.
// A registry never goes back: its content depends on `as_of` alone, whichever
// way the facts came.
struct Registry {
  Revision as_of = 0;
  // The last revision that changed a fact, as far as this VM can tell.
  Revision last_change = 0;
  // Deltas that begin before this revision cannot be told any more.
  Revision horizon = 0;
  std::map<std::string, ServerRecord> servers;
  std::map<Endpoint, RouteRecord> routes;
  // Grows with each change of a route here; it means nothing to other VMs.
  uint64_t routes_version = 0;
  LimitsChange limits;
  std::vector<RetiredMark> retired_marks;

  auto operator<=>(const Registry&) const = default;
};

// Facts of what is gone are kept this long: as long as flows live, at most.
inline constexpr Duration kTombstoneLifetime{60'000};

enum class MergeResult : uint8_t {
  kUnchanged,
  kMerged,
  // Changes between `as_of` and the delta are missing; nothing was merged.
  kGap,
};

// Takes changes from the platform or from a peer.
MergeResult MergeDelta(Registry& registry, const FactDelta& delta,
                       TimePoint now);

// The changes that lead from `after` to the registry; everything where they
// cannot be told any more.
FactDelta DeltaSince(const Registry& registry, Revision after);

// The changes of routes and limits that lead to `config`, which the operator
// set at `revision`, added to `delta`. Routes that stay alike are not named.
void AddConfigChanges(const Registry& registry, const ConfigFact& config,
                      Revision revision, FactDelta& delta);

// Forgets what has been gone for long.
void PruneTombstones(Registry& registry, TimePoint now);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_REGISTRY_REGISTRY_H_
