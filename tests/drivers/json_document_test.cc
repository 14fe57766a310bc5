#include "drivers/json_document.h"

#include <boost/fiber/fiber.hpp>

#include "absl/strings/str_cat.h"
#include "tests/support/properties.h"

using namespace knapweedlift;

namespace {

constexpr size_t kMaxDepth = kMaxJsonDepth;

std::string Repeat(const std::string& text, size_t count) {
  std::string repeated;
  for (size_t i = 0; i < count; ++i) repeated += text;
  return repeated;
}

// Parses the text on a fiber, which has a smaller stack than a thread. Returns
// true if it is accepted.
bool IsAcceptedOnFiber(const std::string& text) {
  bool accepted = false;
  boost::fibers::fiber([&] {
    const JsonDocument json(text);
    accepted = !json.root().IsNull();
  }).join();
  return accepted;
}

// Parses a number as the only element of an array.
class ParsedNumber {
 public:
  explicit ParsedNumber(const std::string& text)
      : json_(absl::StrCat("[", text, "]")) {}

  bool accepted() const { return json_.root().IsArray(); }
  const rapidjson::Value& value() const { return json_.root()[0]; }

 private:
  JsonDocument json_;
};

}  // namespace

// Guards against a stack overflow, which ended the process on an entry of
// 20,000 brackets. The size is that of the largest entry of the store.
Test(json_document, rejects_deeply_nested_text) {
  constexpr size_t kEntryBytes = 1 << 20;
  for (const char* opening : {"[", "{\"a\":", "[{\"a\":[", " [ "}) {
    const size_t count = kEntryBytes / std::string(opening).size();
    cr_expect(not IsAcceptedOnFiber(Repeat(opening, count)), "%s", opening);
  }
  cr_expect(not IsAcceptedOnFiber(absl::StrCat(Repeat("[", kEntryBytes / 2),
                                               Repeat("]", kEntryBytes / 2))));
}

Test(json_document, accepts_nesting_up_to_the_limit) {
  const auto arrays = [](size_t depth) {
    return absl::StrCat(Repeat("[", depth), Repeat("]", depth));
  };
  cr_expect(IsAcceptedOnFiber(arrays(kMaxDepth)));
  cr_expect(not IsAcceptedOnFiber(arrays(kMaxDepth + 1)));
  const auto objects = [](size_t depth) {
    return absl::StrCat(Repeat("{\"a\":", depth), "1", Repeat("}", depth));
  };
  cr_expect(IsAcceptedOnFiber(objects(kMaxDepth)));
  cr_expect(not IsAcceptedOnFiber(objects(kMaxDepth + 1)));
  // Values side by side are not nested.
  cr_expect(IsAcceptedOnFiber(
      absl::StrCat("[", Repeat("[],{\"a\":{}},", 1'000), "0]")));
}

// Guards against the end of the process by an exponent whose sum with the
// number of decimals exceeds the range of int, and by other long numbers.
Test(json_document, survives_numbers_out_of_range) {
  const std::string digits = Repeat("7", 400'000);
  for (const std::string& text :
       {std::string("1e999"), std::string("-1e999"),
        std::string("1e2147483648"), digits, absl::StrCat(digits, ".5"),
        absl::StrCat("-", digits), absl::StrCat("1e", digits),
        absl::StrCat("0.5e", digits)}) {
    cr_expect(not ParsedNumber(text).accepted(), "%.20s", text.c_str());
  }
  for (const std::string& text :
       {std::string("0.00000000001e-2147483639"), absl::StrCat("1e-", digits),
        absl::StrCat("0.", Repeat("0", 400'000), "1e-2147483639"),
        absl::StrCat("0.", Repeat("0", 400'000))}) {
    const ParsedNumber number(text);
    cr_assert(number.accepted(), "%.20s", text.c_str());
    cr_expect(number.value().GetDouble() == 0, "%.20s", text.c_str());
  }
  cr_expect(ParsedNumber(absl::StrCat("0.", digits)).value().GetDouble() > 0.7);
}

Test(json_document, parses_numbers_of_each_type) {
  cr_expect(ParsedNumber("0").value().GetUint64() == 0);
  cr_expect(ParsedNumber("4294967296").value().GetUint64() == 4'294'967'296);
  cr_expect(ParsedNumber("18446744073709551615").value().IsUint64());
  cr_expect(not ParsedNumber("18446744073709551616").value().IsUint64());
  cr_expect(ParsedNumber("-7").value().GetInt64() == -7);
  cr_expect(not ParsedNumber("-7").value().IsUint64());
  cr_expect(ParsedNumber("1500.5").value().GetDouble() == 1500.5);
  cr_expect(ParsedNumber("-2.5e3").value().GetDouble() == -2500);
  cr_expect(not ParsedNumber("2.0").value().IsUint64());
  for (const char* text : {"01", "+1", "1.", ".5", "1e", "0x10", "NaN", "inf",
                           "1 2", "--1", "-"}) {
    cr_expect(not ParsedNumber(text).accepted(), "%s", text);
  }
}
