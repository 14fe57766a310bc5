#ifndef KNAPWEEDLIFT_CORE_FLEET_LOAD_NOTICES_H_
#define KNAPWEEDLIFT_CORE_FLEET_LOAD_NOTICES_H_

#include "core/fleet/fleet.h"

namespace knapweedlift {

// Expires the load reports of other VMs, and sends a report of this VM's own
// load to kLoadNoticeFanout of them if one is due.
void SendDueLoadNotice(FleetState& state, TimePoint now, FleetOutbox& out);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_FLEET_LOAD_NOTICES_H_
