#include "core/admission/service_pressure.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace knapweedlift {
namespace {

using WaitingByMark = absl::flat_hash_map<Mark, uint32_t>;

struct DomainPressure {
  // Callers of this VM's domain, by its own flows and by the reports.
  double own = 0;
  double reported = 0;
  double slots = 0;
};

using DomainPressures = std::map<std::string_view, DomainPressure>;

uint32_t WaitingAt(const WaitingByMark& waiting, Mark mark) {
  const auto found = waiting.find(mark);
  return found == waiting.end() ? 0 : found->second;
}

WaitingByMark TotalWaiting(const WaitingByMark& own, const LoadReports& reports,
                           size_t peers) {
  WaitingByMark totals = own;
  for (const auto& [mark, load] : SumLoadReports(reports, peers)) {
    totals[mark] += load.waiting;
  }
  return totals;
}

double PerSlot(double waiting, double slots) {
  return std::min(kServerRequestsPerSlot, waiting / slots);
}

std::optional<ServicePressure> PressureOf(const DomainPressures& domains,
                                          std::string_view local_domain,
                                          const std::string& service,
                                          const LoadReports& reports) {
  if (domains.empty()) return std::nullopt;
  // A domain without servers has no capacity.
  ServicePressure pressure{.own = kServerRequestsPerSlot,
                           .reported = kServerRequestsPerSlot};
  for (const auto& [domain, load] : domains) {
    if (domain == local_domain) {
      pressure.own = PerSlot(load.own, load.slots);
      pressure.reported = PerSlot(load.reported, load.slots);
      continue;
    }
    const auto found = reports.domains.find({std::string(domain), service});
    if (found == reports.domains.end()) return std::nullopt;
    // The report of a domain covers only the flows of its own VMs.
    const double waiting = found->second.waiting + load.reported;
    pressure.remote = std::min(pressure.remote, PerSlot(waiting, load.slots));
  }
  return pressure;
}

}  // namespace

std::vector<std::optional<ServicePressure>> MeasureServicePressure(
    const MarkView& view, const std::vector<ServerLoad>& own,
    const LoadReports& reports, size_t peers) {
  std::vector<std::optional<ServicePressure>> pressures(
      view.eligible_servers.size());
  if (peers > 0 && reports.by_vm.empty()) return pressures;
  WaitingByMark own_waiting;
  for (const ServerLoad& load : own) own_waiting[load.mark] = load.waiting;
  const WaitingByMark totals = TotalWaiting(own_waiting, reports, peers);
  const auto vms = static_cast<double>(peers + 1);
  const auto sampled = static_cast<double>(reports.by_vm.size() + 1);
  std::vector<DomainPressures> services(pressures.size());
  std::vector<const std::string*> names(pressures.size());
  std::string_view local_domain;
  for (const ServerTarget& server : view.servers) {
    if (!server.eligible || server.suspect) continue;
    if (server.local) local_domain = server.fact.domain;
    names[server.service_index] = &server.fact.service;
    DomainPressure& sum = services[server.service_index][server.fact.domain];
    const double capacity = kServerRequestsPerSlot * server.fact.slots;
    // A single caller counts for several in an extrapolated sum, which exceeds
    // the capacity by as much.
    const Mark mark = server.fact.mark;
    sum.own += std::min(capacity + vms, vms * WaitingAt(own_waiting, mark));
    sum.reported +=
        std::min<double>(capacity + vms / sampled, WaitingAt(totals, mark));
    sum.slots += server.fact.slots;
  }
  for (size_t i = 0; i < services.size(); ++i) {
    if (names[i] == nullptr) continue;
    pressures[i] = PressureOf(services[i], local_domain, *names[i], reports);
  }
  return pressures;
}

}  // namespace knapweedlift
