#include "lab/policy/bench.h"
#include "tests/support/properties.h"

using namespace knapweedlift;
using namespace knapweedlift::lab;

namespace {

constexpr uint64_t kSeeds = 3;

// Runs a scenario of the small deployment on a few seeds.
void ExpectKept(const std::string& scenario, const std::string& tenant) {
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

Test(policy, steady) { ExpectKept("steady", "mondego"); }
Test(policy, add) { ExpectKept("add", "mondego"); }
Test(policy, drain) { ExpectKept("drain", "cuna"); }
Test(policy, roll_all_vms) { ExpectKept("roll-all-vms", "mondego"); }
Test(policy, vm_crash) { ExpectKept("vm-crash", "cuna"); }
Test(policy, third_crash) { ExpectKept("third-crash", "mondego"); }
Test(policy, domain_loss) { ExpectKept("domain-loss", "cuna"); }
Test(policy, platform_down) { ExpectKept("platform-down", "mondego"); }
Test(policy, roll_in_drain) { ExpectKept("roll-in-drain", "mondego"); }
Test(policy, pause_wake) { ExpectKept("pause-wake", "cuna"); }
Test(policy, stale_join) { ExpectKept("stale-join", "cuna"); }

Test(policy, the_same_seed_gives_the_same_figures) {
  PolicySimulationOptions options = SmallOptions("mondego");
  const auto first = RunScenario("drain", Strategy::kBucketTables, options);
  const auto again = RunScenario("drain", Strategy::kBucketTables, options);
  cr_expect(first.packets == again.packets);
  cr_expect(first.relayed == again.relayed);
  cr_expect(first.control_bytes_mean == again.control_bytes_mean);
}

Test(policy, the_bench_sees_what_a_plain_hash_breaks) {
  const auto result =
      RunScenario("drain", Strategy::kHash, SmallOptions("mondego"));
  cr_expect(result.avoidable_broken > 100);
}
