#include <string>

#include "platform/store_entries.h"
#include "platform/store_response.h"
#include "tests/fuzz/fiber_stack.h"

namespace knapweedlift {
namespace {

void ParseAs(uint8_t kind, const std::string& text) {
  const TimePoint now{Duration(1'000)};
  SourceUpdate update;
  std::vector<std::string> errors;
  switch (kind % 4) {
    case 0:
      (void)platform::ParseRangeResponse(text, now, update);
      break;
    case 1:
      (void)platform::ParseWatchResponse(text, now, update);
      break;
    case 2: {
      const auto server = platform::ParseServerEntry("i-7f3a91c2", text, now);
      if (server.ok() && server->mark == kNoMark) __builtin_trap();
      break;
    }
    default: {
      const auto config = platform::ParseConfigEntry(text, errors);
      if (!config.ok()) break;
      for (const RouteFact& route : config->routes) {
        if (route.shares.empty()) __builtin_trap();
      }
    }
  }
}

}  // namespace
}  // namespace knapweedlift

// The first byte selects the parser for the remaining bytes.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size == 0) return 0;
  const std::string text(reinterpret_cast<const char*>(data) + 1, size - 1);
  knapweedlift::fuzz::RunOnFiberStack(
      [&] { knapweedlift::ParseAs(data[0], text); });
  return 0;
}
