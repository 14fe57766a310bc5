#ifndef KNAPWEEDLIFT_CORE_FLEET_WATCH_DUTY_H_
#define KNAPWEEDLIFT_CORE_FLEET_WATCH_DUTY_H_

#include <compare>
#include <cstdint>
#include <tuple>

#include "core/fleet/fleet.h"

// Which VM watches the platform for the others. The watcher holds a lease; the
// oldest VM takes it first.
namespace knapweedlift {

inline constexpr Duration kWatchLeaseRenewalPeriod{500};
// Two renewals may be lost.
inline constexpr Duration kWatchLeaseDuration{1'250};
// How much later the next VM takes an ended lease over: the first ones with
// time to see each other's lease, those behind them quickly one after the
// other.
inline constexpr Duration kTakeoverStagger{150};
inline constexpr size_t kWideStaggerRanks = 4;
inline constexpr Duration kNarrowTakeoverStagger{10};
inline constexpr Duration kMaxTakeoverDelay{1'200};

// Orders VMs from the oldest to the youngest.
using StartOrder = std::tuple<uint64_t, VmId>;
StartOrder StartOrderOf(const Member& member);
StartOrder OwnStartOrder(const FleetState& state);

// True where this VM is to watch the platform: it is the oldest of the fleet,
// or no other VM has a lease. A watcher goes on until an older one has a lease.
bool ShouldWatch(const FleetState& state, TimePoint now);

// True where a change that the platform published would be known here by now.
bool FactsAreFresh(const FleetState& state, TimePoint now);

// A VM holds the lease until then. A younger watcher yields.
void RecordWatchLease(FleetState& state, VmId watcher, TimePoint until);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_FLEET_WATCH_DUTY_H_
