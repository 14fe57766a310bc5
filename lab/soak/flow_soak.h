#ifndef KNAPWEEDLIFT_LAB_SOAK_FLOW_SOAK_H_
#define KNAPWEEDLIFT_LAB_SOAK_FLOW_SOAK_H_

#include <compare>
#include <cstdint>
#include <string>

namespace knapweedlift::lab {

struct FlowSoakOptions {
  // The program that each VM runs.
  std::string binary;
  // Directory for settings, logs and records; created if it does not exist.
  std::string directory;
  uint64_t first_seed = 1;
  uint32_t seeds = 1;
  uint32_t vms = 6;
  uint32_t rounds = 5;

  auto operator<=>(const FlowSoakOptions&) const = default;
};

// Plays seeded faults of backend servers and stops of VMs, which run as
// processes of their own, and checks what happens to open flows. Prints one
// line of JSON for each seed, and keeps the schedule, the flows and the
// daemons' logs in the directory. Returns the exit code: 1 if a rule was
// broken, 2 if the soak cannot start.
int RunFlowSoak(const FlowSoakOptions& options);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_SOAK_FLOW_SOAK_H_
