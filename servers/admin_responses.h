#ifndef KNAPWEEDLIFT_SERVERS_ADMIN_RESPONSES_H_
#define KNAPWEEDLIFT_SERVERS_ADMIN_RESPONSES_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "core/membership/members.h"
#include "drivers/http.h"

// Parts of the admin endpoint that both transports share.
namespace knapweedlift {

inline constexpr unsigned kHttpBadRequest = 400;
inline constexpr unsigned kHttpNotFound = 404;

// A response with `body` as JSON; invalid UTF-8 is replaced.
HttpResponse JsonResponse(const nlohmann::json& body, unsigned status = 200);

// A response of the form {"error": message}.
HttpResponse ErrorResponse(unsigned status, const std::string& message);

// A response with metrics in the Prometheus text format.
HttpResponse MetricsResponse(std::string text);

// The name of a phase in status responses.
const char* PhaseName(MemberPhase phase);

// Parses the flow from the query parameters `from` and `to`, as ADDRESS:PORT,
// and `protocol`, "udp" or else TCP. Returns nothing if an address is missing
// or malformed.
std::optional<FlowKey> FlowKeyFromQuery(const HttpRequest& request);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_SERVERS_ADMIN_RESPONSES_H_
