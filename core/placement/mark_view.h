#ifndef KNAPWEEDLIFT_CORE_PLACEMENT_MARK_VIEW_H_
#define KNAPWEEDLIFT_CORE_PLACEMENT_MARK_VIEW_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/admission/admission.h"
#include "core/health/server_health.h"
#include "core/placement/cold_allowance.h"
#include "core/placement/load.h"
#include "core/registry/registry.h"

namespace knapweedlift {

// Admission of each service, indexed by service. Shared between views.
using AdmissionGates = std::vector<std::shared_ptr<AdmissionGate>>;

// Index into MarkView::servers, or one of the special values below.
using ServerIndex = uint32_t;

inline constexpr ServerIndex kNoServerIndex = 0xFFFFFFFF;
// The mark belongs to a previous incarnation of a server.
inline constexpr ServerIndex kPreviousIncarnation = 0xFFFFFFFE;
// Several servers share the mark.
inline constexpr ServerIndex kAmbiguousMark = 0xFFFFFFFD;

// A backend server as seen by the packet path.
struct ServerTarget {
  ServerFact fact;
  // Revision of the last change of the fact.
  Revision revision = 0;
  // The server is in the VM's own failure domain.
  bool local = false;
  // The platform no longer lists the server; its flows may continue.
  bool unlisted = false;
  // The server is unlisted since a platform outage and may be listed again, so
  // its removal is held for a while.
  bool removal_held = false;
  // The platform has since listed another server at the same address.
  bool replaced = false;
  // New flows may be placed on the server.
  bool eligible = false;
  // The server's failure domain is evacuated: it keeps its flows and gets no
  // new ones.
  bool evacuated = false;
  // Flows per second that the server can take while it is cold; zero if it has
  // no limit.
  double cold_rate = 0;
  // The server does not respond: new flows go to other servers if possible.
  bool suspect = false;
  // The server does not respond while others do: its flows are reset.
  bool confirmed_down = false;
  // Identifies the service in metrics and in MarkView::eligible_servers.
  uint32_t service_index = 0;
  // Shared with later views. Never null.
  std::shared_ptr<LiveLoad> load;
  // Shared with later views. Null if the cold server has no limit.
  std::shared_ptr<ColdAllowance> cold_allowance;

  auto operator<=>(const ServerTarget&) const = default;
};

// Returns true if the server would get new flows if its failure domain were not
// evacuated. An evacuation says nothing about the health of servers, so that
// health checks judge by these servers too.
inline bool IsInUse(const ServerTarget& server) {
  const bool kept_out = server.evacuated && !server.unlisted &&
                        !server.fact.draining && !server.replaced;
  return server.eligible || kept_out;
}

// One of the services that a route distributes its new flows to.
struct WeightedService {
  // Sum of the weights up to and including this service.
  uint64_t cumulative_weight = 0;
  // Index into MarkView::eligible_servers.
  uint32_t service_index = 0;

  auto operator<=>(const WeightedService&) const = default;
};

struct RouteTarget {
  std::vector<WeightedService> services;
  RouteQuality quality;

  auto operator<=>(const RouteTarget&) const = default;
};

// Services that receive new flows, by destination address.
struct RouteTable {
  absl::flat_hash_map<Endpoint, RouteTarget> by_address;
  // Indexed by service: true if some route leads to it.
  std::vector<bool> routed_services;

  bool operator==(const RouteTable&) const = default;
};

// Snapshot of a registry for the packet path. Immutable once published.
struct MarkView {
  Revision as_of = 0;
  std::vector<ServerTarget> servers;
  absl::flat_hash_map<Mark, ServerIndex> by_mark;
  // Restarted servers by the marks of their previous incarnations, as far as
  // they may hold flows with such a mark.
  absl::flat_hash_map<Mark, ServerIndex> successors;
  // Servers on which new flows may be placed, indexed by service.
  std::vector<std::vector<ServerIndex>> eligible_servers;
  // Shared between views until a route changes. Never null.
  std::shared_ptr<const RouteTable> routes;
  LimitsFact limits;
  // In ascending order, also those without servers.
  std::vector<std::string> evacuated_domains;
  // The store has returned from an older copy, and until then it may list
  // servers that have ended.
  TimePoint listings_unreliable_until;
  AdmissionGates admission;
  // When the first removal hold expires. The view is out of date from then on.
  TimePoint valid_until = TimePoint::max();
};

using MarkViewPtr = std::shared_ptr<const MarkView>;

// State that is carried over from one view to the next.
struct ViewBuildState {
  LiveLoads loads;
  ColdAllowances cold_allowances;
  AdmissionGates admission;
  // Service names by index. A name keeps its index, since metrics refer to it.
  std::vector<std::string> service_names;
  // Routes of the last view, and the registry's version of them.
  std::shared_ptr<const RouteTable> routes;
  uint64_t routes_version = 0;
};

// Builds the view of a VM in failure domain `domain`.
MarkView BuildMarkView(const Registry& registry, const HealthTable& health,
                       const std::string& domain, TimePoint now,
                       ViewBuildState& state);

// True if the store's listing of the server shows that it lives.
inline bool IsListedAsAlive(const MarkView& view, const ServerTarget& server,
                            TimePoint now) {
  return !server.unlisted && now >= view.listings_unreliable_until;
}

// True if a new flow on the server needs a token of its allowance.
inline bool IsColdLimited(const ServerTarget& server, TimePoint now) {
  return server.cold_allowance != nullptr && now < server.fact.cold_until;
}

// Extends or ends this VM's claims to the cold servers of its failure domain.
void UpdateColdClaims(const ColdElection& election, VmId self,
                      const ColdLimitSettings& settings, const MarkView& view,
                      TimePoint now);

// Returns the server with `mark`, or one of the special indexes above.
ServerIndex FindServerByMark(const MarkView& view, Mark mark);

// Returns the server that may hold a flow with `mark`: the one that
// FindServerByMark returns or, for the mark of a previous incarnation, the
// restarted server. Flows of the previous incarnation, which the server does
// not hold, it resets itself. The result is kPreviousIncarnation if the server
// cannot have accepted flows with the mark, since they were sent to another
// address, or must not keep them, since they are of another service.
ServerIndex FindServerOfFlow(const MarkView& view, Mark mark);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_PLACEMENT_MARK_VIEW_H_
