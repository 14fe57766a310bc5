#ifndef KNAPWEEDLIFT_LAB_PLAN_H_
#define KNAPWEEDLIFT_LAB_PLAN_H_

#include <cstdint>
#include <string>

namespace knapweedlift::lab {

struct PlanOptions {
  // The output directory, created if it does not exist.
  std::string directory;
  // "mondego" or "cuna".
  std::string tenant;
  // Number of load balancer VMs.
  uint32_t vms = 6;

  auto operator<=>(const PlanOptions&) const = default;
};

// Writes the files for a small deployment on loopback, with ports chosen by the
// kernel: the settings of each VM, three successive VM lists (all VMs, VM 1
// crashed, VM 2 shut down), three successive sheets (initial, a server added to
// each service, a server of each service leaving), a sheet of all servers for
// the simulations, and the addresses as shell variables. Returns the exit code:
// 2 if the tenant is unknown. Exits the process with code 1 if no port can be
// bound or a file cannot be written.
int RunPlan(const PlanOptions& options);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_PLAN_H_
