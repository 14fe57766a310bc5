#ifndef KNAPWEEDLIFT_LAB_MARKS_SIM_ROUTER_H_
#define KNAPWEEDLIFT_LAB_MARKS_SIM_ROUTER_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "core/flow/flow_key.h"
#include "core/sheet/sheet.h"

namespace knapweedlift::lab {

// A VM with the endpoints for its packets and for readiness probes.
struct RoutedVm {
  std::string domain;
  Endpoint data;
  Endpoint ready;

  auto operator<=>(const RoutedVm&) const = default;
};

// Simulates the routers in front of the VMs. They probe the readiness of each
// VM and spread the flows of a failure domain over its VMs in rotation by `hash
// mod count`, so that most flows move to another VM whenever one joins or
// leaves.
class SimRouter {
 public:
  explicit SimRouter(const std::vector<RoutedVm>& vms);
  ~SimRouter();

  // Returns the data endpoint for a packet of a client in `domain`, or nothing
  // if there is no VM. If none of the domain's VMs is in rotation, VMs in
  // rotation in other domains are used; if fewer than half are, all VMs of the
  // domain are.
  std::optional<Endpoint> SelectVm(const std::string& domain,
                                   const FlowKey& key) const;

  // Number of VMs in rotation.
  size_t ready_vms() const;

 private:
  struct ProbedVm {
    RoutedVm vm;
    std::atomic<int> failed_probes{2};
  };

  void ProbeLoop();

  std::vector<std::unique_ptr<ProbedVm>> vms_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_MARKS_SIM_ROUTER_H_
