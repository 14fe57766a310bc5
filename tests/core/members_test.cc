#include "core/membership/members.h"

#include "tests/support/properties.h"

using namespace knapweedlift;

namespace {

TimePoint At(int64_t ms) { return TimePoint(Duration(ms)); }

Heartbeat Beat(VmId vm, uint32_t count) {
  return {.vm = vm,
          .incarnation = 1,
          .count = count,
          .phase = MemberPhase::kServing};
}

}  // namespace

Test(members, neither_source_alone_removes_a_vm) {
  Members members;
  MergeHeartbeat(members, Beat(1, 1), At(0));
  MergeHeartbeat(members, Beat(2, 1), At(0));
  ApplyPlatformList(members, {{.address = {.id = 1}}});
  RemoveExpiredMembers(members, At(1'000));
  cr_expect(members.size() == 2, "an unlisted VM with heartbeats stays");
  RemoveExpiredMembers(members, At(100'000));
  cr_expect(members.contains(1), "a silent VM that is listed stays");
  cr_expect(not members.contains(2), "an unlisted and silent one goes");
}

Test(members, a_silent_vm_is_first_suspect_then_not_awaited) {
  Members members;
  MergeHeartbeat(members, Beat(1, 1), At(0));
  cr_expect(ServingVms(members, At(1'999)).size() == 1);
  cr_expect(ServingVms(members, At(2'000)).empty());
  cr_expect(RequiredResponders(members, 9, At(2'499), ResponderScope::kLeased)
                .size() == 1);
  cr_expect(RequiredResponders(members, 9, At(2'500), ResponderScope::kLeased)
                .empty());
  ApplyPlatformList(members, {{.address = {.id = 1}}});
  cr_expect(RequiredResponders(members, 9, At(9'000), ResponderScope::kListed)
                    .size() == 1,
            "a listed VM may be cut off");
}

Test(members, late_and_doubled_heartbeats_change_nothing) {
  ExpectProperty("any order", [](const std::vector<uint8_t>& counts) {
    Members members;
    int newest = -1;
    for (const uint8_t count : counts) {
      const bool news = MergeHeartbeat(members, Beat(1, count), At(count));
      RC_ASSERT(news == (count > newest));
      newest = std::max<int>(newest, count);
    }
    if (newest >= 0) {
      RC_ASSERT(static_cast<int>(members[1].heartbeat.count) == newest);
    }
  });
}
