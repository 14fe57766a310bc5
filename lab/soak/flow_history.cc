#include "lab/soak/flow_history.h"

#include <algorithm>
#include <utility>

namespace knapweedlift::lab {
namespace {

// max() if the server did not end.
TimePoint EndOf(const FlowHistory& history, const std::string& server) {
  const auto found = history.server_ends.find(server);
  return found == history.server_ends.end() ? TimePoint::max() : found->second;
}

bool MetCut(const FlowHistory& history, const ObservedFlow& flow) {
  const TimePoint reset_at = flow.client.ended_at;
  const bool cut_off =
      std::any_of(history.server_cuts.begin(), history.server_cuts.end(),
                  [&flow, reset_at](const ServerCut& cut) {
                    return cut.server == flow.server && cut.from <= reset_at &&
                           reset_at <= cut.until;
                  });
  if (cut_off) return true;
  return std::any_of(flow.cut_contacts.begin(), flow.cut_contacts.end(),
                     [reset_at](TimePoint contact) {
                       return contact <= reset_at &&
                              reset_at - contact <= kCutExcuse;
                     });
}

FlowViolation ViolationOf(FlowFault fault, const ObservedFlow& flow,
                          TimePoint at) {
  return {.fault = fault,
          .addresses = flow.client.addresses,
          .server = flow.server,
          .opened_at = flow.client.opened_at,
          .at = at};
}

void CheckReset(const FlowHistory& history, const ObservedFlow& flow,
                std::vector<FlowViolation>& violations) {
  const TimePoint reset_at = flow.client.ended_at;
  const bool allowed = flow.client.end != FlowEnd::kResetByVm ||
                       EndOf(history, flow.server) <= reset_at ||
                       MetCut(history, flow);
  if (!allowed) {
    violations.push_back(ViolationOf(FlowFault::kReset, flow, reset_at));
  }
}

void CheckEnd(const FlowHistory& history, const ObservedFlow& flow,
              std::vector<FlowViolation>& violations) {
  const ClientFlowRecord& client = flow.client;
  const TimePoint server_end = EndOf(history, flow.server);
  const bool waits = client.waiting_since != TimePoint::max() &&
                     server_end != TimePoint::max();
  if (!waits) return;
  const TimePoint bound =
      std::max(server_end, client.waiting_since) + kFlowEndBound;
  if (client.ended_at <= bound) return;
  violations.push_back(ViolationOf(FlowFault::kNotEnded, flow, bound));
  violations.back().late_by = client.ended_at - bound;
}

}  // namespace

FlowHistory MakeFlowHistory(
    const std::vector<ClientFlowRecord>& client_flows,
    const std::vector<ServedFlowRecord>& served_flows,
    const std::vector<ForeignPacketRecord>& foreign_packets,
    const std::map<std::string, TimePoint>& server_ends,
    const std::vector<ServerCut>& server_cuts) {
  std::map<std::pair<FlowAddresses, uint32_t>, const ServedFlowRecord*> served;
  for (const ServedFlowRecord& record : served_flows) {
    served[{record.addresses, record.server_sequence}] = &record;
  }
  FlowHistory history{.foreign_packets = foreign_packets,
                      .server_ends = server_ends,
                      .server_cuts = server_cuts};
  for (const ClientFlowRecord& record : client_flows) {
    ObservedFlow flow{.client = record};
    const auto found = served.find({record.addresses, record.server_sequence});
    if (found != served.end()) {
      flow.server = found->second->server;
      flow.cut_contacts = found->second->cut_contacts;
    }
    history.flows.push_back(std::move(flow));
  }
  return history;
}

std::vector<FlowViolation> CheckFlowHistory(const FlowHistory& history) {
  std::vector<FlowViolation> violations;
  // Each flow has a source port of its own.
  std::map<FlowAddresses, const ObservedFlow*> by_addresses;
  for (const ObservedFlow& flow : history.flows) {
    by_addresses[flow.client.addresses] = &flow;
    CheckReset(history, flow, violations);
    CheckEnd(history, flow, violations);
  }
  for (const ForeignPacketRecord& packet : history.foreign_packets) {
    FlowViolation violation{.fault = FlowFault::kForeignPacket,
                            .addresses = packet.addresses,
                            .receiver = packet.server,
                            .at = packet.at};
    const auto found = by_addresses.find(packet.addresses);
    if (found != by_addresses.end()) {
      const ObservedFlow& flow = *found->second;
      if (EndOf(history, flow.server) <= packet.at) continue;
      violation.server = flow.server;
      violation.opened_at = flow.client.opened_at;
    }
    violations.push_back(std::move(violation));
  }
  return violations;
}

}  // namespace knapweedlift::lab
