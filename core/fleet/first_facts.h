#ifndef KNAPWEEDLIFT_CORE_FLEET_FIRST_FACTS_H_
#define KNAPWEEDLIFT_CORE_FLEET_FIRST_FACTS_H_

#include "core/fleet/fleet.h"
#include "core/registry/fact_source.h"

// How a VM without facts gets its first ones, and how snapshots are shared out.
// It requests a snapshot from a seed. A VM with confirmed facts sends one or
// refers it to a peer of its own failure domain. If the whole fleet starts, the
// seeds and a few VMs that they choose read the platform; the others wait for a
// snapshot in a tree whose inner VMs serve a bounded number of others each.
// Thus neither the platform's load nor that of a peer grows with the fleet.
namespace knapweedlift {

// The first request counts as lost after twice this time, and each further one
// after twice as long as the one before.
inline constexpr Duration kFirstFactsRequestTimeout{25};
inline constexpr size_t kMaxUnansweredFactsRequests = 3;
// A VM without any reply for this time reads the platform's first page: the
// seeds may start later than it does.
inline constexpr Duration kFirstPageDelay{20};
// Referrals that a starting VM follows before it reads the platform itself.
inline constexpr size_t kMaxFactsReferrals = 8;
// Spreads the reads of VMs that reach no seed.
inline constexpr Duration kPlatformReadSpread{100};
// A VM that waits for a peer's snapshot reads the platform itself after this
// time and a random part of the spread.
inline constexpr Duration kSnapshotWait{1'500};
inline constexpr Duration kSnapshotWaitSpread{1'000};
// VMs that a starting seed lets read the platform beside itself.
inline constexpr size_t kMaxGrantedPlatformReads = 5;
// VMs that wait for a snapshot of this VM; further ones are referred to them.
inline constexpr size_t kMaxWaitingVms = 4;
// Snapshots that a VM sends at a time. More would delay each of them on a slow
// link.
inline constexpr size_t kMaxSnapshotStreams = 4;
// Older facts are not given to a starting VM, which then reads the platform.
inline constexpr Duration kMaxFirstFactsAge{1'500};

// Prepares the first request of a VM that starts at `now`. Seeds and VMs
// without seeds read the platform at once.
void StartFirstFacts(FleetState& state, TimePoint now);

// Sends the next request for a snapshot if this VM has no facts and a request
// is due.
void RequestFirstFacts(FleetState& state, const Registry& registry,
                       TimePoint now, FleetOutbox& out);

// Number of pages that a VM without facts should read of the platform now. A VM
// that no seed has answered reads one page; that is all of a small platform.
// `first_page_read` is true if it has read that page and more follow.
size_t PagesToRead(const FleetState& state, bool first_page_read,
                   TimePoint now);

// Sends `requester` a snapshot, lets it wait for one, or refers it to another
// VM or to the platform.
void HandleSnapshotRequest(FleetState& state, const Registry& registry,
                           const VmAddress& requester,
                           const FactsRequest& request, TimePoint now,
                           FleetOutbox& out);

// Follows the reply of the VM at `from` to a snapshot request.
void HandleReferral(FleetState& state, const Registry& registry,
                    const Endpoint& from, const FactsReferral& referral,
                    TimePoint now, FleetOutbox& out);

// Sends snapshots to waiting VMs, as far as kMaxSnapshotStreams allows. If this
// VM's facts are not confirmed, VMs that want confirmed ones are told to read
// the platform.
void SendWaitingSnapshots(FleetState& state, const Registry& registry,
                          TimePoint now, FleetOutbox& out);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_FLEET_FIRST_FACTS_H_
