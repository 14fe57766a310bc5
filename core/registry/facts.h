#ifndef KNAPWEEDLIFT_CORE_REGISTRY_FACTS_H_
#define KNAPWEEDLIFT_CORE_REGISTRY_FACTS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/mark/mark.h"
#include "core/sheet/sheet.h"
#include "core/time.h"

namespace knapweedlift {

// Position in the platform's history. Each change of a fact has a higher one.
using Revision = uint64_t;

// The age of facts that a peer told and nobody has confirmed since.
inline constexpr Duration kNeverConfirmed{-1};

// How long ago facts were known to be the newest ones.
inline Duration FactsAge(TimePoint confirmed_at, TimePoint now) {
  return confirmed_at == TimePoint{} ? kNeverConfirmed : now - confirmed_at;
}

// What is known of one life of a backend server.
struct ServerFact {
  std::string name;
  // The number that the server expects before each packet.
  uint64_t instance = 0;
  Mark mark = kNoMark;
  std::string service;
  Endpoint endpoint;
  std::string domain;
  // Requests that it processes at a time.
  uint32_t slots = 0;
  bool draining = false;
  // It is slower than usual until then.
  TimePoint cold_until;

  auto operator<=>(const ServerFact&) const = default;
};

// One of the services that a route divides its new flows between.
struct RouteShare {
  std::string service;
  uint32_t weight = 0;

  auto operator<=>(const RouteShare&) const = default;
};

// Where new flows to one address go.
struct RouteFact {
  Endpoint address;
  std::vector<RouteShare> shares;

  auto operator<=>(const RouteFact&) const = default;
};

// What the operator sets for all flows.
struct LimitsFact {
  uint64_t version = 0;
  // A flow that was silent for longer may be forgotten.
  Duration idle_timeout{15'000};

  auto operator<=>(const LimitsFact&) const = default;
};

// A configuration in full.
struct ConfigFact {
  LimitsFact limits;
  std::vector<RouteFact> routes;

  auto operator<=>(const ConfigFact&) const = default;
};

// A fact of one server at one revision; no server where it is gone.
struct ServerChange {
  std::string name;
  Revision revision = 0;
  std::optional<ServerFact> server;

  auto operator<=>(const ServerChange&) const = default;
};

// A fact of one route at one revision; no route where it was removed.
struct RouteChange {
  Endpoint address;
  Revision revision = 0;
  std::optional<RouteFact> route;

  auto operator<=>(const RouteChange&) const = default;
};

struct LimitsChange {
  Revision revision = 0;
  LimitsFact limits;

  auto operator<=>(const LimitsChange&) const = default;
};

// All changes after one revision up to another.
struct FactDelta {
  Revision after = 0;
  Revision as_of = 0;
  // Everything there is; what it does not name is gone.
  bool is_snapshot = false;
  std::vector<ServerChange> servers;
  std::vector<RouteChange> routes;
  std::optional<LimitsChange> limits;
  // Until then servers that it removes may come back, see RemovalHold.
  TimePoint removals_held_until;

  auto operator<=>(const FactDelta&) const = default;
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_REGISTRY_FACTS_H_
