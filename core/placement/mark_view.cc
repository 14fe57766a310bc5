#include "core/placement/mark_view.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace knapweedlift {
namespace {

void AddMark(MarkView& view, Mark mark, ServerIndex index) {
  const auto [found, added] = view.by_mark.try_emplace(mark, index);
  if (!added && found->second != index) found->second = kAmbiguousMark;
}

// Index of the server with this name; kNoServerIndex if there is none.
ServerIndex FindServerByName(const MarkView& view, const std::string& name) {
  const auto found = std::lower_bound(
      view.servers.begin(), view.servers.end(), name,
      [](const ServerTarget& server, const std::string& wanted) {
        return server.fact.name < wanted;
      });
  if (found == view.servers.end() || found->fact.name != name) {
    return kNoServerIndex;
  }
  return static_cast<ServerIndex>(found - view.servers.begin());
}

void AddRetiredMark(MarkView& view, const RetiredMark& retired) {
  const ServerIndex index = FindServerByName(view, retired.server);
  if (index == kNoServerIndex) {
    AddMark(view, retired.mark, kPreviousIncarnation);
    return;
  }
  const ServerFact& present = view.servers[index].fact;
  // An earlier entry is in force again.
  if (present.mark == retired.mark) return;
  AddMark(view, retired.mark, kPreviousIncarnation);
  const bool may_hold_flows = present.endpoint == retired.endpoint &&
                              present.service == retired.service;
  if (!may_hold_flows) return;
  const auto [found, added] = view.successors.try_emplace(retired.mark, index);
  if (!added && found->second != index) found->second = kAmbiguousMark;
}

uint32_t ServiceIndexOf(std::vector<std::string>& names,
                        const std::string& name) {
  const auto found = std::find(names.begin(), names.end(), name);
  const auto number = static_cast<uint32_t>(found - names.begin());
  if (found == names.end()) names.push_back(name);
  return number;
}

RouteTarget BuildRouteTarget(const RouteFact& route, ViewBuildState& state) {
  RouteTarget target{.quality = route.quality};
  uint64_t weight = 0;
  for (const RouteShare& share : route.shares) {
    weight += share.weight;
    target.services.push_back(
        {.cumulative_weight = weight,
         .service_index = ServiceIndexOf(state.service_names, share.service)});
  }
  return target;
}

// Flows per second that a cold server of a service can take; zero if it has no
// limit.
double ColdRateOf(const LimitsFact& limits, const std::string& service) {
  const auto found = std::find_if(
      limits.services.begin(), limits.services.end(),
      [&service](const auto& entry) { return entry.service == service; });
  return found == limits.services.end() ? 0 : found->cold_rate;
}

// Gives servers with a cold rate the allowances of the last view.
void AttachColdAllowances(MarkView& view, ViewBuildState& state) {
  std::erase_if(state.cold_allowances, [&view](const auto& item) {
    return !view.by_mark.contains(item.first);
  });
  for (ServerTarget& server : view.servers) {
    if (server.cold_rate <= 0) continue;
    auto& allowance = state.cold_allowances[server.fact.mark];
    if (allowance == nullptr) allowance = std::make_shared<ColdAllowance>();
    server.cold_allowance = allowance;
  }
}

RouteTable BuildRouteTable(const Registry& registry, ViewBuildState& state) {
  RouteTable table;
  table.by_address.reserve(registry.routes.size());
  for (const auto& [address, record] : registry.routes) {
    if (record.removed) continue;
    table.by_address[address] = BuildRouteTarget(record.fact, state);
  }
  table.routed_services.resize(state.service_names.size());
  for (const auto& [address, target] : table.by_address) {
    for (const WeightedService& service : target.services) {
      table.routed_services[service.service_index] = true;
    }
  }
  return table;
}

std::vector<std::string> EvacuatedDomains(const Registry& registry) {
  std::vector<std::string> domains;
  for (const auto& [domain, record] : registry.evacuations) {
    if (!record.removed) domains.push_back(domain);
  }
  return domains;
}

bool IsEvacuated(const MarkView& view, const std::string& domain) {
  return std::binary_search(view.evacuated_domains.begin(),
                            view.evacuated_domains.end(), domain);
}

TimePoint EndOfUnreliableListings(const Registry& registry) {
  if (registry.era_began_at == TimePoint{}) return {};
  return registry.era_began_at + registry.max_listing_time;
}

// Views share the route table because routes may be numerous and rarely change.
void UpdateRoutes(const Registry& registry, ViewBuildState& state) {
  const bool up_to_date = state.routes != nullptr &&
                          state.routes_version == registry.routes_version;
  if (up_to_date) return;
  state.routes =
      std::make_shared<const RouteTable>(BuildRouteTable(registry, state));
  state.routes_version = registry.routes_version;
}

// Flags servers whose address the platform has since listed for another server:
// an address belongs to the most recently listed one. Entries of services
// without a route are ignored, as any writer may have created them.
void FlagReplacedServers(MarkView& view) {
  struct Owner {
    Revision revision = 0;
    uint64_t started_at_ms = 0;
    Mark mark = kNoMark;
  };
  const std::vector<bool>& routed = view.routes->routed_services;
  absl::flat_hash_map<Endpoint, Owner> owners;
  for (const ServerTarget& server : view.servers) {
    const bool considered = !server.unlisted &&
                            server.service_index < routed.size() &&
                            routed[server.service_index];
    if (!considered) continue;
    Owner& owner = owners[server.fact.endpoint];
    // Several records have the first revision of an era.
    const bool is_later =
        std::tuple(server.revision, server.fact.started_at_ms) >
        std::tuple(owner.revision, owner.started_at_ms);
    if (owner.mark != kNoMark && !is_later) continue;
    owner = {.revision = server.revision,
             .started_at_ms = server.fact.started_at_ms,
             .mark = server.fact.mark};
  }
  for (ServerTarget& server : view.servers) {
    const auto found = owners.find(server.fact.endpoint);
    server.replaced =
        found != owners.end() && found->second.mark != server.fact.mark;
    if (server.replaced) server.eligible = false;
  }
}

}  // namespace

MarkView BuildMarkView(const Registry& registry, const HealthTable& health,
                       const std::string& domain, TimePoint now,
                       ViewBuildState& state) {
  MarkView view{.as_of = registry.as_of,
                .limits = registry.limits.limits,
                .evacuated_domains = EvacuatedDomains(registry),
                .listings_unreliable_until = EndOfUnreliableListings(registry)};
  view.servers.reserve(registry.servers.size());
  view.by_mark.reserve(registry.servers.size());
  for (const auto& [name, record] : registry.servers) {
    if (record.fact.mark == kNoMark) continue;
    AddMark(view, record.fact.mark, view.servers.size());
    auto& load = state.loads[record.fact.mark];
    if (load == nullptr) load = std::make_shared<LiveLoad>();
    const bool removal_held = record.removed && now < record.removal_held_until;
    if (removal_held) {
      view.valid_until = std::min(view.valid_until, record.removal_held_until);
    }
    const bool present = !record.removed || removal_held;
    const bool evacuated = IsEvacuated(view, record.fact.domain);
    view.servers.push_back(
        {.fact = record.fact,
         .revision = record.revision,
         .local = record.fact.domain == domain,
         .unlisted = record.removed,
         .removal_held = removal_held,
         .eligible = present && !record.fact.draining && !evacuated,
         .evacuated = evacuated,
         .cold_rate = ColdRateOf(registry.limits.limits, record.fact.service),
         .suspect = IsSuspect(health, record.fact.mark, now),
         .confirmed_down = IsConfirmedDown(health, record.fact.mark, now),
         .service_index =
             ServiceIndexOf(state.service_names, record.fact.service),
         .load = load});
  }
  for (const RetiredMark& retired : registry.retired_marks) {
    AddRetiredMark(view, retired);
  }
  std::erase_if(state.loads, [&view](const auto& item) {
    return !view.by_mark.contains(item.first);
  });
  for (ServerTarget& server : view.servers) {
    if (view.by_mark[server.fact.mark] == kAmbiguousMark) {
      server.eligible = false;
    }
  }
  AttachColdAllowances(view, state);
  UpdateRoutes(registry, state);
  view.routes = state.routes;
  FlagReplacedServers(view);
  while (state.admission.size() < state.service_names.size()) {
    state.admission.push_back(std::make_shared<AdmissionGate>());
  }
  view.admission = state.admission;
  view.eligible_servers.resize(state.service_names.size());
  for (ServerIndex i = 0; i < view.servers.size(); ++i) {
    const ServerTarget& server = view.servers[i];
    if (server.eligible) {
      view.eligible_servers[server.service_index].push_back(i);
    }
  }
  return view;
}

void UpdateColdClaims(const ColdElection& election, VmId self,
                      const ColdLimitSettings& settings, const MarkView& view,
                      TimePoint now) {
  for (const ServerTarget& server : view.servers) {
    if (server.cold_allowance == nullptr) continue;
    const bool owned = server.local && IsColdLimited(server, now) &&
                       OwnsColdServer(election, self, server.fact.mark, now);
    if (owned) {
      ExtendColdClaim(*server.cold_allowance,
                      ColdPaceOf(server.cold_rate, settings), now);
    } else {
      EndColdClaim(*server.cold_allowance);
    }
  }
}

ServerIndex FindServerByMark(const MarkView& view, Mark mark) {
  const auto found = view.by_mark.find(mark);
  return found == view.by_mark.end() ? kNoServerIndex : found->second;
}

ServerIndex FindServerOfFlow(const MarkView& view, Mark mark) {
  const ServerIndex index = FindServerByMark(view, mark);
  if (index != kPreviousIncarnation) return index;
  const auto found = view.successors.find(mark);
  return found == view.successors.end() ? index : found->second;
}

}  // namespace knapweedlift
