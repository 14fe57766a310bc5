#include "servers/admin_responses.h"

#include <utility>

#include "core/packet/inner_packet.h"

namespace knapweedlift {

HttpResponse JsonResponse(const nlohmann::json& body, unsigned status) {
  return {.status = status,
          .body = body.dump(2, ' ', false,
                            nlohmann::json::error_handler_t::replace) +
                  "\n"};
}

HttpResponse ErrorResponse(unsigned status, const std::string& message) {
  return JsonResponse({{"error", message}}, status);
}

HttpResponse MetricsResponse(std::string text) {
  return {.content_type = "text/plain; version=0.0.4", .body = std::move(text)};
}

const char* PhaseName(MemberPhase phase) {
  switch (phase) {
    case MemberPhase::kJoining:
      return "joining";
    case MemberPhase::kServing:
      return "serving";
    case MemberPhase::kLeaving:
      return "leaving";
  }
  return "unknown";
}

std::optional<FlowKey> FlowKeyFromQuery(const HttpRequest& request) {
  const auto source = ParseEndpoint(QueryParameter(request.target, "from"));
  const auto target = ParseEndpoint(QueryParameter(request.target, "to"));
  if (!source.has_value() || !target.has_value()) return {};
  const bool udp = QueryParameter(request.target, "protocol") == "udp";
  return FlowKey{
      .source = source->address,
      .destination = target->address,
      .source_port = source->port,
      .destination_port = target->port,
      .protocol = udp ? uint32_t{kProtocolUdp} : uint32_t{kProtocolTcp}};
}

}  // namespace knapweedlift
