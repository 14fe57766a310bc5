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

// The part of a flow's key that names its service.
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

// A service as the packet path sees it.
struct ServiceView {
  // Owned by View::sheet.
  const Service* service = nullptr;
  // Null until this VM has a generation.
  BucketTablePtr table;
};

// Everything that a decision reads besides the flow table. Immutable once
// shared with the workers.
struct View {
  VmId self = kNoVm;
  // This VM's failure domain.
  std::string domain;
  SheetPtr sheet;
  // Indices into `services`.
  absl::flat_hash_map<ServiceAddress, size_t> by_address;
  std::vector<ServiceView> services;
  // VMs that can be homes, ascending.
  std::vector<VmId> homes;
  // The homes before a recent change; empty where there was none. A new home
  // does not know yet what they know.
  std::vector<VmId> former_homes;
  // Cut off from all other failure domains: what they changed is unknown here.
  bool isolated = false;
  // VMs that may know more than this one, for packets that it cannot decide.
  std::vector<VmId> fallback_vms;
  // Where packets are handed to other VMs.
  absl::flat_hash_map<VmId, Endpoint> data_endpoints;
};

// When a decision is made, and whether this VM's facts are confirmed then.
struct DecisionTime {
  TimePoint now;
  bool fresh = false;
};

using ViewPtr = std::shared_ptr<const View>;

// Fills `by_address` and `services` from the sheet; tables stay null. Services
// of tenants that are not in `tenants` are left out, unless that is empty.
void IndexServices(View& view, const std::vector<std::string>& tenants);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_POLICY_VIEW_H_
