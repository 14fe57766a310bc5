#ifndef KNAPWEEDLIFT_CORE_PLACEMENT_LOAD_ESTIMATE_H_
#define KNAPWEEDLIFT_CORE_PLACEMENT_LOAD_ESTIMATE_H_

#include <map>
#include <string>
#include <vector>

#include "core/placement/load.h"
#include "core/placement/mark_view.h"

namespace knapweedlift {

// How busy a flow keeps a server, by service: moving averages of the share of
// flows whose callers wait.
struct LoadEstimate {
  std::map<std::string, double> activity;

  auto operator<=>(const LoadEstimate&) const = default;
};

// Renews the live loads of the view's servers from this VM's flows and from
// what other VMs reported: flows now waiting, and the requests that the other
// flows will bring. Servers of other failure domains count as busy as their
// domain. `peers` is the number of other VMs in the failure domain. Returns the
// domain's own load, by service.
std::vector<DomainLoad> UpdateLoadEstimate(LoadEstimate& estimate,
                                           const MarkView& view,
                                           const std::vector<ServerLoad>& own,
                                           const LoadReports& reports,
                                           size_t peers, TimePoint now);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_PLACEMENT_LOAD_ESTIMATE_H_
