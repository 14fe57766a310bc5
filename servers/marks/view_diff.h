#ifndef KNAPWEEDLIFT_SERVERS_MARKS_VIEW_DIFF_H_
#define KNAPWEEDLIFT_SERVERS_MARKS_VIEW_DIFF_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/placement/mark_view.h"

namespace knapweedlift {

// Describes the difference between two views as the fields of a log line: the
// new revision and configuration version, the names of servers that became
// ready, are draining, were removed or are held, and the number of routes added
// and removed, and the failure domains whose evacuation began or ended. Each
// list of names is capped, and a field with the suffix
// `_more` counts the rest. `before` is null for the first view.
nlohmann::json DescribeViewChange(const MarkView* before,
                                  const MarkView& after);

// Returns the failure domains whose evacuation began and that no listed server
// is in: their names may be misspelled. `before` is null for the first view.
std::vector<std::string> UnknownEvacuatedDomains(const MarkView* before,
                                                 const MarkView& after);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_SERVERS_MARKS_VIEW_DIFF_H_
