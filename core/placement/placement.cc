#include "core/placement/placement.h"

#include "core/flow/flow_key.h"

namespace knapweedlift {
namespace {

// Keeps the choice of a branch independent of the choice of a server.
constexpr uint64_t kServiceChoiceSalt = 0xB7A9C4D1;
// How much slower a server is after its start.
constexpr double kWarmUpSlowdown = 1.6;
// Requests at a slot that a server of another failure domain must have fewer
// than the best one of the own: flows across the border end in a split.
constexpr double kRemotePenalty = 2;
// A server that does not answer comes after all that do.
constexpr double kSuspectPenalty = 1e6;

const WeightedService* ChooseService(const RouteTarget& route,
                                     uint64_t fingerprint) {
  if (route.services.empty()) return nullptr;
  const uint64_t point = MixHash(fingerprint, kServiceChoiceSalt) %
                         route.services.back().cumulative_weight;
  for (const WeightedService& service : route.services) {
    if (point < service.cumulative_weight) return &service;
  }
  return nullptr;
}

// How much worse a server is for a new flow; the smallest wins.
double PlacementCost(const ServerTarget& server, TimePoint now) {
  double capacity = server.fact.slots;
  if (now < server.fact.cold_until) capacity /= kWarmUpSlowdown;
  const double expected =
      server.load->expected_requests.load(std::memory_order_relaxed);
  double cost = (expected + 1) / capacity;
  if (!server.local) cost += kRemotePenalty;
  if (server.suspect) cost += kSuspectPenalty;
  return cost;
}

}  // namespace

ServerIndex PlaceFlow(const MarkView& view, const RouteTarget& route,
                      uint64_t fingerprint, TimePoint now) {
  const WeightedService* service = ChooseService(route, fingerprint);
  if (service == nullptr) return kNoServerIndex;
  ServerIndex best = kNoServerIndex;
  double best_cost = 0;
  uint64_t best_score = 0;
  for (const ServerIndex index :
       view.eligible_servers[service->service_index]) {
    const ServerTarget& server = view.servers[index];
    const double cost = PlacementCost(server, now);
    const uint64_t score = MixHash(fingerprint, server.fact.mark);
    const bool better = best == kNoServerIndex || cost < best_cost ||
                        (cost == best_cost && score > best_score);
    if (!better) continue;
    best = index;
    best_cost = cost;
    best_score = score;
  }
  return best;
}

void AddPlacedFlow(LiveLoad& load) {
  // A lost addition is made up for when the load is renewed.
  load.expected_requests.store(load.expected_requests.load() + 1);
}

}  // namespace knapweedlift
