#include "core/registry/removal_hold.h"

#include "core/placement/mark_decision.h"
#include "tests/support/facts.h"
#include "tests/support/properties.h"

using namespace knapweedlift;
using namespace knapweedlift::testing;

namespace {

constexpr EntryTiming kTiming{.min_outage = Duration(2'400),
                              .reregistration_time = Duration(2'500)};

TimePoint HeldUntil(TimePoint confirmed_at, TimePoint now) {
  RemovalHold hold{.timing = kTiming};
  UpdateRemovalHold(hold, confirmed_at, now);
  return hold.until;
}

// Server 1 is removed with a hold until 3,000; server 2 is listed.
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

Test(removal_hold, starts_after_an_outage_that_expires_entries) {
  cr_expect(HeldUntil(At(1'000), At(3'399)) == TimePoint{});
  cr_expect(HeldUntil(At(1'000), At(3'400)) == At(5'900));
  cr_expect(HeldUntil(TimePoint{}, At(90'000)) == TimePoint{},
            "a VM that has just started cannot detect an outage");
}

Test(removal_hold, persists_after_the_first_response) {
  RemovalHold hold{.timing = kTiming};
  UpdateRemovalHold(hold, At(1'000), At(9'000));
  UpdateRemovalHold(hold, At(9'000), At(9'100));
  cr_expect(hold.until == At(11'500));
}

Test(removal_hold, keeps_a_server_eligible_until_it_expires) {
  const Registry registry = RegistryWithHold();
  cr_expect(IsPlaceable(registry, At(2'999)));
  cr_expect(not IsPlaceable(registry, At(3'000)));
  ViewBuildState memory;
  cr_expect(BuildMarkView(registry, {}, "a", At(600), memory).valid_until ==
            At(3'000));
  cr_expect(BuildMarkView(registry, {}, "a", At(3'000), memory).valid_until ==
            TimePoint::max());
}

Test(removal_hold, gives_no_new_flows_to_a_draining_server) {
  cr_expect(not IsPlaceable(RegistryWithHold(true), At(600)));
}

Test(removal_hold, ends_when_the_server_is_listed_again) {
  Registry registry = RegistryWithHold();
  FactDelta delta{.after = 11, .as_of = 12};
  ServerFact relisted = Server(1);
  relisted.draining = true;
  delta.servers.push_back(
      {.name = relisted.name, .revision = 12, .server = relisted});
  MergeDelta(registry, delta, At(700));
  cr_expect(not IsPlaceable(registry, At(800)),
            "the new entry says that it is draining");
}

Test(removal_hold, ends_when_another_server_takes_the_address) {
  Registry registry = RegistryWithHold();
  ServerFact replacement = Server(3);
  replacement.endpoint = Server(1).endpoint;
  FactDelta delta{.after = 11, .as_of = 12};
  delta.servers.push_back(
      {.name = replacement.name, .revision = 12, .server = replacement});
  MergeDelta(registry, delta, At(700));
  cr_expect(not IsPlaceable(registry, At(800)));
}
