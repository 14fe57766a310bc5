#ifndef KNAPWEEDLIFT_LAB_SOAK_FLOW_HISTORY_H_
#define KNAPWEEDLIFT_LAB_SOAK_FLOW_HISTORY_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lab/marks/flow_records.h"

// What callers and backend servers see of open flows while a fleet runs, and
// the check of the rules for them.
namespace knapweedlift::lab {

// An open flow with the server that accepted it.
struct ObservedFlow {
  ClientFlowRecord client;
  // Empty if no server accepted the flow.
  std::string server;
  // Times at which a packet of the flow met a cut of its server.
  std::vector<TimePoint> cut_contacts;

  auto operator<=>(const ObservedFlow&) const = default;
};

// A time in which a server was cut off.
struct ServerCut {
  std::string server;
  TimePoint from;
  // max() while it lasts.
  TimePoint until = TimePoint::max();

  auto operator<=>(const ServerCut&) const = default;
};

struct FlowHistory {
  std::vector<ObservedFlow> flows;
  std::vector<ForeignPacketRecord> foreign_packets;
  // When servers ended for good.
  std::map<std::string, TimePoint> server_ends;
  std::vector<ServerCut> server_cuts;

  auto operator<=>(const FlowHistory&) const = default;
};

// A VM may reset a flow while its server is cut off, which it cannot tell from
// the server's end, and for this long after a packet of the flow met a cut.
inline constexpr Duration kCutExcuse{4'000};
// A flow whose caller waits must end within this time of its server's end.
inline constexpr Duration kFlowEndBound{3'000};

enum class FlowFault : uint8_t {
  // A VM reset an open flow whose server was alive and not cut off.
  kReset,
  // A packet of an open flow reached another server, while its own was alive.
  kForeignPacket,
  // A caller waited too long for a server that had ended.
  kNotEnded,
};

struct FlowViolation {
  FlowFault fault = FlowFault::kReset;
  FlowAddresses addresses;
  // The server that accepted the flow; empty if none did.
  std::string server;
  // The server that received the packet, if it was another one.
  std::string receiver;
  TimePoint opened_at;
  // Of the reset or of the packet, or when the flow should have ended.
  TimePoint at;
  // How much later than allowed the flow ended.
  Duration late_by{0};

  auto operator<=>(const FlowViolation&) const = default;
};

// Joins the flows of callers with those that servers accepted.
FlowHistory MakeFlowHistory(
    const std::vector<ClientFlowRecord>& client_flows,
    const std::vector<ServedFlowRecord>& served_flows,
    const std::vector<ForeignPacketRecord>& foreign_packets,
    const std::map<std::string, TimePoint>& server_ends,
    const std::vector<ServerCut>& server_cuts);

// Checks the rules for each flow.
std::vector<FlowViolation> CheckFlowHistory(const FlowHistory& history);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_SOAK_FLOW_HISTORY_H_
