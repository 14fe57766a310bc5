#include "core/placement/load.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>

namespace knapweedlift {
namespace {

constexpr int64_t kLoadChangeTolerance = 2;
// A burst spreads over many servers and may change none of them by more than
// the tolerance; it was reported up to 1.5 s late. At the usual load a VM has
// fewer waiting callers in all.
constexpr int64_t kTotalWaitingTolerance = 5;

uint32_t ScaleCount(uint32_t value, double factor) {
  return static_cast<uint32_t>(std::lround(value * factor));
}

}  // namespace

bool LoadsDifferSignificantly(const std::vector<ServerLoad>& before,
                              const std::vector<ServerLoad>& after) {
  absl::flat_hash_map<Mark, std::pair<int64_t, int64_t>> difference;
  for (const ServerLoad& load : after) {
    difference[load.mark].first += load.flows;
    difference[load.mark].second += load.waiting;
  }
  for (const ServerLoad& load : before) {
    difference[load.mark].first -= load.flows;
    difference[load.mark].second -= load.waiting;
  }
  int64_t total_waiting = 0;
  for (const auto& [mark, change] : difference) total_waiting += change.second;
  if (std::abs(total_waiting) > kTotalWaitingTolerance) return true;
  return std::any_of(
      difference.begin(), difference.end(), [](const auto& item) {
        return std::abs(item.second.first) > kLoadChangeTolerance ||
               std::abs(item.second.second) > kLoadChangeTolerance;
      });
}

void RecordLoadReport(LoadReports& reports, VmId vm,
                      std::vector<ServerLoad> servers, TimePoint now) {
  reports.by_vm[vm] = {.received_at = now, .servers = std::move(servers)};
}

void RecordDomainLoad(LoadReports& reports, const DomainLoad& load) {
  DomainLoad& known = reports.domains[{load.domain, load.service}];
  if (known.measured_at < load.measured_at) known = load;
}

void ExpireLoadReports(LoadReports& reports, TimePoint now) {
  std::erase_if(reports.by_vm, [now](const auto& item) {
    return now - item.second.received_at > kLoadReportLifetime;
  });
  std::erase_if(reports.domains, [now](const auto& item) {
    return now - item.second.measured_at > kDomainLoadLifetime;
  });
}

absl::flat_hash_map<Mark, ServerLoad> SumLoadReports(const LoadReports& reports,
                                                     size_t peers) {
  absl::flat_hash_map<Mark, ServerLoad> sum;
  for (const auto& [vm, report] : reports.by_vm) {
    for (const ServerLoad& load : report.servers) {
      ServerLoad& total = sum[load.mark];
      total.mark = load.mark;
      total.flows += load.flows;
      total.waiting += load.waiting;
    }
  }
  if (reports.by_vm.empty() || peers <= reports.by_vm.size()) return sum;
  const double factor =
      static_cast<double>(peers) / static_cast<double>(reports.by_vm.size());
  for (auto& [mark, total] : sum) {
    total.flows = ScaleCount(total.flows, factor);
    total.waiting = ScaleCount(total.waiting, factor);
  }
  return sum;
}

}  // namespace knapweedlift
