#include "core/registry/removal_hold.h"

#include "core/placement/mark_decision.h"
#include "tests/support/facts.h"
#include "tests/support/properties.h"

using namespace knapweedlift;
using namespace knapweedlift::testing;

namespace {

constexpr EntryTiming kTimes{.min_outage = Duration(2'400),
                             .reregistration_time = Duration(2'500)};

TimePoint HeldUntil(TimePoint confirmed_at, TimePoint now) {
  RemovalHold hold{.timing = kTimes};
  UpdateRemovalHold(hold, confirmed_at, now);
  return hold.until;
}

// Server 1 is unlisted, held until 3,000; server 2 stays.
Registry RegistryWithHold(bool draining = false) {
  ServerFact first = Server(1);
  first.draining = draining;
  Registry registry = RegistryOf({first, Server(2)});
  FactDelta delta{.after = 10, .as_of = 11, .removals_held_until = At(3'000)};
  delta.servers.push_back({.name = first.name, .revision = 11});
  MergeDelta(registry, delta, At(500));
  return registry;
}

bool IsPlaceable(const Registry& registry, TimePoint now) {
  ViewBuildState memory;
  const MarkView view = BuildMarkView(registry, {}, "a", now, memory);
  return view.servers[FindServerByMark(view, Server(1).mark)].eligible;
}

}  // namespace

Test(removal_hold, follows_an_outage_that_expires_entries) {
  cr_expect(HeldUntil(At(1'000), At(3'399)) == TimePoint{});
  cr_expect(HeldUntil(At(1'000), At(3'400)) == At(5'900));
  cr_expect(HeldUntil(TimePoint{}, At(90'000)) == TimePoint{},
            "a VM that has just started knows of no outage");
}

Test(removal_hold, outlasts_the_first_answer_after_the_outage) {
  RemovalHold hold{.timing = kTimes};
  UpdateRemovalHold(hold, At(1'000), At(9'000));
  UpdateRemovalHold(hold, At(9'000), At(9'100));
  cr_expect(hold.until == At(11'500));
}

Test(removal_hold, keeps_a_server_in_use_until_it_ends) {
  const Registry registry = RegistryWithHold();
  cr_expect(IsPlaceable(registry, At(2'999)));
  cr_expect(not IsPlaceable(registry, At(3'000)));
  ViewBuildState memory;
  cr_expect(BuildMarkView(registry, {}, "a", At(600), memory).valid_until ==
            At(3'000));
  cr_expect(BuildMarkView(registry, {}, "a", At(3'000), memory).valid_until ==
            TimePoint::max());
}

Test(removal_hold, brings_no_new_flows_to_a_server_that_was_leaving) {
  cr_expect(not IsPlaceable(RegistryWithHold(true), At(600)));
}

Test(removal_hold, ends_where_the_server_is_listed_again) {
  Registry registry = RegistryWithHold();
  FactDelta delta{.after = 11, .as_of = 12};
  ServerFact back = Server(1);
  back.draining = true;
  delta.servers.push_back({.name = back.name, .revision = 12, .server = back});
  MergeDelta(registry, delta, At(700));
  cr_expect(not IsPlaceable(registry, At(800)), "it says that it leaves");
}

Test(removal_hold, ends_where_another_server_has_the_address) {
  Registry registry = RegistryWithHold();
  ServerFact heir = Server(3);
  heir.endpoint = Server(1).endpoint;
  FactDelta delta{.after = 11, .as_of = 12};
  delta.servers.push_back({.name = heir.name, .revision = 12, .server = heir});
  MergeDelta(registry, delta, At(700));
  cr_expect(not IsPlaceable(registry, At(800)));
}
