#include "drivers/http.h"

#include "tests/support/properties.h"

using namespace knapweedlift;

Test(http, query_parameters_round_trip) {
  ExpectProperty("round trip", [](const std::string& text) {
    const std::string target = "/x?a=1&b=" + PercentEncode(text) + "&c=2";
    RC_ASSERT(QueryParameter(target, "b") == text);
    RC_ASSERT(QueryParameter(target, "c") == "2");
    RC_ASSERT(RequestPath(target) == "/x");
  });
}
