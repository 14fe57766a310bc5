#include "lab/soak/soak_report.h"

#include <algorithm>
#include <map>

#include "absl/strings/str_cat.h"

namespace knapweedlift::lab {
namespace {

using nlohmann::json;

int64_t MillisecondsSince(TimePoint start, TimePoint time) {
  return (time - start).count();
}

double Milliseconds(std::vector<Duration> times, double quantile) {
  if (times.empty()) return 0;
  std::sort(times.begin(), times.end());
  const auto last = static_cast<double>(times.size() - 1);
  return static_cast<double>(
      times[static_cast<size_t>(quantile * last)].count());
}

json ApplyTimesJson(const std::vector<Duration>& times) {
  constexpr double kMedian = 0.5;
  constexpr double kP99 = 0.99;
  return {{"count", times.size()},
          {"median", Milliseconds(times, kMedian)},
          {"p99", Milliseconds(times, kP99)},
          {"highest", Milliseconds(times, 1)}};
}

const char* FaultName(ConfigFault fault) {
  switch (fault) {
    case ConfigFault::kNotAllowed:
      return "not_allowed";
    case ConfigFault::kLate:
      return "late";
    case ConfigFault::kWentBack:
      return "went_back";
  }
  return "";
}

}  // namespace

json CountViolations(const std::vector<ConfigViolation>& violations) {
  std::map<std::string, size_t> counts;
  for (const ConfigViolation& violation : violations) {
    ++counts[FaultName(violation.fault)];
  }
  return counts;
}

json DescribeViolations(const std::vector<ConfigViolation>& violations,
                        TimePoint start) {
  json listed = json::array();
  for (const ConfigViolation& violation : violations) {
    if (listed.size() == kMaxReportedViolations) break;
    const RoutedFlow& flow = violation.flow;
    listed.push_back({{"fault", FaultName(violation.fault)},
                      {"vm", flow.vm},
                      {"incarnation", flow.incarnation},
                      {"route", FormatEndpoint(flow.route)},
                      {"service", flow.service},
                      {"syn_copy", flow.syn_copy},
                      {"sent_ms", MillisecondsSince(start, flow.sent_at)},
                      {"handled_ms", MillisecondsSince(start, flow.handled_at)},
                      {"newest_allowing", violation.newest_allowing},
                      {"expected", violation.expected},
                      {"late_by_ms", violation.late_by.count()}});
  }
  return listed;
}

json DescribeEvacuations(const EvacuationHistory& history, TimePoint start) {
  json listed = json::array();
  for (const LateOpening& opening : history.late_openings) {
    if (listed.size() == kMaxReportedViolations) break;
    listed.push_back({{"domain", opening.domain},
                      {"at_ms", MillisecondsSince(start, opening.at)},
                      {"after_ms", opening.after.count()}});
  }
  return {{"count", history.evacuations.size()},
          {"late_openings", history.late_openings.size()},
          {"listed", listed},
          {"unused_domains", UnusedDomains(history)}};
}

json DescribeApplyTimes(const ApplyTimes& times) {
  return {{"calm", ApplyTimesJson(times.calm)},
          {"unstable_store", ApplyTimesJson(times.unstable_store)},
          {"failing_store", ApplyTimesJson(times.failing_store)},
          {"disturbed", ApplyTimesJson(times.disturbed)}};
}

json DescribePlay(const ConfigHistory& history, const ConfigSchedule& schedule,
                  TimePoint start) {
  json versions = json::array();
  for (const ConfigVersion& version : history.versions) {
    json routes;
    for (const auto& [route, service] : version.routes) {
      routes[FormatEndpoint(route)] = service;
    }
    versions.push_back(
        {{"version", version.number},
         {"acknowledged_ms", MillisecondsSince(start, version.acknowledged_at)},
         {"routes", routes}});
  }
  json events = json::array();
  for (const SoakEvent& event : schedule.events) {
    events.push_back({{"at_ms", event.at.count()},
                      {"action", SoakActionName(event.action)},
                      {"target", event.target},
                      {"mode", static_cast<int>(event.mode)}});
  }
  return {{"versions", versions}, {"events", events}};
}

std::string FormatFlows(const std::vector<RoutedFlow>& flows, TimePoint start) {
  std::string text;
  for (const RoutedFlow& flow : flows) {
    absl::StrAppend(&text, flow.vm, " ", flow.incarnation, " ",
                    FormatEndpoint(flow.route), " ", flow.syn_copy, " ",
                    MillisecondsSince(start, flow.sent_at), " ",
                    MillisecondsSince(start, flow.handled_at), " ",
                    flow.service.empty() ? "rejected" : flow.service, "\n");
  }
  return text;
}

}  // namespace knapweedlift::lab
