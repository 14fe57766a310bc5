#include "servers/marks/view_diff.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

namespace knapweedlift {
namespace {

// Names listed per field; the rest are counted.
constexpr size_t kMaxListedNames = 8;

enum class ServerLifecycle : uint8_t { kAbsent, kReady, kDraining, kRemoved };

ServerLifecycle LifecycleOf(const ServerTarget& server) {
  if (server.unlisted) return ServerLifecycle::kRemoved;
  return server.fact.draining ? ServerLifecycle::kDraining
                              : ServerLifecycle::kReady;
}

ServerLifecycle PreviousLifecycle(const MarkView* before, Mark mark) {
  if (before == nullptr) return ServerLifecycle::kAbsent;
  const ServerIndex index = FindServerByMark(*before, mark);
  return index < before->servers.size() ? LifecycleOf(before->servers[index])
                                        : ServerLifecycle::kAbsent;
}

void AddNameList(const char* field, const std::vector<std::string>& names,
                 nlohmann::json& fields) {
  if (names.empty()) return;
  const size_t listed = std::min(names.size(), kMaxListedNames);
  fields[field] =
      std::vector<std::string>(names.begin(), names.begin() + listed);
  if (names.size() > listed) {
    fields[std::string(field) + "_more"] = names.size() - listed;
  }
}

size_t CountRoutesMissingFrom(const MarkView& view, const MarkView& other) {
  if (view.routes == other.routes) return 0;
  const auto& targets = view.routes->by_address;
  return std::count_if(targets.begin(), targets.end(),
                       [&other](const auto& item) {
                         return !other.routes->by_address.contains(item.first);
                       });
}

void AddRouteCounts(const MarkView* before, const MarkView& after,
                    nlohmann::json& fields) {
  const size_t added = before == nullptr
                           ? after.routes->by_address.size()
                           : CountRoutesMissingFrom(after, *before);
  const size_t removed =
      before == nullptr ? 0 : CountRoutesMissingFrom(*before, after);
  if (added > 0) fields["routes_added"] = added;
  if (removed > 0) fields["routes_removed"] = removed;
}

// Failure domains that are evacuated in `view` and not in `other`, which may be
// null.
std::vector<std::string> DomainsEvacuatedOnlyIn(const MarkView* view,
                                                const MarkView* other) {
  if (view == nullptr) return {};
  if (other == nullptr) return view->evacuated_domains;
  std::vector<std::string> domains;
  std::set_difference(
      view->evacuated_domains.begin(), view->evacuated_domains.end(),
      other->evacuated_domains.begin(), other->evacuated_domains.end(),
      std::back_inserter(domains));
  return domains;
}

}  // namespace

nlohmann::json DescribeViewChange(const MarkView* before,
                                  const MarkView& after) {
  std::vector<std::string> added;
  std::vector<std::string> draining;
  std::vector<std::string> removed;
  std::vector<std::string> held;
  for (const ServerTarget& server : after.servers) {
    const ServerLifecycle lifecycle = LifecycleOf(server);
    const ServerLifecycle previous =
        PreviousLifecycle(before, server.fact.mark);
    if (lifecycle == previous) continue;
    if (lifecycle == ServerLifecycle::kReady) added.push_back(server.fact.name);
    if (lifecycle == ServerLifecycle::kDraining) {
      draining.push_back(server.fact.name);
    }
    if (lifecycle != ServerLifecycle::kRemoved) continue;
    (server.removal_held ? held : removed).push_back(server.fact.name);
  }
  nlohmann::json fields = {{"revision", after.as_of.number},
                           {"era", after.as_of.era},
                           {"config_version", after.limits.version}};
  AddNameList("servers_ready", added, fields);
  AddNameList("servers_leaving", draining, fields);
  AddNameList("servers_gone", removed, fields);
  AddNameList("servers_held", held, fields);
  AddRouteCounts(before, after, fields);
  AddNameList("evacuated", DomainsEvacuatedOnlyIn(&after, before), fields);
  AddNameList("evacuations_ended", DomainsEvacuatedOnlyIn(before, &after),
              fields);
  return fields;
}

std::vector<std::string> UnknownEvacuatedDomains(const MarkView* before,
                                                 const MarkView& after) {
  std::vector<std::string> domains = DomainsEvacuatedOnlyIn(&after, before);
  std::erase_if(domains, [&after](const std::string& domain) {
    return std::any_of(after.servers.begin(), after.servers.end(),
                       [&domain](const ServerTarget& server) {
                         return !server.unlisted &&
                                server.fact.domain == domain;
                       });
  });
  return domains;
}

}  // namespace knapweedlift
