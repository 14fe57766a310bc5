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

// An IP address with a port.
struct Endpoint {
  IpAddress address;
  uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;

  template <typename H>
  friend H AbslHashValue(H h, const Endpoint& endpoint) {
    return H::combine(std::move(h), endpoint.address, endpoint.port);
  }
};

std::string FormatEndpoint(const Endpoint& endpoint);

// Reads "ADDRESS:PORT" or "[ADDRESS]:PORT"; nothing where the text is neither
// or the port is 0.
std::optional<Endpoint> ParseEndpoint(const std::string& text);

enum class ServerState : uint8_t {
  kActive,   // Takes new flows.
  kCold,     // Takes new flows at a rising share.
  kLeaving,  // Keeps its flows and takes no new ones.
};

// The word that sheets use for the state.
const char* ServerStateName(ServerState state);

struct BackendServer {
  ServerId number = kNoServer;
  // Where its Geneve device listens.
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
  // Power of two; about eight for each flow expected.
  uint32_t buckets = 0;
  uint32_t idle_timeout_s = 0;
  // Ascending by number.
  std::vector<BackendServer> servers;

  auto operator<=>(const Service&) const = default;
};

// The planners' export, accepted as a whole.
struct Sheet {
  uint64_t revision = 0;
  std::vector<std::string> failure_domains;
  // Ascending by number.
  std::vector<Service> services;

  auto operator<=>(const Sheet&) const = default;
};

using SheetPtr = std::shared_ptr<const Sheet>;

// True where the server may be given new flows.
bool AcceptsNewFlows(const BackendServer& server);

// The service or server with this number, or null.
const Service* FindService(const Sheet& sheet, ServiceNumber number);
const BackendServer* FindServer(const Service& service, ServerId number);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_SHEET_SHEET_H_
