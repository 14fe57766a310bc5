#include "lab/policy/bench.h"
#include "tests/support/properties.h"

using namespace knapweedlift;
using namespace knapweedlift::lab;

namespace {

constexpr uint64_t kSeeds = 3;

// Simulates a scenario of the scaled-down deployment with each seed. Events
// such as crashes, drains and restarts must not break or stall a flow whose
// server is still available, have two servers process packets of one flow, or
// let a leaving server get new flows after its drain deadline.
void ExpectGuaranteesMet(const std::string& scenario,
                         const std::string& tenant) {
  PolicySimulationOptions options = SmallOptions(tenant);
  for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
    const PolicySimulationResult result =
        RunScenario(scenario, Strategy::kBucketTables, options);
    cr_expect(result.avoidable_broken == 0, "%s seed %lu: %lu broken",
              scenario.c_str(), options.seed, result.avoidable_broken);
    cr_expect(result.duplicate_executions == 0);
    cr_expect(result.late_new_flows == 0);
    cr_expect(result.stalled == 0);
  }
}

}  // namespace

Test(policy, steady) { ExpectGuaranteesMet("steady", "mondego"); }
Test(policy, add) { ExpectGuaranteesMet("add", "mondego"); }
Test(policy, drain) { ExpectGuaranteesMet("drain", "cuna"); }
Test(policy, roll_all_vms) { ExpectGuaranteesMet("roll-all-vms", "mondego"); }
Test(policy, vm_crash) { ExpectGuaranteesMet("vm-crash", "cuna"); }
Test(policy, third_crash) { ExpectGuaranteesMet("third-crash", "mondego"); }
Test(policy, domain_loss) { ExpectGuaranteesMet("domain-loss", "cuna"); }
Test(policy, platform_down) { ExpectGuaranteesMet("platform-down", "mondego"); }
Test(policy, roll_in_drain) { ExpectGuaranteesMet("roll-in-drain", "mondego"); }
Test(policy, pause_wake) { ExpectGuaranteesMet("pause-wake", "cuna"); }
Test(policy, stale_join) { ExpectGuaranteesMet("stale-join", "cuna"); }

Test(policy, same_seed_gives_same_result) {
  PolicySimulationOptions options = SmallOptions("mondego");
  const auto first = RunScenario("drain", Strategy::kBucketTables, options);
  const auto again = RunScenario("drain", Strategy::kBucketTables, options);
  cr_expect(first.packets == again.packets);
  cr_expect(first.relayed == again.relayed);
  cr_expect(first.control_bytes_mean == again.control_bytes_mean);
}

Test(policy, bench_detects_flows_broken_by_plain_hashing) {
  const auto result =
      RunScenario("drain", Strategy::kHash, SmallOptions("mondego"));
  cr_expect(result.avoidable_broken > 100);
}
