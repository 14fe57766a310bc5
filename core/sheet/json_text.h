#ifndef KNAPWEEDLIFT_CORE_SHEET_JSON_TEXT_H_
#define KNAPWEEDLIFT_CORE_SHEET_JSON_TEXT_H_

#include <nlohmann/json.hpp>
#include <string>

#include "absl/status/statusor.h"
#include "core/result_code.h"

namespace knapweedlift {

// Parses JSON that another program wrote. Fails with `code` if the text is not
// valid JSON, holds a number that is too large, or is nested deeper than
// kMaxJsonDepth. Throws no exception.
absl::StatusOr<nlohmann::json> ParseJsonText(const std::string& text,
                                             ResultCode code);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_SHEET_JSON_TEXT_H_
