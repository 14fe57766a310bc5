#include "core/sheet/json_text.h"

#include "absl/strings/str_cat.h"

namespace knapweedlift {

absl::StatusOr<nlohmann::json> ParseJsonText(const std::string& text,
                                             ResultCode code) {
  using nlohmann::json;
  try {
    return json::parse(text);
  } catch (const json::parse_error& error) {
    return MakeStatus(code, absl::StrCat("syntax error at byte ", error.byte,
                                         "; the text is truncated or "
                                         "corrupted"));
  } catch (const json::out_of_range&) {
    return MakeStatus(code, "a number is too large");
  }
}

}  // namespace knapweedlift
