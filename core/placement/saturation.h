#ifndef KNAPWEEDLIFT_CORE_PLACEMENT_SATURATION_H_
#define KNAPWEEDLIFT_CORE_PLACEMENT_SATURATION_H_

#include <cstddef>

#include "absl/container/flat_hash_map.h"
#include "core/flow/marked_flows.h"
#include "core/placement/mark_view.h"

namespace knapweedlift {

// Expected requests for each slot from which on a server may be full. They
// count a waiting caller and the next request of its flow, so that at three a
// slot about half a caller for each slot queues; full servers have about ten.
inline constexpr double kSaturatedRequestsPerSlot = 3;
// Waiting callers for each slot that also mean saturation. This VM's own
// callers show a burst at once, while load reports are up to half a second old.
inline constexpr double kSaturatedCallersPerSlot = 1.5;
// In smaller failure domains the sum of a VM's own callers is no sign: callers
// of a few servers that end together look like a burst there. Instead, most
// servers must have this many waiting callers of the VM.
inline constexpr size_t kMinVmsToSumOwnCallers = 10;
inline constexpr uint32_t kSaturatedOwnCallers = 2;

// Returns true if the service of a server may have no free slot left: if most
// other servers of the service in the same failure domain may be full, or this
// VM's callers show it. If it has no others there, those of all domains count,
// and if it has none at all, the result is true. The load of the server itself
// is no measure, nor is that of some others, since callers pile up on servers
// that have ended. `traffic` is that of this VM, one of `vms` in its failure
// domain.
bool IsServiceSaturated(const MarkView& view, ServerIndex server,
                        const absl::flat_hash_map<Mark, ServerTraffic>& traffic,
                        size_t vms);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_PLACEMENT_SATURATION_H_
