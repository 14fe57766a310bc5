#ifndef KNAPWEEDLIFT_CORE_MARK_MARK_H_
#define KNAPWEEDLIFT_CORE_MARK_MARK_H_

#include <cstdint>
#include <string_view>

namespace knapweedlift {

// Identifies one incarnation of a backend server in the packets of its flows.
// Both endpoints of a flow echo the last mark that they received, so that any
// VM can forward any packet of the flow without per-flow state.
using Mark = uint32_t;

// Mark of packets that were not marked yet.
inline constexpr Mark kNoMark = 0;

// Computes the mark of a backend server that was started at `started_at_ms`, in
// milliseconds since the Unix epoch. All VMs compute the same mark. Marks may
// collide; a mark that several servers share identifies none of them.
Mark ComputeMark(std::string_view server_name, int64_t started_at_ms);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_MARK_MARK_H_
