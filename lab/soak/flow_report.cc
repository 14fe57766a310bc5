#include "lab/soak/flow_report.h"

#include <algorithm>
#include <map>

#include "absl/strings/str_cat.h"

namespace knapweedlift::lab {
namespace {

using nlohmann::json;

int64_t MillisecondsSince(TimePoint start, TimePoint time) {
  return (time - start).count();
}

const char* FaultName(FlowFault fault) {
  switch (fault) {
    case FlowFault::kReset:
      return "reset";
    case FlowFault::kForeignPacket:
      return "foreign_packet";
    case FlowFault::kNotEnded:
      return "not_ended";
  }
  return "";
}

const char* EndName(FlowEnd end) {
  switch (end) {
    case FlowEnd::kOpen:
      return "open";
    case FlowEnd::kClosed:
      return "closed";
    case FlowEnd::kResetByVm:
      return "reset_by_vm";
    case FlowEnd::kResetByServer:
      return "reset_by_server";
    case FlowEnd::kTimedOut:
      return "timed_out";
  }
  return "";
}

}  // namespace

json CountFlowViolations(const std::vector<FlowViolation>& violations) {
  std::map<std::string, size_t> counts;
  for (const FlowViolation& violation : violations) {
    ++counts[FaultName(violation.fault)];
  }
  return counts;
}

json CountFlowViolationsByRound(const std::vector<FlowViolation>& violations,
                                const FlowSchedule& schedule, TimePoint start) {
  std::map<std::string, std::map<std::string, size_t>> counts;
  const auto last = static_cast<int64_t>(schedule.rounds.size()) - 1;
  for (const FlowViolation& violation : violations) {
    const int64_t round =
        std::clamp<int64_t>((violation.at - start) / kFlowRoundLength, 0, last);
    ++counts[schedule.rounds[static_cast<size_t>(round)]]
            [FaultName(violation.fault)];
  }
  return counts;
}

json DescribeFlowViolation(const FlowViolation& violation, TimePoint start) {
  return {{"fault", FaultName(violation.fault)},
          {"client", FormatEndpoint(violation.addresses.client)},
          {"service", FormatEndpoint(violation.addresses.service)},
          {"server", violation.server},
          {"receiver", violation.receiver},
          {"opened_ms", MillisecondsSince(start, violation.opened_at)},
          {"at_ms", MillisecondsSince(start, violation.at)},
          {"late_by_ms", violation.late_by.count()}};
}

json DescribeFlowEvents(const FlowSchedule& schedule) {
  json events = json::array();
  for (const FlowEvent& event : schedule.events) {
    events.push_back({{"at_ms", event.at.count()},
                      {"action", FlowActionName(event.action)},
                      {"target", event.target}});
  }
  return events;
}

std::string FormatObservedFlows(const std::vector<ObservedFlow>& flows,
                                TimePoint start) {
  std::string text;
  for (const ObservedFlow& flow : flows) {
    const ClientFlowRecord& client = flow.client;
    absl::StrAppend(&text, FormatEndpoint(client.addresses.client), " ",
                    FormatEndpoint(client.addresses.service), " ", flow.server,
                    " ", MillisecondsSince(start, client.opened_at), " ",
                    MillisecondsSince(start, client.ended_at), " ",
                    EndName(client.end), " ");
    if (client.waiting_since == TimePoint::max()) {
      absl::StrAppend(&text, "-\n");
    } else {
      absl::StrAppend(&text, MillisecondsSince(start, client.waiting_since),
                      "\n");
    }
  }
  return text;
}

}  // namespace knapweedlift::lab
