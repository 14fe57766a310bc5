#ifndef KNAPWEEDLIFT_LAB_SOAK_SOAK_REPORT_H_
#define KNAPWEEDLIFT_LAB_SOAK_SOAK_REPORT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/soak/config_history.h"
#include "lab/soak/config_schedule.h"
#include "lab/soak/evacuation_history.h"

// Results and records of a soak. Times are in milliseconds since `start`.
namespace knapweedlift::lab {

// The number of violations by fault.
nlohmann::json CountViolations(const std::vector<ConfigViolation>& violations);

// The first violations, at most kMaxReportedViolations.
inline constexpr size_t kMaxReportedViolations = 40;
nlohmann::json DescribeViolations(
    const std::vector<ConfigViolation>& violations, TimePoint start);

// The number of evacuations, the first SYNs that reached an evacuated domain
// too late, and the domains that were not used again.
nlohmann::json DescribeEvacuations(const EvacuationHistory& history,
                                   TimePoint start);

// Count, median, 99th percentile and highest of each kind.
nlohmann::json DescribeApplyTimes(const ApplyTimes& times);

// The versions and events of a play.
nlohmann::json DescribePlay(const ConfigHistory& history,
                            const ConfigSchedule& schedule, TimePoint start);

// One line for each flow: VM, process, route, copy of the SYN, times of sending
// and of the outcome, and the service or "rejected".
std::string FormatFlows(const std::vector<RoutedFlow>& flows, TimePoint start);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_SOAK_SOAK_REPORT_H_
