#ifndef KNAPWEEDLIFT_LAB_PLACEMENT_SIMULATION_H_
#define KNAPWEEDLIFT_LAB_PLACEMENT_SIMULATION_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace knapweedlift::lab {

// Strategies for the placement of new flows.
enum class PlacementStrategy : uint8_t {
  // The placement of the core, with the load that VMs report to each other.
  kLoadAware,
  // The same, with the current load of each server known exactly.
  kLoadAwareOracle,
  // Rendezvous hashing over the servers of the VM's failure domain.
  kRendezvous,
  // Round robin over the servers of the failure domain, separately in each VM.
  kRoundRobin,
  // The server of the failure domain with the fewest flows of this VM.
  kLeastFlows,
  // Two random servers of the failure domain, of which the one with fewer flows
  // of this VM is chosen.
  kTwoChoices,
};

// A failure domain of the simulated deployment.
struct PlacementDomain {
  int vms = 0;
  int servers = 0;
  double requests_per_second = 0;

  auto operator<=>(const PlacementDomain&) const = default;
};

// A simulated deployment and its events. Times are milliseconds from the start.
struct PlacementScenario {
  std::string name;
  std::vector<PlacementDomain> domains;
  double duration_ms = 20'000;
  // All VMs restart, and callers reopen their flows; 0 for never.
  double restart_vms_at_ms = 0;
  // Every other server is replaced by one that has to warm up; 0 for never.
  double replace_servers_at_ms = 0;
  // Period in which the request rates are multiplied by `burst_factor`.
  double burst_start_ms = 0;
  double burst_duration_ms = 0;
  double burst_factor = 1;

  auto operator<=>(const PlacementScenario&) const = default;
};

// Measurements of a simulation run.
struct PlacementResult {
  uint64_t requests = 0;
  // Requests answered within the latency target of 150 ms, within the deadline
  // of 1 s, and later or not at all.
  uint64_t on_time = 0;
  uint64_t late = 0;
  uint64_t failed = 0;
  // Attempts that a server with a full queue rejected. The caller retries twice
  // before the request counts as failed.
  uint64_t rejections = 0;
  // 99th percentile of the latency of answered requests.
  double p99_ms = 0;
  // Requests completed by the busiest server relative to the mean of all.
  double peak_to_mean_ratio = 0;
  // Share of attempts that reached a server in another failure domain.
  double cross_domain_share = 0;

  auto operator<=>(const PlacementResult&) const = default;
};

// Runs a discrete-event simulation of the scenario, without a network. Callers
// send many requests over each flow, servers have slots and a short queue, and
// VMs learn each other's load with a delay. The result is deterministic for a
// given seed.
PlacementResult SimulatePlacement(const PlacementScenario& scenario,
                                  PlacementStrategy strategy, uint64_t seed);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_PLACEMENT_SIMULATION_H_
