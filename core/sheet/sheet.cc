#include "core/sheet/sheet.h"

#include <algorithm>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace knapweedlift {
namespace {

template <typename Items, typename Number>
auto* FindByNumber(const Items& items, Number number) {
  const auto found = std::lower_bound(
      items.begin(), items.end(), number,
      [](const auto& item, Number wanted) { return item.number < wanted; });
  const bool match = found != items.end() && found->number == number;
  return match ? &*found : nullptr;
}

}  // namespace

std::string FormatEndpoint(const Endpoint& endpoint) {
  const std::string address = FormatIpAddress(endpoint.address);
  if (IsV4(endpoint.address)) return absl::StrCat(address, ":", endpoint.port);
  return absl::StrCat("[", address, "]:", endpoint.port);
}

std::optional<Endpoint> ParseEndpoint(const std::string& text) {
  constexpr int kMaxPort = 65'535;
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const auto address = ParseIpAddress(host);
  int port = 0;
  const bool port_valid = absl::SimpleAtoi(text.substr(colon + 1), &port) &&
                          port > 0 && port <= kMaxPort;
  if (!address.has_value() || !port_valid) return std::nullopt;
  return Endpoint{.address = *address, .port = static_cast<uint16_t>(port)};
}

const char* ServerStateName(ServerState state) {
  switch (state) {
    case ServerState::kActive:
      return "active";
    case ServerState::kCold:
      return "cold";
    case ServerState::kLeaving:
      return "leaving";
  }
  return "unknown";
}

bool AcceptsNewFlows(const BackendServer& server) {
  return server.state != ServerState::kLeaving;
}

const Service* FindService(const Sheet& sheet, ServiceNumber number) {
  return FindByNumber(sheet.services, number);
}

const BackendServer* FindServer(const Service& service, ServerId number) {
  return FindByNumber(service.servers, number);
}

}  // namespace knapweedlift
