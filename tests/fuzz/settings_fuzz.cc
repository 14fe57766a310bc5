#include <string>

#include "main/settings.h"

// Any text gives settings or errors, never both or neither.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace knapweedlift;
  const std::string text(reinterpret_cast<const char*>(data), size);
  const SettingsResult result = ParseSettings(text, "vm.toml");
  const bool read =
      result.settings.has_value() || result.mark_settings.has_value();
  if (read != result.errors.empty()) __builtin_trap();
  return 0;
}
