#ifndef KNAPWEEDLIFT_CORE_FLEET_RELAY_TREE_H_
#define KNAPWEEDLIFT_CORE_FLEET_RELAY_TREE_H_

#include <cstddef>
#include <vector>

#include "core/ids.h"

namespace knapweedlift {

// Number of children of a VM in the relay tree.
inline constexpr size_t kRelayFanout = 8;

// The VMs that `self` relays a notice of `root` to: its children in the relay
// tree. `vms` holds the VMs of the failure domain in ascending order. While VMs
// disagree on the list, some of them may get a notice twice or not at all;
// gossip repairs the latter.
std::vector<VmId> RelayTargets(const std::vector<VmId>& vms, VmId root,
                               VmId self);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_FLEET_RELAY_TREE_H_
