#ifndef KNAPWEEDLIFT_CORE_PLACEMENT_MARK_DECISION_H_
#define KNAPWEEDLIFT_CORE_PLACEMENT_MARK_DECISION_H_

#include <cstdint>

#include "core/flow/marked_flows.h"
#include "core/packet/marked_packet.h"
#include "core/placement/mark_view.h"
#include "core/placement/placement.h"
#include "core/result_code.h"

namespace knapweedlift {

inline constexpr uint32_t kNoServiceIndex = 0xFFFFFFFF;

enum class MarkVerdict : uint8_t {
  kDrop,
  kForward,
  // The caller receives a reset, which ends the flow.
  kReset,
};

struct MarkDecision {
  MarkVerdict verdict = MarkVerdict::kDrop;
  ResultCode reason = ResultCode::kDropUnknownMark;
  ServerIndex server = kNoServerIndex;
  // The placement left out a cold server for which this VM has no token.
  bool skipped_cold = false;
  // This VM knows no route for the packet, whose mark shows that its flow was
  // opened on one.
  bool without_route = false;
  // Service and class of urgency of a new flow that admission decided on.
  uint32_t service_index = kNoServiceIndex;
  uint32_t admission_class = 0;

  auto operator<=>(const MarkDecision&) const = default;
};

// Decides where to forward a packet that can carry a mark. A marked packet goes
// to the server of its mark. A SYN goes to the server of its earlier copies, or
// is placed as a new flow if admission allows it; it stays on an evacuated
// server only while its caller may still be opening the flow. `flow` is this
// VM's entry of the flow, or null. The flow of a marked packet may be open on a
// route that this VM does not know yet, see ResetIfRouteDropped.
MarkDecision DecideMarkedPacket(const MarkView& view,
                                const MarkedPacket& packet,
                                const MarkedFlow* flow, uint64_t fingerprint,
                                TimePoint now);

// Decides as above, and takes the token that a SYN to a cold server needs. If
// other threads take it first, the packet is decided anew.
MarkDecision DecideAndTakeToken(const MarkView& view,
                                const MarkedPacket& packet,
                                const MarkedFlow* flow, uint64_t fingerprint,
                                TimePoint now, ColdFlowCounts& counts);
// The same, and records the steps of a placement in `trace`.
MarkDecision DecideMarkedPacket(const MarkView& view,
                                const MarkedPacket& packet,
                                const MarkedFlow* flow, uint64_t fingerprint,
                                TimePoint now, PlacementTrace& trace);

// Returns the decision for a packet without a route: `decision` while the route
// may be newer than the facts, which were last confirmed at `confirmed_at`, and
// a reset once it is certain that the route was dropped. Other decisions are
// returned unchanged.
MarkDecision ResetIfRouteDropped(const MarkDecision& decision,
                                 MarkedFlowMap& map, uint64_t fingerprint,
                                 TimePoint confirmed_at, TimePoint now);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_PLACEMENT_MARK_DECISION_H_
