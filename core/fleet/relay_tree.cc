#include "core/fleet/relay_tree.h"

#include <algorithm>

namespace knapweedlift {

std::vector<VmId> RelayTargets(const std::vector<VmId>& vms, VmId root,
                               VmId self) {
  // An implicit heap: the root first, then the other VMs in ascending order.
  std::vector<VmId> heap = {root};
  for (const VmId vm : vms) {
    if (vm != root) heap.push_back(vm);
  }
  const auto found = std::find(heap.begin(), heap.end(), self);
  if (found == heap.end()) return {};
  const auto position = static_cast<size_t>(found - heap.begin());
  const size_t first = position * kRelayFanout + 1;
  const size_t last = std::min(heap.size(), first + kRelayFanout);
  if (first >= last) return {};
  return {heap.begin() + static_cast<ptrdiff_t>(first),
          heap.begin() + static_cast<ptrdiff_t>(last)};
}

}  // namespace knapweedlift
