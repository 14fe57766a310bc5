#ifndef KNAPWEEDLIFT_CORE_FLEET_CATCH_UP_H_
#define KNAPWEEDLIFT_CORE_FLEET_CATCH_UP_H_

#include "core/fleet/fleet.h"

// Requests for changes of facts that this VM missed.
namespace knapweedlift {

// Records that a peer has changes that it cannot send as single ones. The
// platform is asked first; a snapshot is requested only if it does not provide
// the changes within kSnapshotRequestDelay.
void RecordLag(FleetState& state, const Endpoint& peer, TimePoint now);

// Requests the changes after this VM's revision from a peer, at most once in
// kFactsRequestInterval.
void RequestFacts(FleetState& state, const Registry& registry,
                  const Endpoint& from, TimePoint now, FleetOutbox& out);

// Requests a snapshot from the last peer that reported changes, if the platform
// has not provided them in time.
void SendDueSnapshotRequest(FleetState& state, const Registry& registry,
                            TimePoint now, FleetOutbox& out);

// A VM that lags behind by an era leaves the platform to the watcher for this
// long: if all VMs read it after its return, it would refuse most of them.
inline constexpr Duration kEraCatchUpDelay{2'000};

// True if the sender's facts are of the receiver's era or a later one. A
// program that does not know eras may have facts of any.
bool KnowsPresentEra(const FactsVersion& version, const Registry& registry);

// Requests facts from a peer whose version is newer.
void CatchUpWith(FleetState& state, Registry& registry,
                 const FactsVersion& version, const Endpoint& from,
                 TimePoint now, FleetOutbox& out);

// Time from a repair to the next one; it doubles each time that the facts turn
// out to have been right.
inline constexpr Duration kMinRepairInterval{30'000};
inline constexpr Duration kMaxRepairInterval{600'000};

// Compares the facts with those of a peer at the same revision. Returns true if
// they differ and this VM is to read the platform's facts anew.
bool CompareFacts(FleetState& state, const Registry& registry,
                  const FactsVersion& version, TimePoint now);

// True if this VM is to read the platform's facts anew. Facts that wait for
// what is written again after the store's return would be lost by it.
bool NeedsRepair(const FleetState& state, const Registry& registry);

// Records that the facts were read anew, and whether they had been wrong.
void RecordRepair(FleetState& state, bool changed, TimePoint now);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_FLEET_CATCH_UP_H_
