#ifndef KNAPWEEDLIFT_CORE_SHEET_SHEET_H_
#define KNAPWEEDLIFT_CORE_SHEET_SHEET_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/flow/flow_key.h"
#include "core/ids.h"

namespace knapweedlift {

// An IP address and a port.
struct Endpoint {
  IpAddress address;
  uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;

  template <typename H>
  friend H AbslHashValue(H h, const Endpoint& endpoint) {
    return H::combine(std::move(h), endpoint.address, endpoint.port);
  }
};

// Formats as "ADDRESS:PORT", with IPv6 addresses in brackets.
std::string FormatEndpoint(const Endpoint& endpoint);

// Parses "ADDRESS:PORT" or "[ADDRESS]:PORT". Returns nothing if the text has
// neither form or the port is 0.
std::optional<Endpoint> ParseEndpoint(const std::string& text);

enum class ServerState : uint8_t {
  kActive,   // Accepts new flows.
  kCold,     // In slow start: accepts a rising share of new flows.
  kLeaving,  // Draining: keeps its flows and accepts no new ones.
};

// Returns the state's name as it appears in sheets.
const char* ServerStateName(ServerState state);

struct BackendServer {
  ServerId number = kNoServer;
  // Address and port of the server's Geneve device.
  Endpoint geneve_endpoint;
  std::string failure_domain;
  uint32_t slots = 0;
  ServerState state = ServerState::kActive;

  auto operator<=>(const BackendServer&) const = default;
};

struct Service {
  ServiceNumber number = 0;
  std::string name;
  std::string tenant;
  Endpoint address;
  uint8_t protocol = 0;
  uint32_t vni = 0;
  // A power of two, about eight times the number of expected flows.
  uint32_t buckets = 0;
  uint32_t idle_timeout_s = 0;
  // Sorted by number in ascending order.
  std::vector<BackendServer> servers;

  auto operator<=>(const Service&) const = default;
};

// One revision of all services and their backend servers, as exported by the
// planners. It is accepted or rejected as a whole.
struct Sheet {
  uint64_t revision = 0;
  std::vector<std::string> failure_domains;
  // Sorted by number in ascending order.
  std::vector<Service> services;

  auto operator<=>(const Sheet&) const = default;
};

using SheetPtr = std::shared_ptr<const Sheet>;

// Returns true if new flows may be assigned to the server.
bool AcceptsNewFlows(const BackendServer& server);

// Return the service or backend server with this number, or null if there is
// none.
const Service* FindService(const Sheet& sheet, ServiceNumber number);
const BackendServer* FindServer(const Service& service, ServerId number);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_SHEET_SHEET_H_
