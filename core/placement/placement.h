#ifndef KNAPWEEDLIFT_CORE_PLACEMENT_PLACEMENT_H_
#define KNAPWEEDLIFT_CORE_PLACEMENT_PLACEMENT_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/placement/mark_view.h"
#include "core/time.h"

namespace knapweedlift {

// A server whose cost was compared.
struct PlacementCandidate {
  ServerIndex server = kNoServerIndex;
  double cost = 0;

  auto operator<=>(const PlacementCandidate&) const = default;
};

// The steps of a placement, for explanations.
struct PlacementTrace {
  // The service that the flow's hash selects.
  std::optional<uint32_t> service_index;
  std::vector<PlacementCandidate> candidates;
  // Cold servers that were left out, because this VM has no token for them.
  std::vector<ServerIndex> without_token;
  ServerIndex selected = kNoServerIndex;

  auto operator<=>(const PlacementTrace&) const = default;
};
// True if the server's slots and queue are in use.
bool IsServerFull(const ServerTarget& server);

// Returns the service of a route that a new flow goes to, or null if the route
// has none.
const WeightedService* ChooseService(const RouteTarget& route,
                                     uint64_t fingerprint);

// Selects the server for a new flow. Returns kNoServerIndex if none is
// eligible. A server whose slots and queue are in use is selected only if all
// others are full or suspect. All VMs of a failure domain with equal views and
// loads select the same server: equal costs are decided by rendezvous hashing.
// A cold server is left out, and `skipped_cold` set unless null, if this VM has
// no token for it. The caller takes the token, see DecideAndTakeToken.
ServerIndex PlaceFlow(const MarkView& view, const RouteTarget& route,
                      uint64_t fingerprint, TimePoint now,
                      bool* skipped_cold = nullptr);

// The same, and records the steps in `trace`.
ServerIndex PlaceFlow(const MarkView& view, const RouteTarget& route,
                      uint64_t fingerprint, TimePoint now, bool* skipped_cold,
                      PlacementTrace& trace);

// Counts a newly placed flow until the next refresh of the load.
void AddPlacedFlow(LiveLoad& load);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_PLACEMENT_PLACEMENT_H_
