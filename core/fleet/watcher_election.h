#ifndef KNAPWEEDLIFT_CORE_FLEET_WATCHER_ELECTION_H_
#define KNAPWEEDLIFT_CORE_FLEET_WATCHER_ELECTION_H_

#include <compare>
#include <cstdint>
#include <tuple>

#include "core/fleet/fleet.h"

// Election of the VM that watches the platform for the fleet. The watcher holds
// a lease; the longest-running VM has precedence.
namespace knapweedlift {

inline constexpr Duration kWatchLeaseRenewalPeriod{500};
// Tolerates the loss of two renewals in a row.
inline constexpr Duration kWatchLeaseDuration{1'250};
// Stagger between the takeover attempts of successive ranks after a lease
// expires. The first ranks are spaced widely enough to see each other's lease;
// the later ones follow in quick succession.
inline constexpr Duration kTakeoverStagger{150};
inline constexpr size_t kWideStaggerRanks = 4;
inline constexpr Duration kNarrowTakeoverStagger{10};
inline constexpr Duration kMaxTakeoverDelay{1'200};

// Orders VMs by incarnation and id: the longest-running VM comes first.
using StartOrder = std::tuple<uint64_t, VmId>;
StartOrder StartOrderOf(const Member& member);
StartOrder OwnStartOrder(const FleetState& state);

// True if this VM should watch the platform: it is the longest-running VM of
// the fleet, or no other VM holds a lease. A watcher continues until a VM that
// has run for longer holds a lease.
bool ShouldWatch(const FleetState& state, TimePoint now);

// True if changes that the platform publishes reach this VM: it is the watcher
// or the watcher's lease is valid.
bool FactsAreFresh(const FleetState& state, TimePoint now);

// Records that `watcher` holds the lease until `until`. If that VM has run for
// longer, this VM stops watching.
void RecordWatchLease(FleetState& state, VmId watcher, TimePoint until);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_FLEET_WATCHER_ELECTION_H_
