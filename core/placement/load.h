#ifndef KNAPWEEDLIFT_CORE_PLACEMENT_LOAD_H_
#define KNAPWEEDLIFT_CORE_PLACEMENT_LOAD_H_

#include <atomic>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/ids.h"
#include "core/mark/mark.h"
#include "core/time.h"

namespace knapweedlift {

// Load that the flows of one VM place on a backend server.
struct ServerLoad {
  Mark mark = kNoMark;
  uint32_t flows = 0;
  // Flows whose caller awaits a response.
  uint32_t waiting = 0;
  // The newest wait for a response of the server that the VM knows of, in
  // milliseconds, and when a VM measured it. Zero unless the wait is unusual;
  // core/placement/server_speed.h.
  uint32_t wait_ms = 0;
  TimePoint wait_measured_at;

  auto operator<=>(const ServerLoad&) const = default;
};

// Load that all VMs of a failure domain place on the domain's servers of one
// service.
struct DomainLoad {
  std::string domain;
  std::string service;
  uint32_t flows = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
  // When a VM of the failure domain measured this load.
  TimePoint measured_at;

  auto operator<=>(const DomainLoad&) const = default;
};

// Load of one server as read by the packet path: the number of requests
// expected to be in progress there. The control plane refreshes it; workers add
// the flows that they place in between.
struct LiveLoad {
  std::atomic<double> expected_requests{0};
  // Factor by which the server answers more slowly than others of its service;
  // 1 unless it is clearly slower.
  std::atomic<double> slowdown{1};
  // The next flow goes to the server despite its slowdown, to measure it.
  std::atomic<bool> explore{false};
  // Callers that await a response. Unlike the above it counts each request
  // once, and so shows whether the server is full.
  std::atomic<double> waiting{0};
};

using LiveLoads = std::map<Mark, std::shared_ptr<LiveLoad>>;

// Load reports received from other VMs. Reports that are not renewed expire.
struct LoadReports {
  struct Report {
    TimePoint received_at;
    std::vector<ServerLoad> servers;

    auto operator<=>(const Report&) const = default;
  };

  std::map<VmId, Report> by_vm;
  // Keyed by failure domain and service.
  std::map<std::pair<std::string, std::string>, DomainLoad> domains;

  auto operator<=>(const LoadReports&) const = default;
};

// Interval between load reports, and the shortest interval, which applies when
// the load has changed significantly.
inline constexpr Duration kLoadReportInterval{1'500};
inline constexpr Duration kMinLoadReportInterval{250};
// Tolerates the loss of two consecutive reports.
inline constexpr Duration kLoadReportLifetime{4'750};
inline constexpr Duration kDomainLoadLifetime{5'000};

// Returns true if the flows or the waiting callers of any server differ by more
// than one arriving and one departing flow, or the waiting callers of all
// servers together by more than five.
bool LoadsDifferSignificantly(const std::vector<ServerLoad>& before,
                              const std::vector<ServerLoad>& after);

// Replaces the last load report of `vm`.
void RecordLoadReport(LoadReports& reports, VmId vm,
                      std::vector<ServerLoad> servers, TimePoint now);

// Records the load of another failure domain. A measurement that is not newer
// than the recorded one is ignored.
void RecordDomainLoad(LoadReports& reports, const DomainLoad& load);

// Removes reports that were not renewed within their lifetime.
void ExpireLoadReports(LoadReports& reports, TimePoint now);

// Sums the reports of other VMs by server. If fewer than `peers` VMs reported,
// the sum is extrapolated to all of them.
absl::flat_hash_map<Mark, ServerLoad> SumLoadReports(const LoadReports& reports,
                                                     size_t peers);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_PLACEMENT_LOAD_H_
