#include "core/placement/load.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>

namespace knapweedlift {
namespace {

constexpr int64_t kSmallChange = 2;

uint32_t Scaled(uint32_t value, double factor) {
  return static_cast<uint32_t>(std::lround(value * factor));
}

}  // namespace

bool DifferMuch(const std::vector<ServerLoad>& before,
                const std::vector<ServerLoad>& after) {
  absl::flat_hash_map<Mark, std::pair<int64_t, int64_t>> change;
  for (const ServerLoad& load : after) {
    change[load.mark].first += load.flows;
    change[load.mark].second += load.waiting;
  }
  for (const ServerLoad& load : before) {
    change[load.mark].first -= load.flows;
    change[load.mark].second -= load.waiting;
  }
  return std::any_of(change.begin(), change.end(), [](const auto& item) {
    return std::abs(item.second.first) > kSmallChange ||
           std::abs(item.second.second) > kSmallChange;
  });
}

void TakeLoadReport(LoadBook& book, VmId vm, std::vector<ServerLoad> servers,
                    TimePoint now) {
  book.by_vm[vm] = {.heard_at = now, .servers = std::move(servers)};
}

void TakeDomainLoad(LoadBook& book, const DomainLoad& load) {
  DomainLoad& known = book.domains[{load.domain, load.service}];
  if (known.counted_at < load.counted_at) known = load;
}

void ForgetOldReports(LoadBook& book, TimePoint now) {
  std::erase_if(book.by_vm, [now](const auto& item) {
    return now - item.second.heard_at > kLoadReportLifetime;
  });
  std::erase_if(book.domains, [now](const auto& item) {
    return now - item.second.counted_at > kDomainLoadLifetime;
  });
}

absl::flat_hash_map<Mark, ServerLoad> SumReports(const LoadBook& book,
                                                 size_t peers) {
  absl::flat_hash_map<Mark, ServerLoad> sum;
  for (const auto& [vm, report] : book.by_vm) {
    for (const ServerLoad& load : report.servers) {
      ServerLoad& total = sum[load.mark];
      total.mark = load.mark;
      total.flows += load.flows;
      total.waiting += load.waiting;
    }
  }
  if (book.by_vm.empty() || peers <= book.by_vm.size()) return sum;
  const double factor =
      static_cast<double>(peers) / static_cast<double>(book.by_vm.size());
  for (auto& [mark, total] : sum) {
    total.flows = Scaled(total.flows, factor);
    total.waiting = Scaled(total.waiting, factor);
  }
  return sum;
}

}  // namespace knapweedlift
