#include <string>

#include "main/settings.h"
#include "tests/fuzz/fiber_stack.h"

// Parsing any text returns either settings or errors, never both or neither.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace knapweedlift;
  const std::string text(reinterpret_cast<const char*>(data), size);
  SettingsResult result;
  // A reload parses them on a fiber.
  fuzz::RunOnFiberStack([&] { result = ParseSettings(text, "vm.toml"); });
  const bool parsed =
      result.settings.has_value() || result.mark_settings.has_value();
  if (parsed != result.errors.empty()) __builtin_trap();
  return 0;
}
