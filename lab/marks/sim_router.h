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

struct RoutedVm {
  std::string domain;
  Endpoint data;
  Endpoint ready;

  auto operator<=>(const RoutedVm&) const = default;
};

// The routers in front of the VMs: ask each whether it is ready and spread the
// flows of a failure domain over its VMs in rotation by `hash mod count`, so
// that most flows move whenever a VM comes or goes.
class SimRouter {
 public:
  explicit SimRouter(const std::vector<RoutedVm>& vms);
  ~SimRouter();

  // Where a packet of a caller in `domain` goes; nothing where there is no VM.
  std::optional<Endpoint> SelectVm(const std::string& domain,
                                   const FlowKey& key) const;

  // VMs in rotation.
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
