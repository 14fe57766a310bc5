#include "lab/placement/bench.h"
#include "tests/support/properties.h"

using namespace knapweedlift::lab;

namespace {

constexpr uint64_t kSeeds = 3;

// Returns the sums of the counts and the mean share over all seeds.
PlacementResult SimulateSeeds(const PlacementScenario& scenario,
                              PlacementStrategy strategy) {
  PlacementResult sum;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const PlacementResult result = SimulatePlacement(scenario, strategy, seed);
    sum.requests += result.requests;
    sum.late += result.late;
    sum.failed += result.failed;
    sum.rejections += result.rejections;
    sum.cross_domain_share += result.cross_domain_share / kSeeds;
  }
  return sum;
}

uint64_t LateOrFailed(const PlacementResult& result) {
  return result.late + result.failed;
}

}  // namespace

Test(placement_bench, fewer_late_or_failed_requests_than_with_hashing) {
  for (const PlacementScenario& scenario : PlacementScenarios()) {
    const PlacementResult load_aware =
        SimulateSeeds(scenario, PlacementStrategy::kLoadAware);
    const PlacementResult hashing =
        SimulateSeeds(scenario, PlacementStrategy::kRendezvous);
    cr_expect(load_aware.requests == hashing.requests,
              "%s: the requests differ", scenario.name.c_str());
    cr_expect(LateOrFailed(load_aware) < LateOrFailed(hashing),
              "%s: %lu against %lu", scenario.name.c_str(),
              LateOrFailed(load_aware), LateOrFailed(hashing));
    cr_expect(load_aware.rejections <= hashing.rejections, "%s",
              scenario.name.c_str());
  }
}

Test(placement_bench, flows_leave_their_domain_only_under_load) {
  const auto simulate = [](const char* scenario) {
    return SimulateSeeds(*FindPlacementScenario(scenario),
                         PlacementStrategy::kLoadAware);
  };
  cr_expect(simulate("steady").cross_domain_share < 0.001);
  cr_expect(simulate("lopsided").cross_domain_share > 0.01);
}

Test(placement_bench, same_seed_gives_same_result) {
  const PlacementScenario& herd = *FindPlacementScenario("herd");
  cr_expect(SimulatePlacement(herd, PlacementStrategy::kLoadAware, 7) ==
            SimulatePlacement(herd, PlacementStrategy::kLoadAware, 7));
}
