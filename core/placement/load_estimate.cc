#include "core/placement/load_estimate.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "absl/container/flat_hash_map.h"

namespace knapweedlift {
namespace {

// Assumed until enough flows were seen.
constexpr double kInitialActivity = 0.1;
constexpr double kActivitySmoothing = 0.02;
// Fewer flows do not give a meaningful sample of the activity.
constexpr uint32_t kMinFlowsForActivity = 8;
// Longest warm-up of a server after its start.
constexpr double kMaxWarmUpMs = 2'000;

struct ServiceLoad {
  // Null if the failure domain has no server of the service.
  const ServerFact* sample_server = nullptr;
  uint32_t flows = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
  // Of the servers in other failure domains.
  double remote_waiting = 0;
  uint32_t remote_slots = 0;
  double activity = kInitialActivity;
};

using LoadsByMark = absl::flat_hash_map<Mark, ServerLoad>;
using DomainLoads =
    absl::flat_hash_map<std::pair<std::string_view, std::string_view>,
                        const DomainLoad*>;

// Load that all VMs of the failure domain place on each server.
LoadsByMark TotalLoads(const std::vector<ServerLoad>& own,
                       const LoadReports& reports, size_t peers) {
  LoadsByMark totals = SumLoadReports(reports, peers);
  for (const ServerLoad& load : own) {
    ServerLoad& total = totals[load.mark];
    total.flows += load.flows;
    total.waiting += load.waiting;
  }
  return totals;
}

ServerLoad LoadOf(const LoadsByMark& totals, Mark mark) {
  const auto found = totals.find(mark);
  return found == totals.end() ? ServerLoad{} : found->second;
}

// Load on the servers of the VM's own failure domain, indexed by service.
std::vector<ServiceLoad> SumLoadsByService(const MarkView& view,
                                           const LoadsByMark& totals) {
  std::vector<ServiceLoad> sums(view.eligible_servers.size());
  for (const ServerTarget& server : view.servers) {
    if (!server.eligible) continue;
    ServiceLoad& sum = sums[server.service_index];
    if (!server.local) {
      if (server.suspect) continue;
      sum.remote_waiting += server.load->waiting.load();
      sum.remote_slots += server.fact.slots;
      continue;
    }
    const ServerLoad total = LoadOf(totals, server.fact.mark);
    sum.sample_server = &server.fact;
    sum.flows += total.flows;
    sum.waiting += total.waiting;
    sum.slots += server.fact.slots;
  }
  return sums;
}

// Updates the moving average of each service's activity and copies it to
// `sums`.
void UpdateActivity(LoadEstimate& estimate, const MarkView& view,
                    std::vector<ServiceLoad>& sums) {
  for (const ServiceLoad& sum : sums) {
    if (sum.sample_server == nullptr || sum.flows < kMinFlowsForActivity) {
      continue;
    }
    auto [found, added] = estimate.activity.try_emplace(
        sum.sample_server->service, kInitialActivity);
    const double share = static_cast<double>(sum.waiting) / sum.flows;
    found->second += kActivitySmoothing * (share - found->second);
  }
  std::vector<bool> assigned(sums.size());
  for (const ServerTarget& server : view.servers) {
    if (assigned[server.service_index]) continue;
    assigned[server.service_index] = true;
    const auto found = estimate.activity.find(server.fact.service);
    if (found == estimate.activity.end()) continue;
    sums[server.service_index].activity = found->second;
  }
}

// Requests in progress at a server plus those that its flows are expected to
// send.
double ExpectedRequests(const ServerLoad& load, double activity) {
  return load.waiting + load.flows * activity;
}

// Share of a server of another failure domain in its domain's expected
// requests, in proportion to its slots.
double ExpectedFromDomainLoad(const ServerFact& server,
                              const DomainLoads& domains, double activity) {
  const auto found = domains.find({server.domain, server.service});
  if (found == domains.end() || found->second->slots == 0) return 0;
  const DomainLoad& load = *found->second;
  return ExpectedRequests({.flows = load.flows, .waiting = load.waiting},
                          activity) *
         server.slots / load.slots;
}

// Implements slow start: a cold server counts as if it already had part of its
// fair share of requests. That part shrinks to zero during the warm-up, so that
// the server receives new flows at a rising rate.
double ExpectedDuringWarmUp(const ServerFact& server, const ServiceLoad& sum,
                            TimePoint now) {
  if (now >= server.cold_until || sum.slots == 0) return 0;
  const double left =
      std::min(1.0, static_cast<double>((server.cold_until - now).count()) /
                        kMaxWarmUpMs);
  return left *
         ExpectedRequests({.flows = sum.flows, .waiting = sum.waiting},
                          sum.activity) *
         server.slots / sum.slots;
}

// True if the slots of the service are in use in all failure domains.
bool IsSaturated(const ServiceLoad& sum) {
  return sum.waiting > 0 && sum.waiting >= kSaturatedPressure * sum.slots &&
         sum.remote_waiting >= kSaturatedPressure * sum.remote_slots;
}

}  // namespace

std::vector<DomainLoad> UpdateLoadEstimate(LoadEstimate& estimate,
                                           const MarkView& view,
                                           const std::vector<ServerLoad>& own,
                                           const LoadReports& reports,
                                           size_t peers, TimePoint now) {
  const LoadsByMark totals = TotalLoads(own, reports, peers);
  std::vector<ServiceLoad> sums = SumLoadsByService(view, totals);
  UpdateActivity(estimate, view, sums);
  absl::flat_hash_map<Mark, uint32_t> own_waiting;
  for (const ServerLoad& load : own) own_waiting[load.mark] = load.waiting;
  DomainLoads domains;
  for (const auto& [key, load] : reports.domains) domains[key] = &load;
  for (const ServerTarget& server : view.servers) {
    const ServiceLoad& sum = sums[server.service_index];
    const ServerLoad total = LoadOf(totals, server.fact.mark);
    double expected = ExpectedRequests(total, sum.activity);
    double waiting = total.waiting;
    if (server.local && server.eligible && IsSaturated(sum)) {
      // A saturated server answers more requests between two load reports than
      // it holds. Reports then do not tell which server has the shorter queue,
      // and all VMs would fill the same ones.
      const auto found = own_waiting.find(server.fact.mark);
      const double own_callers = found == own_waiting.end() ? 0 : found->second;
      const double share = static_cast<double>(server.fact.slots) / sum.slots;
      expected = ExpectedRequests({.flows = sum.flows, .waiting = sum.waiting},
                                  sum.activity) *
                     share +
                 own_callers;
      waiting = std::max(sum.waiting * share, own_callers);
    }
    if (server.local) {
      expected =
          std::max(expected, ExpectedDuringWarmUp(server.fact, sum, now));
    } else {
      expected += ExpectedFromDomainLoad(server.fact, domains, sum.activity);
      waiting += ExpectedFromDomainLoad(server.fact, domains, 0);
    }
    server.load->waiting.store(waiting);
    server.load->expected_requests.store(expected);
  }
  std::vector<DomainLoad> loads;
  for (const ServiceLoad& sum : sums) {
    if (sum.sample_server == nullptr) continue;
    loads.push_back({.domain = sum.sample_server->domain,
                     .service = sum.sample_server->service,
                     .flows = sum.flows,
                     .waiting = sum.waiting,
                     .slots = sum.slots,
                     .measured_at = now});
  }
  return loads;
}

}  // namespace knapweedlift
