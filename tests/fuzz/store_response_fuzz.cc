#include <string>

#include "platform/names.h"
#include "platform/store_entries.h"
#include "platform/store_era.h"
#include "platform/store_response.h"
#include "tests/fuzz/fiber_stack.h"

namespace knapweedlift {
namespace {

constexpr uint8_t kEraHeader = 'E';

void ReadEra(const std::string& value) {
  const platform::EraHeader header = platform::ReadEraHeader(
      {.headers = {{.name = platform::names::kEraHeader, .value = value}}});
  platform::EraCheck check;
  const auto era = platform::CheckEra(check, header, 5, TimePoint{});
  if (era.has_value() && *era < 5) __builtin_trap();
}

void ParseAs(uint8_t kind, const std::string& text) {
  const TimePoint now{Duration(1'000)};
  if (kind == kEraHeader) return ReadEra(text);
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
