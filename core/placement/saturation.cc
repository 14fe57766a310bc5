#include "core/placement/saturation.h"

namespace knapweedlift {
namespace {

struct ServiceState {
  size_t servers = 0;
  // Servers that may be full.
  size_t full = 0;
  // Servers with kSaturatedOwnCallers.
  size_t awaited = 0;
  double slots = 0;
  // This VM's callers that await a response.
  double waiting = 0;
};

// Sums the usable servers of the judged server's service, without itself.
ServiceState SumOthers(
    const MarkView& view, const ServerTarget& judged, bool same_domain,
    const absl::flat_hash_map<Mark, ServerTraffic>& traffic) {
  ServiceState sum;
  for (const ServerTarget& other : view.servers) {
    const bool counts =
        other.service_index == judged.service_index &&
        (!same_domain || other.fact.domain == judged.fact.domain) &&
        other.fact.mark != judged.fact.mark && IsInUse(other) && !other.suspect;
    if (!counts) continue;
    ++sum.servers;
    sum.slots += other.fact.slots;
    const double expected =
        other.load->expected_requests.load(std::memory_order_relaxed);
    if (expected >= kSaturatedRequestsPerSlot * other.fact.slots) ++sum.full;
    const auto found = traffic.find(other.fact.mark);
    if (found == traffic.end()) continue;
    sum.waiting += found->second.waiting;
    if (found->second.waiting >= kSaturatedOwnCallers) ++sum.awaited;
  }
  return sum;
}

}  // namespace

bool IsServiceSaturated(const MarkView& view, ServerIndex server,
                        const absl::flat_hash_map<Mark, ServerTraffic>& traffic,
                        size_t vms) {
  const ServerTarget& judged = view.servers[server];
  ServiceState others = SumOthers(view, judged, true, traffic);
  if (others.servers == 0) others = SumOthers(view, judged, false, traffic);
  const bool callers_show_it =
      vms >= kMinVmsToSumOwnCallers
          ? others.waiting * static_cast<double>(vms) >=
                kSaturatedCallersPerSlot * others.slots
          : 2 * others.awaited > others.servers;
  return others.servers == 0 || 2 * others.full > others.servers ||
         callers_show_it;
}

}  // namespace knapweedlift
