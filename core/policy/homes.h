#ifndef KNAPWEEDLIFT_CORE_POLICY_HOMES_H_
#define KNAPWEEDLIFT_CORE_POLICY_HOMES_H_

#include <cstdint>
#include <span>

#include "core/ids.h"

namespace knapweedlift {

// The two VMs that keep the flow entries of an ambiguous bucket's flow.
// `second` is kNoVm if only one VM is alive.
struct Homes {
  VmId first = kNoVm;
  VmId second = kNoVm;

  bool operator==(const Homes&) const = default;
};

// Selects the homes of a flow by rendezvous hashing over the VMs. Removing a VM
// changes the homes of its own flows only.
Homes HomesOf(uint64_t fingerprint, std::span<const VmId> vms);

inline bool IsHome(const Homes& homes, VmId vm) {
  return homes.first == vm || homes.second == vm;
}

// Returns the VM of `vms` that coordinates a service; kNoVm if `vms` is empty.
VmId CoordinatorOf(uint32_t service, std::span<const VmId> vms);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_POLICY_HOMES_H_
