#ifndef KNAPWEEDLIFT_MAIN_SETTINGS_TEXT_H_
#define KNAPWEEDLIFT_MAIN_SETTINGS_TEXT_H_

#include <string>
#include <vector>

namespace knapweedlift {

// The lines of a settings text that are not to be parsed: for some malformed
// input the TOML parser has assertions or no defined outcome instead of errors.
// One error each, with the line's number; `source` names the text. A text
// without errors may still be no TOML.
std::vector<std::string> ValidateSettingsText(const std::string& text,
                                              const std::string& source);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_MAIN_SETTINGS_TEXT_H_
