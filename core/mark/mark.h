#ifndef KNAPWEEDLIFT_CORE_MARK_MARK_H_
#define KNAPWEEDLIFT_CORE_MARK_MARK_H_

#include <cstdint>
#include <string_view>

namespace knapweedlift {

// Names one life of a backend server in the packets of its flows. Both ends of
// a flow send back the last mark that they received, so that any VM can forward
// any packet of the flow without knowing the flow.
using Mark = uint32_t;

// What packets carry that were not marked yet.
inline constexpr Mark kNoMark = 0;

// The mark of a backend server that was started at `born`, in milliseconds
// since 1970. All VMs compute the same one. Two servers may share a mark; then
// neither can be told by it.
Mark ComputeMark(std::string_view server_name, int64_t started_at_ms);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_MARK_MARK_H_
