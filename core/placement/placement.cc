#include "core/placement/placement.h"

#include "core/flow/flow_key.h"

namespace knapweedlift {
namespace {

// Makes the choice of a service independent of the choice of a server.
constexpr uint64_t kServiceChoiceSalt = 0xB7A9C4D1;
// Factor by which a server is slower during its warm-up.
constexpr double kWarmUpSlowdown = 1.6;
// Expected requests per slot by which a server of another failure domain must
// undercut the best local one: flows between domains break in a network split.
constexpr double kRemotePenalty = 2;
// Ranks full servers behind all others, also remote ones, and suspects behind
// full ones.
constexpr double kFullPenalty = 1e3;
constexpr double kSuspectPenalty = 1e6;

// Cost of placing a new flow on a server. The lowest cost wins.
double PlacementCost(const ServerTarget& server, TimePoint now) {
  double capacity = server.fact.slots;
  if (now < server.fact.cold_until) capacity /= kWarmUpSlowdown;
  const double expected =
      server.load->expected_requests.load(std::memory_order_relaxed);
  const bool explore = server.load->explore.load(std::memory_order_relaxed);
  const double slowdown = server.load->slowdown.load(std::memory_order_relaxed);
  double cost = explore ? 0 : (expected + 1) / capacity * slowdown;
  if (!server.local) cost += kRemotePenalty;
  if (IsServerFull(server)) cost += kFullPenalty;
  if (server.suspect) cost += kSuspectPenalty;
  return cost;
}

}  // namespace

bool IsServerFull(const ServerTarget& server) {
  return server.load->waiting.load(std::memory_order_relaxed) >=
         kServerRequestsPerSlot * server.fact.slots;
}

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

namespace {

// Without a trace, `trace` is null and the compiler leaves out its steps.
template <bool kTraced>
ServerIndex SelectServer(const MarkView& view, const RouteTarget& route,
                         uint64_t fingerprint, TimePoint now,
                         bool* skipped_cold, PlacementTrace* trace) {
  const WeightedService* service = ChooseService(route, fingerprint);
  if (service == nullptr) return kNoServerIndex;
  if constexpr (kTraced) trace->service_index = service->service_index;
  ServerIndex best = kNoServerIndex;
  double best_cost = 0;
  uint64_t best_score = 0;
  for (const ServerIndex index :
       view.eligible_servers[service->service_index]) {
    const ServerTarget& server = view.servers[index];
    const bool skipped =
        IsColdLimited(server, now) &&
        !HasColdToken(*server.cold_allowance, SynKind::kFirst, now);
    if (skipped) {
      if (skipped_cold != nullptr) *skipped_cold = true;
      if constexpr (kTraced) trace->without_token.push_back(index);
      continue;
    }
    const double cost = PlacementCost(server, now);
    if constexpr (kTraced) trace->candidates.push_back({index, cost});
    const uint64_t score = MixHash(fingerprint, server.fact.mark);
    const bool better = best == kNoServerIndex || cost < best_cost ||
                        (cost == best_cost && score > best_score);
    if (!better) continue;
    best = index;
    best_cost = cost;
    best_score = score;
  }
  if constexpr (kTraced) trace->selected = best;
  return best;
}

}  // namespace

ServerIndex PlaceFlow(const MarkView& view, const RouteTarget& route,
                      uint64_t fingerprint, TimePoint now, bool* skipped_cold) {
  return SelectServer<false>(view, route, fingerprint, now, skipped_cold,
                             nullptr);
}

ServerIndex PlaceFlow(const MarkView& view, const RouteTarget& route,
                      uint64_t fingerprint, TimePoint now, bool* skipped_cold,
                      PlacementTrace& trace) {
  return SelectServer<true>(view, route, fingerprint, now, skipped_cold,
                            &trace);
}

void AddPlacedFlow(LiveLoad& load) {
  // The updates are not atomic: one that is lost to a race is corrected at the
  // next refresh of the load.
  load.expected_requests.store(load.expected_requests.load() + 1);
  load.waiting.store(load.waiting.load() + 1);
  load.explore.store(false);
}

}  // namespace knapweedlift
