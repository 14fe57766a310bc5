#ifndef KNAPWEEDLIFT_CORE_PLACEMENT_LOAD_ESTIMATE_H_
#define KNAPWEEDLIFT_CORE_PLACEMENT_LOAD_ESTIMATE_H_

#include <map>
#include <string>
#include <vector>

#include "core/placement/load.h"
#include "core/placement/mark_view.h"

namespace knapweedlift {

// Activity of flows by service: the moving average of the share of flows whose
// caller awaits a response.
struct LoadEstimate {
  std::map<std::string, double> activity;

  auto operator<=>(const LoadEstimate&) const = default;
};

// Refreshes the live loads of the view's servers from the flows of this VM and
// the reports of other VMs. A live load is the number of waiting callers plus
// the requests that the flows are expected to send. A server of another failure
// domain also carries its share of that domain's load. `peers` is the number of
// other VMs in the failure domain. Returns the load of the VM's own failure
// domain by service.
std::vector<DomainLoad> UpdateLoadEstimate(LoadEstimate& estimate,
                                           const MarkView& view,
                                           const std::vector<ServerLoad>& own,
                                           const LoadReports& reports,
                                           size_t peers, TimePoint now);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_PLACEMENT_LOAD_ESTIMATE_H_
