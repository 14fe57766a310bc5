#ifndef KNAPWEEDLIFT_MAIN_SETTINGS_TEXT_H_
#define KNAPWEEDLIFT_MAIN_SETTINGS_TEXT_H_

#include <string>
#include <vector>

namespace knapweedlift {

// Checks a text before it is passed to the TOML parser, which fails assertions
// or has undefined behavior on some malformed input instead of reporting an
// error. Returns one error with its line number for each rejected line;
// `source` names the text. A text without errors may still be invalid TOML.
std::vector<std::string> ValidateSettingsText(const std::string& text,
                                              const std::string& source);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_MAIN_SETTINGS_TEXT_H_
