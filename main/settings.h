#ifndef KNAPWEEDLIFT_MAIN_SETTINGS_H_
#define KNAPWEEDLIFT_MAIN_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "servers/marks/mark_daemon.h"
#include "servers/tables/daemon.h"

namespace knapweedlift {

// The settings of a daemon, or all errors in the text.
struct SettingsResult {
  // Depending on `transport.kind`, exactly one of these is set; neither if
  // there are errors.
  std::optional<DaemonSettings> settings;
  std::optional<MarkDaemonSettings> mark_settings;
  // One line each: the source, the key or line, the problem, and the accepted
  // values or the remedy.
  std::vector<std::string> errors;
};

// Parses settings from TOML text. `source` names the text in errors.
SettingsResult ParseSettings(const std::string& text,
                             const std::string& source);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_MAIN_SETTINGS_H_
