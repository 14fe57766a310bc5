#ifndef KNAPWEEDLIFT_CORE_FLOW_OPENING_H_
#define KNAPWEEDLIFT_CORE_FLOW_OPENING_H_

#include <compare>
#include <cstdint>

#include "core/mark/mark.h"
#include "core/time.h"

namespace knapweedlift {

// A caller's attempt to open a flow: all copies of one SYN.
struct OpeningId {
  // Fingerprint of the flow's key.
  uint64_t flow = 0;
  uint32_t syn_sequence = 0;

  auto operator<=>(const OpeningId&) const = default;
};

// Where the copies of a SYN go. Two servers that answer the same SYN would
// break its flow.
struct Opening {
  OpeningId id;
  Mark mark = kNoMark;
  TimePoint placed_at;

  auto operator<=>(const Opening&) const = default;
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_FLOW_OPENING_H_
