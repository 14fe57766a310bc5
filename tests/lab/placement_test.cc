#include "lab/placement/bench.h"
#include "tests/support/properties.h"

using namespace knapweedlift::lab;

namespace {

constexpr uint64_t kSeeds = 3;

PlacementResult Play(const PlacementScenario& scenario,
                     PlacementStrategy strategy) {
  PlacementResult sum;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const PlacementResult one = SimulatePlacement(scenario, strategy, seed);
    sum.requests += one.requests;
    sum.late += one.late;
    sum.failed += one.failed;
    sum.rejections += one.rejections;
    sum.cross_domain_share += one.cross_domain_share / kSeeds;
  }
  return sum;
}

uint64_t NotInAim(const PlacementResult& result) {
  return result.late + result.failed;
}

}  // namespace

Test(placement_bench, callers_are_served_better_than_by_hashing) {
  for (const PlacementScenario& scenario : PlacementScenarios()) {
    const PlacementResult ours = Play(scenario, PlacementStrategy::kLoadAware);
    const PlacementResult hashing =
        Play(scenario, PlacementStrategy::kRendezvous);
    cr_expect(ours.requests == hashing.requests, "the same requests");
    cr_expect(NotInAim(ours) < NotInAim(hashing), "%s: %lu against %lu",
              scenario.name.c_str(), NotInAim(ours), NotInAim(hashing));
    cr_expect(ours.rejections <= hashing.rejections, "%s",
              scenario.name.c_str());
  }
}

Test(placement_bench, flows_leave_their_failure_domain_only_under_load) {
  const auto ours = [](const char* scenario) {
    return Play(*FindPlacementScenario(scenario),
                PlacementStrategy::kLoadAware);
  };
  cr_expect(ours("steady").cross_domain_share < 0.001);
  cr_expect(ours("lopsided").cross_domain_share > 0.01);
}

Test(placement_bench, the_same_seed_gives_the_same_result) {
  const PlacementScenario& herd = *FindPlacementScenario("herd");
  cr_expect(SimulatePlacement(herd, PlacementStrategy::kLoadAware, 7) ==
            SimulatePlacement(herd, PlacementStrategy::kLoadAware, 7));
}
