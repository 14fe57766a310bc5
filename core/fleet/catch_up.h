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

// Requests facts from a peer whose version is newer.
void CatchUpWith(FleetState& state, Registry& registry,
                 const FactsVersion& version, const Endpoint& from,
                 TimePoint now, FleetOutbox& out);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_FLEET_CATCH_UP_H_
