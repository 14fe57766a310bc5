#ifndef KNAPWEEDLIFT_CORE_SHEET_SHEET_DIFF_H_
#define KNAPWEEDLIFT_CORE_SHEET_SHEET_DIFF_H_

#include <string>
#include <vector>

#include "core/sheet/sheet.h"

namespace knapweedlift {

// Describes the changes from one sheet to another, one line per change. Each
// line names the affected tenant and service. Empty if only the revision
// differs.
std::vector<std::string> DiffSheets(const Sheet& before, const Sheet& after);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_SHEET_SHEET_DIFF_H_
