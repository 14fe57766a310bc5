#ifndef KNAPWEEDLIFT_CORE_ADMISSION_SERVICE_PRESSURE_H_
#define KNAPWEEDLIFT_CORE_ADMISSION_SERVICE_PRESSURE_H_

#include <optional>
#include <vector>

#include "core/admission/admission.h"
#include "core/placement/mark_view.h"

namespace knapweedlift {

// Returns the waiting callers for each slot of every service, by service index.
// Counts eligible servers that are not suspect, each at most at its capacity,
// since callers pile up on a server that hangs. Nothing for services without
// such servers and for those of which some load is missing: that of all peers,
// or of another domain with servers. `peers` is the number of other VMs in the
// failure domain.
std::vector<std::optional<ServicePressure>> MeasureServicePressure(
    const MarkView& view, const std::vector<ServerLoad>& own,
    const LoadReports& reports, size_t peers);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_ADMISSION_SERVICE_PRESSURE_H_
