#include "core/fleet/relay_tree.h"

#include <deque>
#include <map>
#include <set>

#include "tests/support/properties.h"

using namespace knapweedlift;

Test(relay_tree, reaches_every_vm_once) {
  ExpectProperty("each VM gets one copy", [] {
    const auto numbers = *rc::gen::nonEmpty(
        rc::gen::container<std::set<VmId>>(rc::gen::inRange<VmId>(1, 5'000)));
    const std::vector<VmId> vms(numbers.begin(), numbers.end());
    const VmId root = *rc::gen::elementOf(vms);
    std::map<VmId, int> copies;
    std::deque<VmId> pending = {root};
    while (!pending.empty()) {
      const VmId vm = pending.front();
      pending.pop_front();
      const std::vector<VmId> targets = RelayTargets(vms, root, vm);
      RC_ASSERT(targets.size() <= kRelayFanout);
      for (const VmId target : targets) {
        ++copies[target];
        pending.push_back(target);
      }
    }
    for (const VmId vm : vms) RC_ASSERT(copies[vm] == (vm == root ? 0 : 1));
  });
}

Test(relay_tree, a_vm_outside_the_list_has_no_children) {
  cr_expect(RelayTargets({1, 2, 3}, 1, 9).empty());
}

Test(relay_tree, a_root_outside_the_list_gets_the_first_position) {
  cr_expect(RelayTargets({1, 2, 3}, 9, 9) == std::vector<VmId>({1, 2, 3}));
}
