#ifndef KNAPWEEDLIFT_CORE_PLACEMENT_SERVER_SPEED_H_
#define KNAPWEEDLIFT_CORE_PLACEMENT_SERVER_SPEED_H_

#include <cstdint>
#include <map>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/flow/marked_flows.h"
#include "core/placement/load.h"
#include "core/placement/mark_view.h"

namespace knapweedlift {

// How long callers wait for a server's responses, as far as one VM knows from
// its own flows and from the reports of other VMs.
struct ServerSpeed {
  // Moving average of the logarithm of the wait in milliseconds.
  double log_wait = 0;
  // Number of recent measurements behind the average. Old ones expire.
  double weight = 0;
  // The newest measurement, of this or another VM.
  uint32_t last_wait_ms = 0;
  TimePoint measured_at;
  // This VM's own callers measured it.
  bool measured_here = false;
  // Measurements up to this time were reported to other VMs.
  TimePoint reported_until;
  // The newest measurement differs from the usual waits of the service.
  bool unusual = false;
  // Clearly slower than other servers of its service and failure domain.
  bool slow = false;
  TimePoint slow_since;
  // When measurements showed that a slow server had recovered; min() if never.
  TimePoint recovered_at = TimePoint::min();
  double slowdown_before_recovery = 1;
  // When this VM last tried to measure the slow server again.
  TimePoint explored_at;
  // Longest wait without any answer that was counted since the last answer.
  double counted_silence_ms = 0;

  auto operator<=>(const ServerSpeed&) const = default;
};

struct ServerSpeeds {
  // Differs between VMs, so that they measure slow servers at different times.
  uint64_t seed = 0;
  TimePoint updated_at;
  std::map<Mark, ServerSpeed> servers;
  // Number of slow servers at the last update.
  size_t slow_servers = 0;
  // Flows that may be sent to slow servers to measure them.
  double exploration_budget = 1;

  auto operator<=>(const ServerSpeeds&) const = default;
};

// What a VM has learnt since the last update.
struct SpeedObservations {
  // Waits of this VM's callers since the last update.
  const absl::flat_hash_map<Mark, ResponseWaits>& waits;
  const absl::flat_hash_map<Mark, ServerTraffic>& traffic;
  const LoadReports& reports;
  // Number of other VMs in the failure domain.
  size_t peers = 0;
};

// Updates the speeds, and the slowdown factors in the live loads of the view's
// servers. A server is compared with the median of its service in its failure
// domain, so that load, which lengthens all waits, is no slowness. A slow
// server gets a new flow now and then, from one VM at a time, so that its
// recovery is noticed. Returns true if a server became slow or recovered.
bool UpdateServerSpeeds(ServerSpeeds& speeds, const MarkView& view,
                        const SpeedObservations& observed, TimePoint now);

// Adds the unusual waits that other VMs should know of to this VM's next load
// report. Each measurement is reported once, unless the next one replaces it:
// `last_report` is the report that was sent last.
void AddReportedWaits(ServerSpeeds& speeds,
                      const std::vector<ServerLoad>& last_report, TimePoint now,
                      std::vector<ServerLoad>& report);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_PLACEMENT_SERVER_SPEED_H_
