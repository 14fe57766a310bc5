#ifndef KNAPWEEDLIFT_CORE_SHEET_VM_LIST_H_
#define KNAPWEEDLIFT_CORE_SHEET_VM_LIST_H_

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core/membership/members.h"

namespace knapweedlift {

// Live and leaving VMs as listed by the platform. The list lags behind the
// actual state of the VMs.
struct VmList {
  uint64_t revision = 0;
  std::vector<ListedVm> vms;

  auto operator<=>(const VmList&) const = default;
};

// Parses the platform's response. On failure the status names the field and the
// error.
absl::StatusOr<VmList> ParseVmList(const std::string& text);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_SHEET_VM_LIST_H_
