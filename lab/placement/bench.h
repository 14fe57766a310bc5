#ifndef KNAPWEEDLIFT_LAB_PLACEMENT_BENCH_H_
#define KNAPWEEDLIFT_LAB_PLACEMENT_BENCH_H_

#include <string>
#include <vector>

#include "lab/placement/simulation.h"

namespace knapweedlift::lab {

// Returns all scenarios in the order in which they run.
const std::vector<PlacementScenario>& PlacementScenarios();

// Returns the scenario of that name, or null.
const PlacementScenario* FindPlacementScenario(const std::string& name);

struct PlacementBenchOptions {
  // Name of the only scenario to run; empty for all.
  std::string scenario;
  // Name of the only strategy to run; empty for all.
  std::string strategy;
  uint64_t first_seed = 1;
  // Number of consecutive seeds to run.
  uint64_t seeds = 1;
};

// Runs the bench and prints a line for each scenario and strategy. Counts are
// summed over the seeds; latency, ratio and share are the maximum of any seed.
// Returns 0 on success, and 2 if no scenario or no strategy has the given name.
int RunPlacementBench(const PlacementBenchOptions& options);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_PLACEMENT_BENCH_H_
