#ifndef KNAPWEEDLIFT_TESTS_SUPPORT_FACTS_H_
#define KNAPWEEDLIFT_TESTS_SUPPORT_FACTS_H_

#include <string>
#include <vector>

#include "core/registry/registry.h"
#include "tests/support/revisions.h"

// Sample facts; tests change single fields of them.
namespace knapweedlift::testing {

inline TimePoint At(int64_t ms) { return TimePoint(Duration(ms)); }

inline Endpoint Address(uint8_t last_byte, uint16_t port = 8080) {
  const uint8_t bytes[] = {10, 0, 0, last_byte};
  return {.address = IpAddressFromV4(bytes), .port = port};
}

// Server `number` of a service, ready and with two slots.
inline ServerFact Server(uint8_t number, const std::string& domain = "a",
                         const std::string& service = "atelier") {
  const std::string name = "i-" + std::to_string(100 + number);
  return {.name = name,
          .instance = number,
          .mark = ComputeMark(name, 1),
          .service = service,
          .endpoint = Address(number),
          .domain = domain,
          .slots = 2};
}

inline RouteFact Route(uint8_t number, const std::string& service = "atelier") {
  return {.address = Address(number, 443),
          .shares = {{.service = service, .weight = 1}}};
}

// A snapshot at revision `as_of` with these servers and one route.
inline FactDelta SnapshotOf(const std::vector<ServerFact>& servers,
                            Revision as_of = 10) {
  FactDelta delta{.as_of = as_of, .is_snapshot = true};
  for (const ServerFact& server : servers) {
    delta.servers.push_back(
        {.name = server.name, .revision = as_of, .server = server});
  }
  const RouteFact route = Route(200);
  delta.routes.push_back(
      {.address = route.address, .revision = as_of, .route = route});
  delta.limits = {.revision = as_of, .limits = {.version = 1}};
  return delta;
}

inline Registry RegistryOf(const std::vector<ServerFact>& servers) {
  Registry registry;
  MergeDelta(registry, SnapshotOf(servers), At(0));
  return registry;
}

// The change by which server 1, first started at time 1, restarts under the
// same name.
inline FactDelta ServerRestartDelta() {
  ServerFact again = Server(1);
  again.mark = ComputeMark(again.name, 2);
  FactDelta delta{.after = 10, .as_of = 11};
  delta.servers.push_back(
      {.name = again.name, .revision = 11, .server = again});
  return delta;
}

// The change after revision `revision` - 1 by which the evacuation of a domain
// begins or ends.
inline FactDelta EvacuationDelta(const std::string& domain, Revision revision,
                                 bool active = true) {
  FactDelta delta{.after = revision - 1, .as_of = revision};
  delta.evacuations.push_back(
      {.domain = domain, .revision = revision, .active = active});
  return delta;
}

}  // namespace knapweedlift::testing

#endif  // KNAPWEEDLIFT_TESTS_SUPPORT_FACTS_H_
