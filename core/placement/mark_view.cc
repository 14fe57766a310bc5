#include "core/placement/mark_view.h"

#include <algorithm>
#include <utility>

namespace knapweedlift {
namespace {

void AddMark(MarkView& view, Mark mark, ServerIndex index) {
  const auto [found, added] = view.by_mark.try_emplace(mark, index);
  if (!added && found->second != index) found->second = kSharedMark;
}

uint32_t NumberOfService(std::vector<std::string>& names,
                         const std::string& name) {
  const auto found = std::find(names.begin(), names.end(), name);
  const auto number = static_cast<uint32_t>(found - names.begin());
  if (found == names.end()) names.push_back(name);
  return number;
}

RouteTarget TargetOf(const RouteFact& route, ViewMemory& memory) {
  RouteTarget target;
  uint64_t weight = 0;
  for (const RouteShare& share : route.shares) {
    weight += share.weight;
    target.branches.push_back(
        {.weight_end = weight,
         .service = NumberOfService(memory.services, share.service)});
  }
  return target;
}

RouteTable MakeRouteTable(const Registry& registry, ViewMemory& memory) {
  RouteTable table;
  table.targets.reserve(registry.routes.size());
  for (const auto& [address, record] : registry.routes) {
    if (record.gone) continue;
    table.targets[address] = TargetOf(record.fact, memory);
  }
  table.routed_services.resize(memory.services.size());
  for (const auto& [address, target] : table.targets) {
    for (const RouteBranch& branch : target.branches) {
      table.routed_services[branch.service] = true;
    }
  }
  return table;
}

// Routes change seldom and may be many, so that views share them.
void RenewRoutes(const Registry& registry, ViewMemory& memory) {
  const bool same = memory.routes != nullptr &&
                    memory.routes_version == registry.routes_version;
  if (same) return;
  memory.routes =
      std::make_shared<const RouteTable>(MakeRouteTable(registry, memory));
  memory.routes_version = registry.routes_version;
}

// An address belongs to the server that the platform listed there last. Entries
// of services that no route names may be anything.
void NoteReplaced(MarkView& view) {
  struct Owner {
    Revision revision = 0;
    Mark mark = kNoMark;
  };
  const std::vector<bool>& routed = view.routes->routed_services;
  absl::flat_hash_map<Endpoint, Owner> owners;
  for (const ServerTarget& server : view.servers) {
    const bool counts = !server.gone && server.service_number < routed.size() &&
                        routed[server.service_number];
    if (!counts) continue;
    Owner& owner = owners[server.fact.endpoint];
    if (server.revision <= owner.revision) continue;
    owner = {.revision = server.revision, .mark = server.fact.mark};
  }
  for (ServerTarget& server : view.servers) {
    const auto found = owners.find(server.fact.endpoint);
    server.replaced =
        found != owners.end() && found->second.mark != server.fact.mark;
    if (server.replaced) server.placeable = false;
  }
}

}  // namespace

MarkView MakeMarkView(const Registry& registry, const HealthTable& health,
                      const std::string& domain, TimePoint now,
                      ViewMemory& memory) {
  MarkView view{.as_of = registry.as_of, .limits = registry.limits.limits};
  for (const FormerLife& life : registry.former_lives) {
    AddMark(view, life.mark, kFormerLife);
  }
  view.servers.reserve(registry.servers.size());
  view.by_mark.reserve(registry.servers.size());
  for (const auto& [name, record] : registry.servers) {
    if (record.fact.mark == kNoMark) continue;
    AddMark(view, record.fact.mark, view.servers.size());
    auto& load = memory.loads[record.fact.mark];
    if (load == nullptr) load = std::make_shared<LiveLoad>();
    const bool held = record.gone && now < record.held_until;
    if (held) view.valid_until = std::min(view.valid_until, record.held_until);
    const bool there = !record.gone || held;
    view.servers.push_back({.fact = record.fact,
                            .revision = record.revision,
                            .local = record.fact.domain == domain,
                            .gone = record.gone,
                            .held = held,
                            .placeable = there && !record.fact.draining,
                            .suspect = IsSuspect(health, record.fact.mark, now),
                            .ended = MayEndFlows(health, record.fact.mark),
                            .service_number = NumberOfService(
                                memory.services, record.fact.service),
                            .load = load});
  }
  std::erase_if(memory.loads, [&view](const auto& item) {
    return !view.by_mark.contains(item.first);
  });
  for (ServerTarget& server : view.servers) {
    if (view.by_mark[server.fact.mark] == kSharedMark) server.placeable = false;
  }
  RenewRoutes(registry, memory);
  view.routes = memory.routes;
  NoteReplaced(view);
  view.placeable.resize(memory.services.size());
  for (ServerIndex i = 0; i < view.servers.size(); ++i) {
    const ServerTarget& server = view.servers[i];
    if (server.placeable) view.placeable[server.service_number].push_back(i);
  }
  return view;
}

ServerIndex ServerOfMark(const MarkView& view, Mark mark) {
  const auto found = view.by_mark.find(mark);
  return found == view.by_mark.end() ? kNoServerIndex : found->second;
}

}  // namespace knapweedlift
