#ifndef KNAPWEEDLIFT_CORE_POLICY_HOMES_H_
#define KNAPWEEDLIFT_CORE_POLICY_HOMES_H_

#include <cstdint>
#include <span>

#include "core/ids.h"

namespace knapweedlift {

// The two VMs that remember a flow of an ambiguous bucket. `second` is kNoVm
// where only one VM is alive.
struct Homes {
  VmId first = kNoVm;
  VmId second = kNoVm;

  bool operator==(const Homes&) const = default;
};

// Rendezvous hashing of a flow over the VMs. Removing a VM changes the homes of
// its own flows only.
Homes HomesOf(uint64_t fingerprint, std::span<const VmId> vms);

inline bool IsHome(const Homes& homes, VmId vm) {
  return homes.first == vm || homes.second == vm;
}

// The VM of `vms` that makes generations for a service; kNoVm where none.
VmId CoordinatorOf(uint32_t service, std::span<const VmId> vms);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_POLICY_HOMES_H_
