#ifndef KNAPWEEDLIFT_LAB_SOAK_FLOW_REPORT_H_
#define KNAPWEEDLIFT_LAB_SOAK_FLOW_REPORT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/soak/flow_history.h"
#include "lab/soak/flow_schedule.h"

// Results and records of a soak of flows. Times are in milliseconds since
// `start`.
namespace knapweedlift::lab {

// The number of violations by fault.
nlohmann::json CountFlowViolations(
    const std::vector<FlowViolation>& violations);

// The same by kind of the round in progress; those after the last round count
// for it.
nlohmann::json CountFlowViolationsByRound(
    const std::vector<FlowViolation>& violations, const FlowSchedule& schedule,
    TimePoint start);

// One violation.
nlohmann::json DescribeFlowViolation(const FlowViolation& violation,
                                     TimePoint start);

nlohmann::json DescribeFlowEvents(const FlowSchedule& schedule);

// One line for each flow: client, service, server, times of opening and of the
// end, how it ended, and since when the caller waited, "-" if it did not.
std::string FormatObservedFlows(const std::vector<ObservedFlow>& flows,
                                TimePoint start);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_SOAK_FLOW_REPORT_H_
