#ifndef KNAPWEEDLIFT_LAB_PLACEMENT_BENCH_H_
#define KNAPWEEDLIFT_LAB_PLACEMENT_BENCH_H_

#include <string>
#include <vector>

#include "lab/placement/simulation.h"

namespace knapweedlift::lab {

// The scenarios in the order in which they are run.
const std::vector<PlacementScenario>& PlacementScenarios();

// The scenario of that name, or null.
const PlacementScenario* FindPlacementScenario(const std::string& name);

struct PlacementBenchOptions {
  // Empty for all.
  std::string scenario;
  std::string strategy;
  uint64_t first_seed = 1;
  uint64_t seeds = 1;
};

// Prints a line for each scenario and strategy, summed over the seeds. Returns
// 2 where a name is unknown.
int RunPlacementBench(const PlacementBenchOptions& options);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_PLACEMENT_BENCH_H_
