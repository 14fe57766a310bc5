#include "lab/marks/sim_router.h"

#include "drivers/clock.h"
#include "drivers/http.h"

namespace knapweedlift::lab {
namespace {

constexpr Duration kProbePeriod{250};
constexpr Duration kProbeTimeout{200};
// A VM leaves the rotation after this many failed probes in a row.
constexpr int kMaxFailedProbes = 2;
constexpr uint64_t kRouterSeed = 0x80072;
constexpr unsigned kHttpOk = 200;

}  // namespace

SimRouter::SimRouter(const std::vector<RoutedVm>& vms) {
  for (const RoutedVm& vm : vms) {
    vms_.push_back(std::make_unique<ProbedVm>());
    vms_.back()->vm = vm;
  }
  thread_ = std::thread([this] { ProbeLoop(); });
}

SimRouter::~SimRouter() {
  stopping_ = true;
  thread_.join();
}

void SimRouter::ProbeLoop() {
  Reactor reactor;
  while (!stopping_) {
    for (const auto& probed_vm : vms_) {
      const auto response =
          HttpCall(reactor, probed_vm->vm.ready,
                   {.method = "GET", .target = "/"}, Now() + kProbeTimeout);
      const bool healthy = response.ok() && response->status == kHttpOk;
      probed_vm->failed_probes = healthy ? 0 : probed_vm->failed_probes + 1;
    }
    std::this_thread::sleep_for(kProbePeriod);
  }
}

std::optional<Endpoint> SimRouter::SelectVm(const std::string& domain,
                                            const FlowKey& key) const {
  std::vector<const RoutedVm*> all;
  std::vector<const RoutedVm*> rotation;
  std::vector<const RoutedVm*> other_domains;
  for (const auto& probed_vm : vms_) {
    const bool in_rotation = probed_vm->failed_probes < kMaxFailedProbes;
    if (probed_vm->vm.domain != domain) {
      if (in_rotation) other_domains.push_back(&probed_vm->vm);
      continue;
    }
    all.push_back(&probed_vm->vm);
    if (in_rotation) rotation.push_back(&probed_vm->vm);
  }
  const std::vector<const RoutedVm*>* candidates = &rotation;
  if (rotation.empty()) {
    candidates = &other_domains;
  } else if (2 * rotation.size() < all.size()) {
    candidates = &all;
  }
  if (candidates->empty()) return {};
  return (*candidates)[Fingerprint(key, kRouterSeed) % candidates->size()]
      ->data;
}

size_t SimRouter::ready_vms() const {
  size_t count = 0;
  for (const auto& probed_vm : vms_) {
    count += probed_vm->failed_probes < kMaxFailedProbes ? 1 : 0;
  }
  return count;
}

}  // namespace knapweedlift::lab
