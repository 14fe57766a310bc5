#ifndef KNAPWEEDLIFT_CORE_FLEET_OPENINGS_H_
#define KNAPWEEDLIFT_CORE_FLEET_OPENINGS_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "core/fleet/fleet.h"

// Lets the copies of a SYN that reach different VMs go to one server. A VM
// reports a flow that is still opening shortly after its SYN to the flow's
// keepers, VMs of the failure domain that rendezvous hashing selects. A VM that
// gets a copy whose SYN it has not seen asks them. Flows that open at once,
// which is nearly all, cause no message.
namespace knapweedlift {

// Keepers that a report is sent to: one may leave or restart before the next
// copy of the SYN.
inline constexpr size_t kOpeningKeepers = 2;
// Keepers that are asked. VMs that know different peers disagree about the
// keepers; one more makes up for one VM that only one of them knows.
inline constexpr size_t kAskedKeepers = 3;
// Callers repeat a SYN for 1.4 s.
inline constexpr Duration kKeptOpeningTime{2'000};
// Bounds the memory of a keeper. Further openings are not kept.
inline constexpr size_t kMaxKeptOpenings = 8'192;
// Keeps a notice within one datagram.
inline constexpr size_t kMaxOpeningsPerNotice = 32;

// Keeps an opening, in place of an earlier one of the same flow.
void KeepOpening(OpeningTable& table, const Opening& opening, TimePoint now);

// Returns the opening if this VM keeps it.
std::optional<Opening> FindOpening(const OpeningTable& table,
                                   const OpeningId& id);

// Removes openings that were placed more than kKeptOpeningTime ago.
void ExpireOpenings(OpeningTable& table, TimePoint now);

// The `count` VMs that keep the openings of a flow, this VM possibly among
// them; fewer in a small failure domain.
std::vector<VmId> OpeningKeepers(const FleetState& state, uint64_t flow,
                                 size_t count, TimePoint now);

// Reports openings of this VM to their keepers. This VM keeps them as well, as
// it may be asked.
void SendOpenings(FleetState& state, const std::vector<Opening>& openings,
                  TimePoint now, FleetOutbox& out);

// Replies to a query. If this VM is no keeper of the flow, it forwards the
// query to those that are: the requester may have just started and know few
// VMs.
void HandleOpeningQuery(const FleetState& state, const OpeningQuery& query,
                        TimePoint now, FleetOutbox& out);

// Asks the keepers of an opening other than this VM. Returns their number.
size_t SendOpeningQuery(const FleetState& state, const OpeningId& id,
                        TimePoint now, FleetOutbox& out);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_FLEET_OPENINGS_H_
