#ifndef KNAPWEEDLIFT_SERVERS_ADMIN_RESPONSES_H_
#define KNAPWEEDLIFT_SERVERS_ADMIN_RESPONSES_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "core/membership/members.h"
#include "drivers/http.h"

// What the operators' endpoints of both transports share.
namespace knapweedlift {

inline constexpr unsigned kHttpBadRequest = 400;
inline constexpr unsigned kHttpNotFound = 404;

HttpAnswer JsonResponse(const nlohmann::json& body, unsigned status = 200);

HttpAnswer ErrorResponse(unsigned status, const std::string& message);

HttpAnswer MetricsResponse(std::string text);

const char* PhaseName(MemberPhase phase);

// The flow that a request asks about by `from`, `to` and `protocol`; nothing
// where it names none.
std::optional<FlowKey> FlowKeyFromQuery(const HttpRequest& request);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_SERVERS_ADMIN_RESPONSES_H_
