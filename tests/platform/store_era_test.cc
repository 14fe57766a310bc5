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
  const EraHeader header = HeaderOf({"7"});
  cr_expect(header.state == EraHeader::State::kValid);
  cr_expect(header.era == 7);
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

Test(store_era, of_a_response_without_a_valid_header_is_the_known_one) {
  EraCheck check;
  cr_expect(CheckEra(check, HeaderOf({}), 4, TimePoint{}) == 4);
  cr_expect(CheckEra(check, HeaderOf({"x"}), 4, TimePoint{}) == 4);
  cr_expect(CheckEra(check, HeaderOf({"5"}), 4, TimePoint{}) == 5);
}

// A response of the store as it was before its return, or a wrong header.
Test(store_era, that_is_earlier_is_ignored_for_a_while) {
  EraCheck check;
  const TimePoint start{Duration(1'000)};
  const EraHeader earlier = HeaderOf({"3"});
  cr_expect(not CheckEra(check, earlier, 4, start).has_value());
  cr_expect(CheckEra(check, HeaderOf({"4"}), 4, start) == 4);
  const TimePoint again = start + kMaxEarlierEraTime;
  cr_expect(not CheckEra(check, earlier, 4, again).has_value());
  cr_expect(CheckEra(check, earlier, 4, again + kMaxEarlierEraTime) == 4);
}
