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

// What a VM's flows put on one backend server.
struct ServerLoad {
  Mark mark = kNoMark;
  uint32_t flows = 0;
  // Flows whose caller waits for the server.
  uint32_t waiting = 0;

  auto operator<=>(const ServerLoad&) const = default;
};

// What all VMs of a failure domain put on its servers of one service.
struct DomainLoad {
  std::string domain;
  std::string service;
  uint32_t flows = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
  // When the failure domain itself counted this.
  TimePoint measured_at;

  auto operator<=>(const DomainLoad&) const = default;
};

// The load of one server as the packet path reads it: how many requests are to
// be expected there at a time. The control part renews it; a worker adds what
// it places meanwhile.
struct LiveLoad {
  std::atomic<double> expected_requests{0};
};

using LiveLoads = std::map<Mark, std::shared_ptr<LiveLoad>>;

// What other VMs reported. Reports that are not renewed end.
struct LoadReports {
  struct Report {
    TimePoint received_at;
    std::vector<ServerLoad> servers;

    auto operator<=>(const Report&) const = default;
  };

  std::map<VmId, Report> by_vm;
  // By failure domain and service.
  std::map<std::pair<std::string, std::string>, DomainLoad> domains;

  auto operator<=>(const LoadReports&) const = default;
};

// Loads that change little are reported this often, others after a pause.
inline constexpr Duration kLoadReportInterval{1'500};
inline constexpr Duration kMinLoadReportInterval{250};
// Two reports may be lost.
inline constexpr Duration kLoadReportLifetime{4'750};
inline constexpr Duration kDomainLoadLifetime{5'000};

// True where some server's flows or waiting callers differ by more than a flow
// that came and one that went.
bool LoadsDifferSignificantly(const std::vector<ServerLoad>& before,
                              const std::vector<ServerLoad>& after);

void RecordLoadReport(LoadReports& reports, VmId vm,
                      std::vector<ServerLoad> servers, TimePoint now);

// Takes another failure domain's load; older counts change nothing.
void RecordDomainLoad(LoadReports& reports, const DomainLoad& load);

// Forgets reports that were not renewed.
void ExpireLoadReports(LoadReports& reports, TimePoint now);

// The sum of the other VMs' reports, by server. Where only some of `peers`
// reported, the sum is scaled up to all.
absl::flat_hash_map<Mark, ServerLoad> SumLoadReports(const LoadReports& reports,
                                                     size_t peers);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_PLACEMENT_LOAD_H_
