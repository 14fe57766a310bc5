#ifndef KNAPWEEDLIFT_CORE_PLACEMENT_MARK_VIEW_H_
#define KNAPWEEDLIFT_CORE_PLACEMENT_MARK_VIEW_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/health/server_health.h"
#include "core/placement/load.h"
#include "core/registry/registry.h"

namespace knapweedlift {

// Index of a server in a view.
using ServerIndex = uint32_t;

inline constexpr ServerIndex kNoServerIndex = 0xFFFFFFFF;
// The mark belonged to a former life of a server.
inline constexpr ServerIndex kPreviousIncarnation = 0xFFFFFFFE;
// Two servers share the mark.
inline constexpr ServerIndex kAmbiguousMark = 0xFFFFFFFD;

// A backend server as the packet path sees it.
struct ServerTarget {
  ServerFact fact;
  // The last change of the fact.
  Revision revision = 0;
  // It is in the VM's own failure domain.
  bool local = false;
  // The platform no longer lists it; its flows may go on.
  bool unlisted = false;
  // It is gone since an outage of the platform and may come back.
  bool removal_held = false;
  // The platform has listed another server at its address since.
  bool replaced = false;
  // It may be given new flows.
  bool eligible = false;
  // It does not answer: new flows go elsewhere where that is possible.
  bool suspect = false;
  // It does not answer, and other servers do: its flows are ended.
  bool confirmed_down = false;
  // Tells the service in metrics.
  uint32_t service_index = 0;
  // Outlives the view. Never null.
  std::shared_ptr<LiveLoad> load;

  auto operator<=>(const ServerTarget&) const = default;
};

// One of the services that a route's new flows go to.
struct WeightedService {
  // Sum of the weights up to and with this branch.
  uint64_t cumulative_weight = 0;
  // Index into MarkView::eligible_servers.
  uint32_t service_index = 0;

  auto operator<=>(const WeightedService&) const = default;
};

struct RouteTarget {
  std::vector<WeightedService> services;

  auto operator<=>(const RouteTarget&) const = default;
};

// Where new flows go, by address.
struct RouteTable {
  absl::flat_hash_map<Endpoint, RouteTarget> by_address;
  // By number: true where some route leads to the service.
  std::vector<bool> routed_services;

  bool operator==(const RouteTable&) const = default;
};

// What the packet path needs of a registry. Immutable once published.
struct MarkView {
  Revision as_of = 0;
  std::vector<ServerTarget> servers;
  absl::flat_hash_map<Mark, ServerIndex> by_mark;
  // Servers that may be given new flows, by the number of their service.
  std::vector<std::vector<ServerIndex>> eligible_servers;
  // Views share it until a route changes. Never null.
  std::shared_ptr<const RouteTable> routes;
  LimitsFact limits;
  // When the first hold of a server ends, and with it this view.
  TimePoint valid_until = TimePoint::max();
};

using MarkViewPtr = std::shared_ptr<const MarkView>;

// What passes from one view to the next.
struct ViewBuildState {
  LiveLoads loads;
  // Names of services by the numbers that metrics use; a name keeps its number.
  std::vector<std::string> service_names;
  // The last view's routes, and the version of the registry's routes in them.
  std::shared_ptr<const RouteTable> routes;
  uint64_t routes_version = 0;
};

// The view of a VM in failure domain `domain`.
MarkView BuildMarkView(const Registry& registry, const HealthTable& health,
                       const std::string& domain, TimePoint now,
                       ViewBuildState& state);

// The server that a mark names, or one of the special indexes above.
ServerIndex FindServerByMark(const MarkView& view, Mark mark);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_PLACEMENT_MARK_VIEW_H_
