#include "platform/store_era.h"

#include "platform/names.h"
#include "tests/support/properties.h"

using namespace knapweedlift;
using namespace knapweedlift::platform;

namespace {

EraHeader HeaderOf(const std::vector<std::string>& values) {
  HttpResponse response;
  for (const std::string& value : values) {
    response.headers.push_back({.name = names::kEraHeader, .value = value});
  }
  return ReadEraHeader(response);
}

}  // namespace

Test(store_era, is_read_from_its_header) {
  cr_expect(HeaderOf({"7"}) ==
            EraHeader{.state = EraHeader::State::kValid, .era = 7});
  cr_expect(HeaderOf({"0"}).state == EraHeader::State::kValid);
  cr_expect(HeaderOf({"7", "7"}).era == 7);
  cr_expect(HeaderOf({}).state == EraHeader::State::kMissing);
  const HttpResponse lower_case{
      .headers = {{.name = "store-era", .value = "3"}}};
  cr_expect(ReadEraHeader(lower_case).era == 3);
}

Test(store_era, of_a_malformed_header_is_unknown) {
  for (const std::string value :
       {"", "-1", "+1", "1.5", "1e3", "0x1", "one", "1 2", "1,2",
        "9223372036854775808", "99999999999999999999999"}) {
    cr_expect(HeaderOf({value}).state == EraHeader::State::kMalformed, "%s",
              value.c_str());
  }
  cr_expect(HeaderOf({"1", "2"}).state == EraHeader::State::kMalformed);
}
