#include "core/placement/mark_view.h"

#include <algorithm>
#include <set>
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

std::set<std::string> RoutedServices(const Registry& registry) {
  std::set<std::string> services;
  for (const auto& [address, record] : registry.routes) {
    if (record.gone) continue;
    for (const RouteShare& share : record.fact.shares) {
      services.insert(share.service);
    }
  }
  return services;
}

// An address belongs to the server that the platform listed there last. Entries
// of services that no route names may be anything.
void NoteReplaced(const Registry& registry, MarkView& view) {
  struct Owner {
    Revision revision = 0;
    Mark mark = kNoMark;
  };
  const std::set<std::string> services = RoutedServices(registry);
  absl::flat_hash_map<Endpoint, Owner> owners;
  for (const auto& [name, record] : registry.servers) {
    if (record.gone || !services.contains(record.fact.service)) continue;
    Owner& owner = owners[record.fact.endpoint];
    if (record.revision > owner.revision) {
      owner = {.revision = record.revision, .mark = record.fact.mark};
    }
  }
  for (ServerTarget& server : view.servers) {
    const auto found = owners.find(server.fact.endpoint);
    server.replaced =
        found != owners.end() && found->second.mark != server.fact.mark;
    if (server.replaced) server.placeable = false;
  }
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
  NoteReplaced(registry, view);
  view.routes.reserve(registry.routes.size());
  for (const auto& [address, record] : registry.routes) {
    if (record.gone) continue;
    view.routes[address] = TargetOf(record.fact, memory);
  }
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
