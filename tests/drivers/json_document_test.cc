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
