#ifndef KNAPWEEDLIFT_LAB_POLICY_BENCH_H_
#define KNAPWEEDLIFT_LAB_POLICY_BENCH_H_

#include <string>
#include <vector>

#include "lab/policy/simulation.h"

namespace knapweedlift::lab {

// Returns the names of all scenarios in the order in which they run.
const std::vector<std::string>& ScenarioNames();

// Returns the options that model a tenant's current deployment, or nullopt if
// the tenant is unknown.
std::optional<PolicySimulationOptions> TenantOptions(const std::string& tenant);

// Returns options for a scaled-down deployment of the tenant that runs quickly,
// for tests. An unknown tenant gets the default options, scaled down.
PolicySimulationOptions SmallOptions(const std::string& tenant);

// Simulates one scenario for 60 s of simulated time. The name must be one of
// ScenarioNames().
PolicySimulationResult RunScenario(const std::string& scenario,
                                   Strategy strategy,
                                   const PolicySimulationOptions& options);

struct PolicyBenchOptions {
  // Name of the only scenario to run; empty for all.
  std::string scenario;
  // Name of the only strategy to run; empty for all.
  std::string strategy;
  std::string tenant = "mondego";
  uint64_t first_seed = 1;
  // Number of consecutive seeds to run.
  uint64_t seeds = 1;
  // Number of VMs; 0 for that of the tenant's deployment.
  uint32_t fleet = 0;
  // Runs the scaled-down deployment of SmallOptions().
  bool small = false;
  // Prints JSON objects instead of a table.
  bool json = false;
};

// Runs the bench and prints a line for each scenario, strategy and seed.
// Returns 0 on success, 1 if kBucketTables broke a flow whose server was still
// available, let two servers process packets of one flow, or assigned new flows
// to a leaving server after its drain deadline, and 2 if the tenant or the
// strategy is unknown.
int RunPolicyBench(const PolicyBenchOptions& options);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_POLICY_BENCH_H_
