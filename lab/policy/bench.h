#ifndef KNAPWEEDLIFT_LAB_POLICY_BENCH_H_
#define KNAPWEEDLIFT_LAB_POLICY_BENCH_H_

#include <string>
#include <vector>

#include "lab/policy/simulation.h"

namespace knapweedlift::lab {

// Names of the scenarios in the order in which they are run.
const std::vector<std::string>& ScenarioNames();

// Sizes of a tenant's deployment today; nothing where the name is unknown.
std::optional<PolicySimulationOptions> TenantOptions(const std::string& tenant);

// A deployment of the same shape that is quick to run, for tests.
PolicySimulationOptions SmallOptions(const std::string& tenant);

// Runs one scenario; the name must be one of ScenarioNames().
PolicySimulationResult RunScenario(const std::string& scenario,
                                   Strategy strategy,
                                   const PolicySimulationOptions& options);

struct PolicyBenchOptions {
  // Empty for all.
  std::string scenario;
  std::string strategy;
  std::string tenant = "mondego";
  uint64_t first_seed = 1;
  uint64_t seeds = 1;
  // VMs of the fleet; 0 for the tenant's number.
  uint32_t fleet = 0;
  bool small = false;
  bool json = false;
};

// Prints a line for each scenario, strategy and seed. Returns 1 where the
// project's own strategy broke a flow that it could have kept, or a promise.
int RunPolicyBench(const PolicyBenchOptions& options);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_POLICY_BENCH_H_
