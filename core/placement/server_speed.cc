#include "core/placement/server_speed.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "core/flow/flow_key.h"

namespace knapweedlift {
namespace {

// A server is slow from twice the median wait on, and only beyond a wait that
// callers notice.
constexpr double kMinSlowRatio = 2;
constexpr double kMinSlowWaitMs = 30;
// Measurements without a difference that are assumed for each server, so that a
// single long wait does not make it slow.
constexpr double kPriorWeight = 2;
constexpr double kMaxWeight = 6;
// The newest measurement counts at least a quarter.
constexpr double kMaxOldWeight = 3;
// A measurement this many times above or below the average shows that the speed
// has changed. It counts as much as all earlier ones.
constexpr double kChangeRatio = 4;
// A single measurement this many times the median is reported to other VMs.
constexpr double kUnusualRatio = 5;
// The factor reaches the measured ratio soon after the server counts as slow,
// and falls to 1 without a step while the measurements expire.
constexpr double kSlowdownSlope = 3;
constexpr double kMaxSlowdown = 16;
// Weights fall to 1/e in this time. It spans several explorations, so that a
// server which stays slow is not forgotten between two of them.
constexpr Duration kWeightLifetime{15'000};
// Less weight is no measurement.
constexpr double kMinWeight = 0.25;
// A slow server is not explored sooner after it was last measured.
constexpr Duration kMinExplorationPause{2'000};
// One VM of the failure domain on average explores a slow server in each
// interval, which grows with the number of slow servers.
constexpr Duration kIntervalPerSlowServer{500};
constexpr Duration kMinExplorationInterval{1'500};
constexpr Duration kMaxExplorationInterval{4'000};
// Explorations for each answer to a caller of this VM, so that at low load,
// too, less than one request in a hundred is answered slowly because of them.
constexpr double kExplorationShare = 0.006;
// A recovered server gets its share of flows gradually, since all VMs notice
// its recovery at about the same time.
constexpr Duration kRecoveryTime{2'000};
constexpr double kMaxRecoverySlowdown = 4;
// Later measurements of a recovered server are of no interest to other VMs.
constexpr Duration kRecoveryReportTime{4'000};
// Until a server has been slow for this long, each report about it is passed on
// to further VMs. After that half of the VMs pass it on, to limit the bytes of
// load reports; all VMs have several sources.
constexpr Duration kSlowNoticeTime{3'000};
constexpr uint64_t kVmsPerConfirmation = 2;
// Older measurements are not reported. Covers several hops.
constexpr Duration kReportedAge{6'000};
// A longer wait is no better evidence; callers give up after 1.4 s.
constexpr double kMaxWaitMs = 2'000;
// Silence that counts as a measurement, in medians and milliseconds: longer
// than the wait for the retransmission of one lost packet on a fast server.
constexpr double kMinSilenceRatio = 8;
constexpr double kMinSilenceMs = 250;

using Group = std::pair<uint32_t, std::string>;
using Medians = std::map<Group, double>;

Group GroupOf(const ServerTarget& server) {
  return {server.service_index, server.fact.domain};
}

double LogOfWait(double wait_ms) {
  return std::log(std::clamp(wait_ms, 1.0, kMaxWaitMs));
}

void AddMeasurement(ServerSpeed& speed, double log_wait, double count,
                    TimePoint at) {
  const bool changed =
      speed.weight > 0 &&
      std::abs(log_wait - speed.log_wait) >= std::log(kChangeRatio);
  const double old_weight =
      std::min(speed.weight, changed ? count : kMaxOldWeight * count);
  speed.log_wait =
      (old_weight * speed.log_wait + count * log_wait) / (old_weight + count);
  speed.weight =
      std::min(kMaxWeight, (changed ? old_weight : speed.weight) + count);
  speed.last_wait_ms = static_cast<uint32_t>(std::lround(std::exp(log_wait)));
  speed.measured_at = at;
  speed.measured_here = true;
}

void ExpireMeasurements(ServerSpeeds& speeds, const MarkView& view,
                        TimePoint now) {
  std::erase_if(speeds.servers, [&view](const auto& item) {
    return !view.by_mark.contains(item.first);
  });
  const Duration elapsed = now - std::exchange(speeds.updated_at, now);
  const double factor = std::exp(-static_cast<double>(elapsed.count()) /
                                 static_cast<double>(kWeightLifetime.count()));
  for (auto& [mark, speed] : speeds.servers) speed.weight *= factor;
}

// Only measurements newer than the known one count, so that reports that return
// over other VMs have no effect.
void AddReports(ServerSpeeds& speeds, const MarkView& view,
                const LoadReports& reports, TimePoint now) {
  for (const auto& [vm, report] : reports.by_vm) {
    for (const ServerLoad& load : report.servers) {
      if (load.wait_ms == 0 || !view.by_mark.contains(load.mark)) continue;
      const TimePoint measured_at = std::min(load.wait_measured_at, now);
      ServerSpeed& speed = speeds.servers[load.mark];
      if (measured_at <= speed.measured_at) continue;
      AddMeasurement(speed, LogOfWait(load.wait_ms), 1, measured_at);
      speed.measured_here = false;
    }
  }
}

void AddOwnWaits(ServerSpeeds& speeds, const MarkView& view,
                 const absl::flat_hash_map<Mark, ResponseWaits>& own,
                 TimePoint now) {
  for (const auto& [mark, waits] : own) {
    if (waits.count == 0 || !view.by_mark.contains(mark)) continue;
    const double mean = waits.log_sum / waits.count;
    AddMeasurement(speeds.servers[mark], std::min(mean, std::log(kMaxWaitMs)),
                   waits.count, now);
    speeds.exploration_budget = std::min(
        1.0, speeds.exploration_budget + kExplorationShare * waits.count);
  }
}

// Logarithm of the median wait by service and failure domain. With an even
// number of servers the faster one in the middle decides.
Medians MedianWaits(const ServerSpeeds& speeds, const MarkView& view) {
  std::map<Group, std::vector<double>> waits;
  for (const ServerTarget& server : view.servers) {
    const auto found = speeds.servers.find(server.fact.mark);
    const bool measured =
        found != speeds.servers.end() && found->second.weight >= kMinWeight;
    if (measured) waits[GroupOf(server)].push_back(found->second.log_wait);
  }
  Medians medians;
  for (auto& [group, values] : waits) {
    if (values.size() < 2) continue;
    const auto middle =
        values.begin() + static_cast<int64_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    medians[group] = *middle;
  }
  return medians;
}

// Counts the wait of callers of a silent server, again each time it doubles.
void AddSilence(ServerSpeed& speed, const ServerTraffic& traffic, double median,
                TimePoint now) {
  if (traffic.silent_since == TimePoint::max() ||
      traffic.last_answer > traffic.silent_since) {
    speed.counted_silence_ms = 0;
    return;
  }
  const auto silence =
      static_cast<double>((now - traffic.silent_since).count());
  if (silence < speed.counted_silence_ms) speed.counted_silence_ms = 0;
  const double next =
      std::max({kMinSilenceMs, kMinSilenceRatio * std::exp(median),
                2 * speed.counted_silence_ms});
  if (silence < next) return;
  speed.counted_silence_ms = silence;
  AddMeasurement(speed, LogOfWait(silence), 1, now);
}

// Factor by which a server is slower than the median, from the logarithm of the
// ratio; 1 unless it is slow.
double SlowdownOf(const ServerSpeed& speed, double log_ratio) {
  const double evidence =
      log_ratio * speed.weight / (speed.weight + kPriorWeight);
  const double excess = evidence - std::log(kMinSlowRatio);
  if (excess <= 0 || std::exp(speed.log_wait) <= kMinSlowWaitMs) return 1;
  return std::min(kMaxSlowdown,
                  std::exp(std::min(log_ratio, kSlowdownSlope * excess)));
}

// Falls from the former slowdown to 1 during the recovery time.
double RecoverySlowdown(const ServerSpeed& speed, TimePoint now) {
  if (speed.recovered_at == TimePoint::min()) return 1;
  const Duration left = speed.recovered_at + kRecoveryTime - now;
  if (left <= Duration(0)) return 1;
  const double before =
      std::min(kMaxRecoverySlowdown, speed.slowdown_before_recovery);
  return 1 + (before - 1) * static_cast<double>(left.count()) /
                 static_cast<double>(kRecoveryTime.count());
}

bool IsExplorationDue(const ServerSpeeds& speeds, const ServerSpeed& speed,
                      const ServerTarget& server, size_t peers, TimePoint now) {
  const TimePoint last = std::max(speed.measured_at, speed.explored_at);
  const bool usable = server.local && server.eligible && !server.suspect &&
                      server.load->expected_requests.load() < server.fact.slots;
  if (!usable || now - last < kMinExplorationPause) return false;
  const Duration interval = std::clamp(
      static_cast<int64_t>(speeds.slow_servers) * kIntervalPerSlowServer,
      kMinExplorationInterval, kMaxExplorationInterval);
  const auto number = static_cast<uint64_t>(now.time_since_epoch() / interval);
  return MixHash(MixHash(speeds.seed, server.fact.mark), number) %
             (peers + 1) ==
         0;
}

// Directs the next flow to a slow server whose exploration is due.
void ExploreIfDue(ServerSpeeds& speeds, ServerSpeed& speed,
                  const ServerTarget& server, size_t peers, TimePoint now) {
  if (speeds.exploration_budget < 1) return;
  if (!IsExplorationDue(speeds, speed, server, peers, now)) return;
  --speeds.exploration_budget;
  speed.explored_at = now;
  server.load->explore.store(true);
}

// Returns true if the server became slow or recovered.
bool UpdateSlowdown(ServerSpeed& speed, LiveLoad& load, double median,
                    TimePoint now) {
  speed.unusual = static_cast<double>(speed.last_wait_ms) >=
                  std::max(kMinSlowWaitMs, kUnusualRatio * std::exp(median));
  const double slowdown = SlowdownOf(speed, speed.log_wait - median);
  const bool was_slow = std::exchange(speed.slow, slowdown > 1);
  if (speed.slow) {
    speed.recovered_at = TimePoint::min();
    speed.slowdown_before_recovery = slowdown;
    if (!was_slow) speed.slow_since = now;
  } else if (was_slow) {
    speed.recovered_at = now;
  }
  load.slowdown.store(std::max(slowdown, RecoverySlowdown(speed, now)));
  if (!speed.slow) load.explore.store(false);
  return was_slow != speed.slow;
}

// Returns true if the newest measurement is news to other VMs.
bool ShouldReport(const ServerSpeeds& speeds, Mark mark,
                  const ServerSpeed& speed, TimePoint now) {
  const bool recovered = speed.recovered_at != TimePoint::min() &&
                         now - speed.recovered_at <= kRecoveryReportTime;
  const bool relevant = speed.slow || recovered || speed.unusual;
  const bool fresh = now - speed.measured_at <= kReportedAge;
  if (!relevant || !fresh || speed.measured_at <= speed.reported_until) {
    return false;
  }
  const bool confirmation =
      speed.slow && now - speed.slow_since > kSlowNoticeTime;
  if (speed.measured_here || !confirmation) return true;
  const auto time =
      static_cast<uint64_t>(speed.measured_at.time_since_epoch().count());
  return MixHash(MixHash(speeds.seed, mark), time) % kVmsPerConfirmation == 0;
}

}  // namespace

bool UpdateServerSpeeds(ServerSpeeds& speeds, const MarkView& view,
                        const SpeedObservations& observed, TimePoint now) {
  ExpireMeasurements(speeds, view, now);
  AddReports(speeds, view, observed.reports, now);
  AddOwnWaits(speeds, view, observed.waits, now);
  const Medians medians = MedianWaits(speeds, view);
  bool changed = false;
  size_t slow_servers = 0;
  for (const ServerTarget& server : view.servers) {
    const auto median = medians.find(GroupOf(server));
    if (median == medians.end()) {
      server.load->slowdown.store(1);
      server.load->explore.store(false);
      continue;
    }
    const auto traffic = observed.traffic.find(server.fact.mark);
    if (traffic != observed.traffic.end()) {
      AddSilence(speeds.servers[server.fact.mark], traffic->second,
                 median->second, now);
    }
    const auto found = speeds.servers.find(server.fact.mark);
    if (found == speeds.servers.end()) continue;
    ServerSpeed& speed = found->second;
    changed |= UpdateSlowdown(speed, *server.load, median->second, now);
    if (!speed.slow) continue;
    ++slow_servers;
    ExploreIfDue(speeds, speed, server, observed.peers, now);
  }
  speeds.slow_servers = slow_servers;
  return changed;
}

void AddReportedWaits(ServerSpeeds& speeds,
                      const std::vector<ServerLoad>& last_report, TimePoint now,
                      std::vector<ServerLoad>& report) {
  for (const ServerLoad& load : last_report) {
    const auto found = speeds.servers.find(load.mark);
    if (load.wait_ms == 0 || found == speeds.servers.end()) continue;
    TimePoint& reported_until = found->second.reported_until;
    reported_until = std::max(reported_until, load.wait_measured_at);
  }
  std::map<Mark, const ServerSpeed*> reported;
  for (const auto& [mark, speed] : speeds.servers) {
    if (ShouldReport(speeds, mark, speed, now)) reported[mark] = &speed;
  }
  const auto add = [](ServerLoad& load, const ServerSpeed& speed) {
    load.wait_ms = std::max<uint32_t>(1, speed.last_wait_ms);
    load.wait_measured_at = speed.measured_at;
  };
  for (ServerLoad& load : report) {
    const auto found = reported.find(load.mark);
    if (found == reported.end()) continue;
    add(load, *found->second);
    reported.erase(found);
  }
  for (const auto& [mark, speed] : reported) {
    add(report.emplace_back(ServerLoad{.mark = mark}), *speed);
  }
}

}  // namespace knapweedlift
