#include "core/policy/homes.h"

#include "core/flow/flow_key.h"

namespace knapweedlift {
namespace {

// Makes the selection of coordinators independent of the selection of homes.
constexpr uint64_t kCoordinatorSalt = 0x6D616B6572ULL << 24;

}  // namespace

Homes HomesOf(uint64_t fingerprint, std::span<const VmId> vms) {
  Homes homes;
  uint64_t first_hash = 0;
  uint64_t second_hash = 0;
  for (const VmId vm : vms) {
    const uint64_t hash = MixHash(fingerprint, vm);
    if (homes.first == kNoVm || hash > first_hash) {
      homes.second = homes.first;
      second_hash = first_hash;
      homes.first = vm;
      first_hash = hash;
    } else if (homes.second == kNoVm || hash > second_hash) {
      homes.second = vm;
      second_hash = hash;
    }
  }
  return homes;
}

VmId CoordinatorOf(uint32_t service, std::span<const VmId> vms) {
  return HomesOf(kCoordinatorSalt | service, vms).first;
}

}  // namespace knapweedlift
