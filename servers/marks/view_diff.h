#ifndef KNAPWEEDLIFT_SERVERS_MARKS_VIEW_DIFF_H_
#define KNAPWEEDLIFT_SERVERS_MARKS_VIEW_DIFF_H_

#include <nlohmann/json.hpp>

#include "core/placement/mark_view.h"

namespace knapweedlift {

// What a change of facts means, as the fields of a log line: the new revision
// and configuration, servers that came, are leaving or are gone by name, and
// how many routes came and went. `before` is null for the first view.
nlohmann::json DescribeViewChange(const MarkView* before,
                                  const MarkView& after);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_SERVERS_MARKS_VIEW_DIFF_H_
