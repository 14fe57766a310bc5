#ifndef KNAPWEEDLIFT_CORE_POLICY_VIEW_H_
#define KNAPWEEDLIFT_CORE_POLICY_VIEW_H_

#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/ids.h"
#include "core/sheet/sheet.h"
#include "core/table/bucket_table.h"
#include "core/time.h"

namespace knapweedlift {

// The part of a flow's key that identifies its service.
struct ServiceAddress {
  Endpoint endpoint;
  uint32_t protocol = 0;

  bool operator==(const ServiceAddress&) const = default;

  template <typename H>
  friend H AbslHashValue(H state, const ServiceAddress& address) {
    return H::combine(std::move(state), address.endpoint.address.bytes,
                      address.endpoint.port, address.protocol);
  }
};

// A service as seen by the packet path.
struct ServiceView {
  // Owned by View::sheet.
  const Service* service = nullptr;
  // Null until this VM has a table.
  BucketTablePtr table;
};

// Everything that a decision reads besides the flow table. Immutable once it is
// shared with the packet workers.
struct View {
  VmId self = kNoVm;
  // Failure domain of this VM.
  std::string failure_domain;
  SheetPtr sheet;
  // Indices into `services`.
  absl::flat_hash_map<ServiceAddress, size_t> by_address;
  std::vector<ServiceView> services;
  // VMs that can be homes, in ascending order.
  std::vector<VmId> homes;
  // The homes before a recent change; empty if there was none. New homes do not
  // have the flow entries of these yet.
  std::vector<VmId> former_homes;
  // This VM is isolated from all other failure domains, whose changes it does
  // not know.
  bool isolated = false;
  // VMs that may have newer facts, for packets that this VM cannot decide.
  std::vector<VmId> fallback_vms;
  // Endpoints to which packets are relayed, by VM.
  absl::flat_hash_map<VmId, Endpoint> data_endpoints;
};

// Time of a decision, and whether this VM's facts are confirmed at that time.
struct DecisionTime {
  TimePoint now;
  bool fresh = false;
};

using ViewPtr = std::shared_ptr<const View>;

// Fills `by_address` and `services` from the sheet; tables stay null. Only
// services of the given tenants are included; an empty list includes all.
void IndexServices(View& view, const std::vector<std::string>& tenants);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_POLICY_VIEW_H_
