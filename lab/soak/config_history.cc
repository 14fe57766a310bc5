#include "lab/soak/config_history.h"

#include <algorithm>
#include <utility>

namespace knapweedlift::lab {
namespace {

// Indexes of the oldest and the newest version that allow what a VM did.
struct AllowingVersions {
  size_t oldest = 0;
  size_t newest = 0;
};

bool Allows(const ConfigVersion& version, const RoutedFlow& flow) {
  const auto route = version.routes.find(flow.route);
  if (route == version.routes.end()) return flow.service.empty();
  return route->second == flow.service;
}

std::optional<AllowingVersions> FindAllowing(const ConfigHistory& history,
                                             const RoutedFlow& flow) {
  std::optional<AllowingVersions> allowing;
  for (size_t i = 0; i < history.versions.size(); ++i) {
    // No VM acts on a version that is yet to come.
    if (history.versions[i].sent_at > flow.handled_at) break;
    if (!Allows(history.versions[i], flow)) continue;
    if (!allowing.has_value()) allowing = {.oldest = i};
    allowing->newest = i;
  }
  return allowing;
}

bool Concerns(const Disturbance& disturbance, size_t vm) {
  return !disturbance.vm.has_value() || *disturbance.vm == vm;
}

// True if a disturbance of the kind concerned the VM in the period.
bool Disturbed(const ConfigHistory& history, DisturbanceKind kind, size_t vm,
               TimePoint from, TimePoint until) {
  return std::any_of(history.disturbances.begin(), history.disturbances.end(),
                     [&](const Disturbance& disturbance) {
                       return disturbance.kind == kind &&
                              Concerns(disturbance, vm) &&
                              disturbance.from <= until &&
                              disturbance.until >= from;
                     });
}

bool DidProcessRun(const ConfigHistory& history, size_t vm, TimePoint from,
                   TimePoint until) {
  using enum DisturbanceKind;
  return !Disturbed(history, kRestart, vm, from, until) &&
         !Disturbed(history, kSlowed, vm, from, until);
}

// True if the VM itself ran undisturbed and had a path to the store.
bool IsVmStable(const ConfigHistory& history, size_t vm, TimePoint from,
                TimePoint until) {
  return DidProcessRun(history, vm, from, until) &&
         !Disturbed(history, DisturbanceKind::kStoreUnavailable, vm, from,
                    until);
}

bool IsInTouch(const ConfigHistory& history, size_t vm, TimePoint from,
               TimePoint until) {
  return IsVmStable(history, vm, from, until) &&
         !Disturbed(history, DisturbanceKind::kStoreUnstable, vm, from, until);
}

std::optional<ConfigViolation> CheckLate(const ConfigHistory& history,
                                         const RoutedFlow& flow,
                                         const AllowingVersions& allowing) {
  const size_t next = allowing.newest + 1;
  if (next >= history.versions.size()) return {};
  const ConfigVersion& expected = history.versions[next];
  const TimePoint stable_from = flow.sent_at - kStableWindow;
  Duration allowed = kConfigApplyTime;
  if (!IsInTouch(history, flow.vm, stable_from, flow.handled_at)) {
    allowed += kMaxStretch;
    const TimePoint from = std::min(stable_from, expected.acknowledged_at);
    if (!IsVmStable(history, flow.vm, from, flow.handled_at)) return {};
  }
  const Duration late_by = flow.sent_at - expected.acknowledged_at - allowed;
  if (late_by <= Duration(0)) return {};
  return ConfigViolation{
      .fault = ConfigFault::kLate,
      .flow = flow,
      .newest_allowing = history.versions[allowing.newest].number,
      .expected = expected.number,
      .late_by = late_by};
}

Duration DowngradeSlack(const ConfigHistory& history, const RoutedFlow& flow) {
  const bool slowed = Disturbed(history, DisturbanceKind::kSlowed, flow.vm,
                                flow.sent_at - kStableWindow, flow.handled_at);
  return slowed ? kSlowedDowngradeFactor * kDowngradeSlack : kDowngradeSlack;
}

struct CheckedFlow {
  RoutedFlow flow;
  AllowingVersions allowing;
};

// Checks the flows of one process, which are in the order of their outcome.
void CheckWentBack(const ConfigHistory& history,
                   const std::vector<CheckedFlow>& flows,
                   std::vector<ConfigViolation>& violations) {
  // Versions whose effect a backend server saw, each newer than the one before.
  std::vector<std::pair<TimePoint, size_t>> effects;
  for (const CheckedFlow& checked : flows) {
    const RoutedFlow& flow = checked.flow;
    const Duration slack = DowngradeSlack(history, flow);
    for (auto effect = effects.rbegin(); effect != effects.rend(); ++effect) {
      const Duration late_by = flow.sent_at - effect->first - slack;
      if (late_by <= Duration(0)) continue;
      if (effect->second <= checked.allowing.newest) break;
      violations.push_back(
          {.fault = ConfigFault::kWentBack,
           .flow = flow,
           .newest_allowing = history.versions[checked.allowing.newest].number,
           .expected = history.versions[effect->second].number,
           .late_by = late_by});
      break;
    }
    const bool newer =
        effects.empty() || effects.back().second < checked.allowing.oldest;
    if (!flow.service.empty() && newer) {
      effects.emplace_back(flow.handled_at, checked.allowing.oldest);
    }
  }
}

// The list for what disturbed the VM in the period.
std::vector<Duration>& TimesOf(ApplyTimes& times, const ConfigHistory& history,
                               size_t vm, TimePoint from, TimePoint until) {
  if (IsInTouch(history, vm, from, until)) return times.calm;
  if (!DidProcessRun(history, vm, from, until)) return times.disturbed;
  if (!IsVmStable(history, vm, from, until)) return times.failing_store;
  return times.unstable_store;
}

std::vector<RoutedFlow> InOrderOfOutcome(std::vector<RoutedFlow> flows) {
  std::stable_sort(flows.begin(), flows.end(),
                   [](const RoutedFlow& a, const RoutedFlow& b) {
                     return a.handled_at < b.handled_at;
                   });
  return flows;
}

}  // namespace

std::vector<ConfigViolation> CheckConfigHistory(const ConfigHistory& history) {
  std::vector<ConfigViolation> violations;
  std::map<std::pair<size_t, uint32_t>, std::vector<CheckedFlow>> processes;
  for (const RoutedFlow& flow : InOrderOfOutcome(history.flows)) {
    const auto allowing = FindAllowing(history, flow);
    if (!allowing.has_value()) {
      violations.push_back({.fault = ConfigFault::kNotAllowed, .flow = flow});
      continue;
    }
    const auto late = CheckLate(history, flow, *allowing);
    if (late.has_value()) violations.push_back(*late);
    processes[{flow.vm, flow.incarnation}].push_back({flow, *allowing});
  }
  for (const auto& [process, flows] : processes) {
    CheckWentBack(history, flows, violations);
  }
  return violations;
}

ApplyTimes MeasureApplyTimes(const ConfigHistory& history) {
  ApplyTimes times;
  // The newest version that each VM was seen to act on.
  std::map<size_t, size_t> seen;
  for (const RoutedFlow& flow : InOrderOfOutcome(history.flows)) {
    const auto allowing = FindAllowing(history, flow);
    if (!allowing.has_value() || flow.service.empty()) continue;
    const auto [newest, first] = seen.try_emplace(flow.vm, allowing->oldest);
    if (first) continue;
    for (size_t i = newest->second + 1; i <= allowing->oldest; ++i) {
      const TimePoint start = history.versions[i].acknowledged_at;
      TimesOf(times, history, flow.vm, start - kStableWindow, flow.handled_at)
          .push_back(flow.handled_at - start);
    }
    newest->second = std::max(newest->second, allowing->oldest);
  }
  return times;
}

}  // namespace knapweedlift::lab
