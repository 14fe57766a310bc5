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

// Position in the history of the platform's store. Each change of a fact has a
// higher number than the one before. When the store returns from an older copy
// of its content, a new era begins: numbers go back and are given out again, so
// that only both together order changes.
struct Revision {
  // 0 if the store states none.
  uint64_t era = 0;
  uint64_t number = 0;

  constexpr Revision() = default;
  // Of a store that states no era. Implicit, since 0 stands for no revision.
  // NOLINTNEXTLINE(google-explicit-constructor)
  constexpr Revision(uint64_t number) : number(number) {}
  constexpr Revision(uint64_t era, uint64_t number)
      : era(era), number(number) {}

  auto operator<=>(const Revision&) const = default;
};

// Revisions of one era, both included, from which single changes lead to later
// facts.
struct RevisionSpan {
  Revision first;
  Revision last;

  auto operator<=>(const RevisionSpan&) const = default;
};

inline bool Includes(const RevisionSpan& span, Revision revision) {
  return span.first <= revision && revision <= span.last;
}

// Hash of all facts in force. Two registries with the same revision and
// different digests show that one of them is wrong.
using FactsDigest = uint32_t;

// Says nothing about the facts.
inline constexpr FactsDigest kNoDigest = 0;

// The age of facts that came from a peer and have not been confirmed since.
inline constexpr Duration kNeverConfirmed{-1};

// Facts that were confirmed at a time include all changes up to this long
// before: the watcher of the platform starts a call at most 100 ms after the
// last one, and stops confirming if none ends within 1.4 s.
inline constexpr Duration kMaxFactsLag{1'500};

// Time since the facts were last confirmed to be current; kNeverConfirmed if
// they never were.
inline Duration FactsAge(TimePoint confirmed_at, TimePoint now) {
  return confirmed_at == TimePoint{} ? kNeverConfirmed : now - confirmed_at;
}

// Facts of one incarnation of a backend server.
struct ServerFact {
  std::string name;
  // The number that the server expects in front of each packet.
  uint64_t instance = 0;
  Mark mark = kNoMark;
  // Start of the incarnation in milliseconds since 1970; 0 if unknown.
  uint64_t started_at_ms = 0;
  std::string service;
  Endpoint endpoint;
  std::string domain;
  // Number of requests that the server processes concurrently.
  uint32_t slots = 0;
  bool draining = false;
  // End of the warm-up, during which the server is slower than usual.
  TimePoint cold_until;

  auto operator<=>(const ServerFact&) const = default;
};

// A service that gets a share of a route's new flows.
struct RouteShare {
  std::string service;
  uint32_t weight = 0;

  auto operator<=>(const RouteShare&) const = default;
};

// Urgency of routes that state none.
inline constexpr uint8_t kDefaultPriority = 255;

// What the callers of a route need.
struct RouteQuality {
  // 0 is the most urgent.
  uint8_t priority = kDefaultPriority;
  // Requests may be executed more than once.
  bool repeatable = false;
  // Time within which a response has its full value, and any value at all; zero
  // if unknown.
  Duration target_latency{0};
  Duration timeout{0};

  auto operator<=>(const RouteQuality&) const = default;
};

// The services that new flows to an address are distributed over.
struct RouteFact {
  Endpoint address;
  std::vector<RouteShare> shares;
  RouteQuality quality;

  auto operator<=>(const RouteFact&) const = default;
};

// Limits of the backend servers of a service.
struct ServiceLimits {
  std::string service;
  // A server is cold for this long after its start.
  Duration cold_time{0};
  // Requests per second that a cold server can take; zero if it has no limit.
  double cold_rate = 0;

  auto operator<=>(const ServiceLimits&) const = default;
};

// Limits that the operator sets for all flows.
struct LimitsFact {
  uint64_t version = 0;
  // In ascending order of names.
  std::vector<ServiceLimits> services;
  // A flow without packets for longer than this may be dropped from the table.
  Duration idle_timeout{15'000};

  auto operator<=>(const LimitsFact&) const = default;
};

// A complete configuration.
struct ConfigFact {
  LimitsFact limits;
  std::vector<RouteFact> routes;

  auto operator<=>(const ConfigFact&) const = default;
};

// The state of a server at a revision. `server` is empty if it was removed.
struct ServerChange {
  std::string name;
  Revision revision = 0;
  std::optional<ServerFact> server;
  // The change is deferred until then, see ChangesOfNewEra.
  TimePoint applies_at;

  auto operator<=>(const ServerChange&) const = default;
};

// The state of a route at a revision. `route` is empty if it was removed.
struct RouteChange {
  Endpoint address;
  Revision revision = 0;
  std::optional<RouteFact> route;

  auto operator<=>(const RouteChange&) const = default;
};

// The state of a failure domain's evacuation at a revision.
struct EvacuationChange {
  std::string domain;
  Revision revision = 0;
  // False once the domain may be used again.
  bool active = false;
  // The change is deferred until then, see ChangesOfNewEra.
  TimePoint applies_at;

  auto operator<=>(const EvacuationChange&) const = default;
};

struct LimitsChange {
  Revision revision = 0;
  LimitsFact limits;

  auto operator<=>(const LimitsChange&) const = default;
};

// All changes after revision `after` up to and including `as_of`.
struct FactDelta {
  Revision after = 0;
  Revision as_of = 0;
  // The delta holds all facts; servers and routes that it lacks are removed.
  bool is_snapshot = false;
  std::vector<ServerChange> servers;
  std::vector<RouteChange> routes;
  std::optional<LimitsChange> limits;
  // In a snapshot, domains that are not in this list are not evacuated.
  std::vector<EvacuationChange> evacuations;
  // Revision of the configuration that the changes of routes start from. They
  // do not apply to another one, whose routes may have changed and changed
  // back. Nothing in a snapshot.
  std::optional<Revision> config_base;
  // Servers that the delta removes may be listed again until then, see
  // RemovalHold.
  TimePoint removals_held_until;
  // If the delta leads to a later era: the spans that it can start from, in
  // ascending order. The last one is of the era of `as_of`.
  std::vector<RevisionSpan> spans;

  auto operator<=>(const FactDelta&) const = default;
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_REGISTRY_FACTS_H_
