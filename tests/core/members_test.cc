#include "core/membership/members.h"

#include "tests/support/properties.h"

using namespace knapweedlift;

namespace {

TimePoint At(int64_t ms) { return TimePoint(Duration(ms)); }

Heartbeat HeartbeatOf(VmId vm, uint32_t count) {
  return {.vm = vm,
          .incarnation = 1,
          .count = count,
          .phase = MemberPhase::kServing};
}

}  // namespace

Test(members, a_vm_is_removed_when_unlisted_and_silent) {
  Members members;
  MergeHeartbeat(members, HeartbeatOf(1, 1), At(0));
  MergeHeartbeat(members, HeartbeatOf(2, 1), At(0));
  ApplyPlatformList(members, {{.address = {.id = 1}}});
  RemoveExpiredMembers(members, At(1'000));
  cr_expect(members.size() == 2, "an unlisted VM with heartbeats is retained");
  RemoveExpiredMembers(members, At(100'000));
  cr_expect(members.contains(1), "a silent VM that is listed is retained");
  cr_expect(not members.contains(2), "an unlisted and silent VM is removed");
}

Test(members, a_silent_vm_becomes_suspect_then_loses_its_lease) {
  Members members;
  MergeHeartbeat(members, HeartbeatOf(1, 1), At(0));
  cr_expect(ServingVms(members, At(1'999)).size() == 1);
  cr_expect(ServingVms(members, At(2'000)).empty());
  cr_expect(RequiredResponders(members, 9, At(2'499), ResponderScope::kLeased)
                .size() == 1);
  cr_expect(RequiredResponders(members, 9, At(2'500), ResponderScope::kLeased)
                .empty());
  ApplyPlatformList(members, {{.address = {.id = 1}}});
  cr_expect(RequiredResponders(members, 9, At(9'000), ResponderScope::kListed)
                    .size() == 1,
            "a listed VM may be partitioned");
}

Test(members, reordered_and_duplicate_heartbeats_change_nothing) {
  ExpectProperty(
      "heartbeats in any order", [](const std::vector<uint8_t>& counts) {
        Members members;
        int newest = -1;
        for (const uint8_t count : counts) {
          const bool newer =
              MergeHeartbeat(members, HeartbeatOf(1, count), At(count));
          RC_ASSERT(newer == (count > newest));
          newest = std::max<int>(newest, count);
        }
        if (newest >= 0) {
          RC_ASSERT(static_cast<int>(members[1].heartbeat.count) == newest);
        }
      });
}
