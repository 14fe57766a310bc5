#ifndef KNAPWEEDLIFT_LAB_PLACEMENT_SIMULATION_H_
#define KNAPWEEDLIFT_LAB_PLACEMENT_SIMULATION_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace knapweedlift::lab {

// How new flows are placed.
enum class PlacementStrategy : uint8_t {
  // core/placement with what VMs tell each other.
  kLoadAware,
  // The same rule with the true load of each server at each moment.
  kLoadAwareOracle,
  // Inside the failure domain alone, by hash of flow and server.
  kRendezvous,
  // Inside the failure domain alone, each VM in turn by itself.
  kRoundRobin,
  // Inside the failure domain alone, by the flows that the VM itself placed.
  kLeastFlows,
  // The better of two servers, by the flows that the VM itself placed.
  kTwoChoices,
};

// One failure domain of the played deployment.
struct PlacementDomain {
  int vms = 0;
  int servers = 0;
  double requests_per_second = 0;

  auto operator<=>(const PlacementDomain&) const = default;
};

// What is played. Times are milliseconds from the start.
struct PlacementScenario {
  std::string name;
  std::vector<PlacementDomain> domains;
  double duration_ms = 20'000;
  // All VMs restart and all flows are opened anew; 0 for never.
  double restart_vms_at_ms = 0;
  // Every second server is replaced by a cold one; 0 for never.
  double replace_servers_at_ms = 0;
  // More requests, times `burst_factor`, for `burst_for_ms`.
  double burst_start_ms = 0;
  double burst_duration_ms = 0;
  double burst_factor = 1;

  auto operator<=>(const PlacementScenario&) const = default;
};

struct PlacementResult {
  uint64_t requests = 0;
  // Answered within the aim, later, and not at all.
  uint64_t on_time = 0;
  uint64_t late = 0;
  uint64_t failed = 0;
  // Answers "not run" of servers with a full queue; callers try again.
  uint64_t rejections = 0;
  double p99_ms = 0;
  double peak_to_mean_ratio = 0;
  // Share of the requests that left their failure domain.
  double cross_domain_share = 0;

  auto operator<=>(const PlacementResult&) const = default;
};

// Plays the scenario without a network: callers with flows that last for many
// requests, servers with slots and a short queue, VMs that hear of each other's
// load late. The same seed gives the same result.
PlacementResult SimulatePlacement(const PlacementScenario& scenario,
                                  PlacementStrategy strategy, uint64_t seed);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_PLACEMENT_SIMULATION_H_
