#include "core/placement/mark_decision.h"

#include <algorithm>

namespace knapweedlift {
namespace {

// A caller gives up opening a flow after this time.
constexpr Duration kMaxOpeningTime{1'400};
// Decisions about a packet whose tokens other threads take.
constexpr int kMaxTokenAttempts = 4;

MarkDecision Drop(ResultCode reason) { return {.reason = reason}; }

MarkDecision Reset(ResultCode reason) {
  return {.verdict = MarkVerdict::kReset, .reason = reason};
}

MarkDecision DecideByMark(const MarkView& view, Mark mark) {
  const ServerIndex server = FindServerOfFlow(view, mark);
  if (server == kPreviousIncarnation) {
    return Reset(ResultCode::kResetServerRestarted);
  }
  if (server >= view.servers.size()) return Drop(ResultCode::kDropUnknownMark);
  if (view.servers[server].confirmed_down) {
    return Reset(ResultCode::kResetServerGone);
  }
  const bool restarted = view.servers[server].fact.mark != mark;
  return {.verdict = MarkVerdict::kForward,
          .reason = restarted ? ResultCode::kForwardedToRestarted
                              : ResultCode::kForwardedByMark,
          .server = server};
}

MarkDecision DecideWithoutRoute(const MarkView& view,
                                const MarkedPacket& packet) {
  if (packet.syn || packet.mark == kNoMark) {
    return Reset(ResultCode::kResetNoRoute);
  }
  MarkDecision decision = DecideByMark(view, packet.mark);
  decision.without_route = true;
  if (decision.verdict == MarkVerdict::kForward) {
    decision.reason = ResultCode::kForwardedWithoutRoute;
  }
  return decision;
}

// Returns true if an earlier copy of the SYN was admitted: a refused one is
// reset, after which the caller does not repeat it.
bool WasAdmitted(const MarkedPacket& packet, const MarkedFlow* flow) {
  return packet.retransmit_count > 0 ||
         (flow != nullptr && flow->syn_sequence == packet.sequence);
}

// Sets the service and the class of a new flow, and refuses it if the service
// has no room for it.
MarkDecision DecideAdmission(const MarkView& view, const RouteTarget& route,
                             uint64_t fingerprint) {
  const WeightedService* service = ChooseService(route, fingerprint);
  if (service == nullptr) return Reset(ResultCode::kResetNoServer);
  MarkDecision decision{.verdict = MarkVerdict::kForward,
                        .reason = ResultCode::kForwardedPlaced,
                        .service_index = service->service_index};
  const size_t admission_class = AdmissionClass(route.quality.priority);
  decision.admission_class = static_cast<uint32_t>(admission_class);
  const double share =
      view.admission[service->service_index]->shares[admission_class].load(
          std::memory_order_relaxed);
  if (ShouldAdmit(share, fingerprint)) return decision;
  decision.verdict = MarkVerdict::kReset;
  decision.reason = ResultCode::kResetNoRoom;
  return decision;
}

bool LeadsTo(const RouteTarget& route, uint32_t service_index) {
  return std::any_of(route.services.begin(), route.services.end(),
                     [service_index](const WeightedService& service) {
                       return service.service_index == service_index;
                     });
}

// Returns true if an evacuated server has to be left by a further copy of the
// flow's SYN. The server may have answered the first copy, and an answer of a
// second server would break that flow, so that the copy stays while the caller
// may still be opening the flow. A VM that learns of an evacuation within 3.6 s
// thus opens no flow there after 5 s. Later copies belong to no flow that is
// being opened.
bool LeavesEvacuatedServer(const ServerTarget& server, const MarkedFlow& flow,
                           TimePoint now) {
  return server.evacuated && flow.state == MarkedFlowState::kOpening &&
         now - flow.placement.placed_at > kMaxOpeningTime;
}

// Returns the server that an earlier copy of the SYN was sent to, unless that
// server is confirmed down. Two servers that answer the same SYN would break
// its flow, and one that is only suspected may have answered. If the route no
// longer leads to the server's service, the copy is placed as a new SYN: a
// server that has not answered the first one is unlikely to hold the flow.
ServerIndex ServerOfOriginalSyn(const MarkView& view, const RouteTarget& route,
                                const MarkedPacket& packet,
                                const MarkedFlow* flow, TimePoint now) {
  const bool retransmission =
      flow != nullptr && flow->syn_sequence == packet.sequence;
  if (!retransmission) return kNoServerIndex;
  const ServerIndex index = FindServerOfFlow(view, flow->mark);
  if (index >= view.servers.size()) return kNoServerIndex;
  const ServerTarget& server = view.servers[index];
  const bool usable = !server.confirmed_down &&
                      LeadsTo(route, server.service_index) &&
                      !LeavesEvacuatedServer(server, *flow, now);
  return usable ? index : kNoServerIndex;
}

// `place` selects the server for a new flow on a route.
template <typename Place>
MarkDecision DecidePacket(const MarkView& view, const MarkedPacket& packet,
                          const MarkedFlow* flow, uint64_t fingerprint,
                          TimePoint now, const Place& place) {
  const auto route = view.routes->by_address.find(
      {.address = packet.key.destination, .port = packet.key.destination_port});
  if (route == view.routes->by_address.end()) {
    return DecideWithoutRoute(view, packet);
  }
  if (!packet.syn) {
    if (packet.mark == kNoMark) return Drop(ResultCode::kDropNoMark);
    return DecideByMark(view, packet.mark);
  }
  const ServerIndex original =
      ServerOfOriginalSyn(view, route->second, packet, flow, now);
  if (original != kNoServerIndex) {
    const ServerTarget& server = view.servers[original];
    // The copy may be the first that arrives. Another server could answer the
    // same SYN, and a reset could end a flow that has just opened.
    const bool no_token =
        IsColdLimited(server, now) &&
        !HasColdToken(*server.cold_allowance, SynKind::kCopy, now);
    if (no_token) return Drop(ResultCode::kDropColdServer);
    return {.verdict = MarkVerdict::kForward,
            .reason = ResultCode::kForwardedKnownOpening,
            .server = original};
  }
  MarkDecision decision{.verdict = MarkVerdict::kForward,
                        .reason = ResultCode::kForwardedPlaced};
  if (!WasAdmitted(packet, flow)) {
    decision = DecideAdmission(view, route->second, fingerprint);
    if (decision.verdict != MarkVerdict::kForward) return decision;
  }
  decision.server = place(route->second, decision.skipped_cold);
  // A suspect is selected only if every candidate is suspect, and it is
  // confirmed down only if some other server responds. The reset spares the
  // caller the wait for a timeout.
  const bool available = decision.server != kNoServerIndex &&
                         !view.servers[decision.server].confirmed_down;
  if (available) return decision;
  return {.verdict = MarkVerdict::kReset,
          .reason = ResultCode::kResetNoServer,
          .skipped_cold = decision.skipped_cold};
}

}  // namespace

MarkDecision DecideMarkedPacket(const MarkView& view,
                                const MarkedPacket& packet,
                                const MarkedFlow* flow, uint64_t fingerprint,
                                TimePoint now) {
  return DecidePacket(view, packet, flow, fingerprint, now,
                      [&](const RouteTarget& route, bool& skipped_cold) {
                        return PlaceFlow(view, route, fingerprint, now,
                                         &skipped_cold);
                      });
}

MarkDecision DecideMarkedPacket(const MarkView& view,
                                const MarkedPacket& packet,
                                const MarkedFlow* flow, uint64_t fingerprint,
                                TimePoint now, PlacementTrace& trace) {
  return DecidePacket(view, packet, flow, fingerprint, now,
                      [&](const RouteTarget& route, bool& skipped_cold) {
                        return PlaceFlow(view, route, fingerprint, now,
                                         &skipped_cold, trace);
                      });
}

MarkDecision DecideAndTakeToken(const MarkView& view,
                                const MarkedPacket& packet,
                                const MarkedFlow* flow, uint64_t fingerprint,
                                TimePoint now, ColdFlowCounts& counts) {
  for (int attempt = 0; attempt < kMaxTokenAttempts; ++attempt) {
    const MarkDecision decision =
        DecideMarkedPacket(view, packet, flow, fingerprint, now);
    const bool needs_token = packet.syn &&
                             decision.verdict == MarkVerdict::kForward &&
                             IsColdLimited(view.servers[decision.server], now);
    const bool placed = decision.reason == ResultCode::kForwardedPlaced;
    const bool taken =
        needs_token &&
        TakeColdToken(*view.servers[decision.server].cold_allowance,
                      placed ? SynKind::kFirst : SynKind::kCopy, now);
    if (needs_token && !taken) continue;
    if (decision.skipped_cold) ++counts.skipped;
    if (taken && placed) ++counts.placed;
    return decision;
  }
  return Drop(ResultCode::kDropColdServer);
}

MarkDecision ResetIfRouteDropped(const MarkDecision& decision,
                                 MarkedFlowMap& map, uint64_t fingerprint,
                                 TimePoint confirmed_at, TimePoint now) {
  if (!decision.without_route) return decision;
  if (decision.verdict == MarkVerdict::kReset) return decision;
  return IsRouteInDoubt(map, fingerprint, confirmed_at, now)
             ? decision
             : Reset(ResultCode::kResetNoRoute);
}

}  // namespace knapweedlift
