#include "core/sheet/json_text.h"

#include "absl/strings/str_cat.h"
#include "core/json_limits.h"

namespace knapweedlift {

absl::StatusOr<nlohmann::json> ParseJsonText(const std::string& text,
                                             ResultCode code) {
  using nlohmann::json;
  bool too_deep = false;
  // Leaves out the values inside an array or object that is nested too deeply.
  const auto limit_depth = [&too_deep](int depth, json::parse_event_t event,
                                       const json& /*value*/) {
    const bool starts = event == json::parse_event_t::array_start ||
                        event == json::parse_event_t::object_start;
    if (!starts || depth < kMaxJsonDepth) return true;
    too_deep = true;
    return false;
  };
  try {
    json value = json::parse(text, limit_depth);
    if (!too_deep) return value;
  } catch (const json::parse_error& error) {
    return MakeStatus(code,
                      absl::StrCat("syntax error at byte ", error.byte,
                                   "; the text is truncated or corrupted"));
  } catch (const json::out_of_range&) {
    return MakeStatus(code, "a number is too large");
  }
  return MakeStatus(code,
                    absl::StrCat("arrays and objects are nested deeper than ",
                                 kMaxJsonDepth, " levels"));
}

}  // namespace knapweedlift
