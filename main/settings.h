#ifndef KNAPWEEDLIFT_MAIN_SETTINGS_H_
#define KNAPWEEDLIFT_MAIN_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "servers/marks/mark_daemon.h"
#include "servers/tables/daemon.h"

namespace knapweedlift {

// The settings of a daemon, or every error found in the file.
struct SettingsResult {
  // One of the two, by `transport.kind`.
  std::optional<DaemonSettings> settings;
  std::optional<MarkDaemonSettings> mark_settings;
  // One line each: the key, what is wrong, and the accepted range.
  std::vector<std::string> errors;
};

// Reads settings from TOML text. `source` names the text in errors.
SettingsResult ParseSettings(const std::string& text,
                             const std::string& source);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_MAIN_SETTINGS_H_
