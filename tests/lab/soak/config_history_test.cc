#include "lab/soak/config_history.h"

#include <criterion/criterion.h>

#include "lab/soak/config_schedule.h"

// Made-up histories: the checker must report what breaks the rule CONFIG, and
// nothing else.
namespace knapweedlift::lab {
namespace {

const Endpoint kRoute{.address = *ParseIpAddress("198.18.1.1"), .port = 443};

// A time in milliseconds; the first version is acknowledged at 0.
TimePoint At(int64_t ms) { return TimePoint(Duration(1'000'000 + ms)); }

ConfigVersion Version(uint64_t number, int64_t acknowledged_ms,
                      const std::map<Endpoint, std::string>& routes) {
  return {.number = number,
          .routes = routes,
          .sent_at = At(acknowledged_ms - 1),
          .acknowledged_at = At(acknowledged_ms)};
}

// The route leads to a, then to b, then is dropped, then leads to a again.
ConfigHistory FourVersions() {
  return {.versions = {Version(10, 0, {{kRoute, "a"}}),
                       Version(13, 10'000, {{kRoute, "b"}}),
                       Version(16, 20'000, {}),
                       Version(19, 30'000, {{kRoute, "a"}})}};
}

RoutedFlow Flow(int64_t sent_ms, const std::string& service) {
  return {.vm = 3,
          .incarnation = 1,
          .route = kRoute,
          .sent_at = At(sent_ms),
          .handled_at = At(sent_ms + 2),
          .service = service};
}

std::vector<ConfigFault> Faults(const ConfigHistory& history) {
  std::vector<ConfigFault> faults;
  for (const ConfigViolation& violation : CheckConfigHistory(history)) {
    faults.push_back(violation.fault);
  }
  return faults;
}

using FaultList = std::vector<ConfigFault>;

}  // namespace

Test(config_history, accepts_changes_that_apply_in_time) {
  ConfigHistory history = FourVersions();
  history.flows = {Flow(500, "a"),    Flow(12'900, "a"), Flow(12'950, "b"),
                   Flow(22'000, "b"), Flow(22'500, ""),  Flow(32'900, ""),
                   Flow(33'000, "a")};
  cr_expect(Faults(history).empty());
}

Test(config_history, reports_a_former_service_after_the_bound) {
  ConfigHistory history = FourVersions();
  history.flows = {Flow(13'100, "a")};
  const auto violations = CheckConfigHistory(history);
  cr_assert(violations.size() == 1);
  cr_expect(violations[0].fault == ConfigFault::kLate);
  cr_expect(violations[0].newest_allowing == 10);
  cr_expect(violations[0].expected == 13);
  cr_expect(violations[0].late_by == Duration(100));
}

Test(config_history, reports_a_dropped_route_that_is_still_served) {
  ConfigHistory history = FourVersions();
  history.flows = {Flow(23'100, "b")};
  cr_expect(Faults(history) == FaultList{ConfigFault::kLate});
}

Test(config_history, reports_an_added_route_that_is_rejected) {
  ConfigHistory history = FourVersions();
  history.flows = {Flow(33'100, "")};
  cr_expect(Faults(history) == FaultList{ConfigFault::kLate});
}

Test(config_history, reports_a_service_that_no_version_allows) {
  ConfigHistory history = FourVersions();
  history.flows = {Flow(500, "c")};
  cr_expect(Faults(history) == FaultList{ConfigFault::kNotAllowed});
}

// The next version allows what the VM does, but it is not written yet.
Test(config_history, reports_what_only_a_later_version_allows) {
  ConfigHistory history = FourVersions();
  history.flows = {Flow(29'000, "a")};
  cr_expect(Faults(history) == FaultList{ConfigFault::kLate});
}

Test(config_history, reports_a_process_that_goes_back_before_the_bound) {
  ConfigHistory history = FourVersions();
  history.flows = {Flow(11'000, "b"), Flow(11'300, "a")};
  cr_expect(Faults(history) == FaultList{ConfigFault::kWentBack});
  // Within the slack, in another process, or on another VM.
  history.flows = {Flow(11'000, "b"), Flow(11'200, "a")};
  cr_expect(Faults(history).empty());
  history.flows = {Flow(11'000, "b"), Flow(11'300, "a")};
  history.flows[1].incarnation = 2;
  cr_expect(Faults(history).empty());
  history.flows[1].incarnation = 1;
  history.flows[1].vm = 4;
  cr_expect(Faults(history).empty());
}

Test(config_history, allows_a_slowed_process_eight_times_the_slack) {
  ConfigHistory history = FourVersions();
  history.disturbances = {{.kind = DisturbanceKind::kSlowed,
                           .vm = 3,
                           .from = At(10'500),
                           .until = At(10'600)}};
  history.flows = {Flow(11'000, "b"), Flow(12'900, "a")};
  cr_expect(Faults(history).empty());
  history.flows = {Flow(11'000, "b"), Flow(13'100, "a")};
  cr_expect(Faults(history) == FaultList{ConfigFault::kWentBack});
}

Test(config_history, excuses_vms_that_are_not_in_touch) {
  using enum DisturbanceKind;
  for (const DisturbanceKind kind : {kRestart, kSlowed, kStoreUnavailable}) {
    ConfigHistory history = FourVersions();
    history.flows = {Flow(14'000, "a")};
    history.disturbances = {
        {.kind = kind, .vm = 3, .from = At(10'100), .until = At(10'100)}};
    cr_expect(Faults(history).empty());
    // Another VM's disturbance, or one that is over, excuses nothing.
    history.disturbances[0].vm = 4;
    cr_expect(Faults(history) == FaultList{ConfigFault::kLate});
    history.disturbances[0].vm = 3;
    history.disturbances[0].from = history.disturbances[0].until = At(9'000);
    history.flows = {Flow(14'100, "a")};
    cr_expect(Faults(history) == FaultList{ConfigFault::kLate});
  }
}

Test(config_history, stretches_the_bound_while_the_store_is_unstable) {
  ConfigHistory history = FourVersions();
  history.disturbances = {{.kind = DisturbanceKind::kStoreUnstable,
                           .from = At(10'000),
                           .until = At(19'000)}};
  history.flows = {Flow(14'000, "a")};
  cr_expect(Faults(history).empty());
  history.versions.resize(2);
  history.disturbances[0].until = At(30'000);
  history.flows = {Flow(25'100, "a")};
  cr_expect(Faults(history) == FaultList{ConfigFault::kLate});
}

Test(config_history, measures_when_versions_apply) {
  ConfigHistory history = FourVersions();
  history.flows = {Flow(500, "a"), Flow(10'098, "b"), Flow(30'198, "a")};
  const ApplyTimes times = MeasureApplyTimes(history);
  // That a is the service shows the first version or the last one, and a
  // rejected packet shows nothing: versions 16 and 19 are not measured.
  cr_expect(times.calm == std::vector<Duration>{Duration(100)});
  cr_expect(times.disturbed.empty());
}

Test(config_schedule, follows_from_the_seed) {
  const std::vector<size_t> seeds = {0, 8, 15};
  const auto schedule = MakeConfigSchedule(7, 6, 16, seeds, 4);
  cr_expect(schedule == MakeConfigSchedule(7, 6, 16, seeds, 4));
  cr_expect(schedule != MakeConfigSchedule(8, 6, 16, seeds, 4));
  cr_assert(schedule.rounds.size() == 6);
  for (const SoakEvent& event : schedule.events) {
    cr_expect(event.at >= Duration(0) && event.at < 6 * kSoakRoundLength);
  }
}

// A fault that is never undone would make every later check pass.
Test(config_schedule, ends_every_fault) {
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    int stalled = 0;
    int frozen = 0;
    int slow = 0;
    int slow_pages = 0;
    std::map<size_t, StoreMode> modes;
    for (const SoakEvent& event :
         MakeConfigSchedule(seed, 6, 16, {0, 8, 15}, 4).events) {
      stalled += event.action == SoakAction::kStallWatches ? 1 : 0;
      stalled -= event.action == SoakAction::kDropHistory ? 1 : 0;
      frozen += event.action == SoakAction::kFreeze ? 1 : 0;
      frozen -= event.action == SoakAction::kThaw ? 1 : 0;
      slow += event.action == SoakAction::kStartSlow ? 1 : 0;
      slow -= event.action == SoakAction::kEndSlow ? 1 : 0;
      slow_pages += event.action == SoakAction::kSlowPages ? 1 : 0;
      slow_pages -= event.action == SoakAction::kFastPages ? 1 : 0;
      if (event.action == SoakAction::kSetStoreMode) {
        modes[event.target] = event.mode;
      }
    }
    cr_expect(stalled == 0 && frozen == 0 && slow == 0 && slow_pages == 0);
    for (const auto& [listener, mode] : modes) {
      cr_expect(mode == StoreMode::kServe);
    }
  }
}

}  // namespace knapweedlift::lab
