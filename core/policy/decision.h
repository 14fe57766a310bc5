#ifndef KNAPWEEDLIFT_CORE_POLICY_DECISION_H_
#define KNAPWEEDLIFT_CORE_POLICY_DECISION_H_

#include <cstdint>
#include <optional>

#include "core/flow/flow_table.h"
#include "core/packet/geneve.h"
#include "core/packet/inner_packet.h"
#include "core/policy/view.h"
#include "core/result_code.h"

namespace knapweedlift {

enum class Verdict : uint8_t {
  kForward,  // To the backend server `server` of `service`.
  kRelay,    // To the VM `peer`.
  kDrop,
};

// What to do with one packet, and why.
struct Decision {
  Verdict verdict = Verdict::kDrop;
  ResultCode reason = ResultCode::kDropUnknownService;
  const ServiceView* service = nullptr;
  ServerId server = kNoServer;
  VmId peer = kNoVm;
  RelayOption hand_on;
  // VMs to be told the flow's server; kNoVm where none.
  VmId notify_first = kNoVm;
  VmId notify_second = kNoVm;
  // What they are told of the flow's state.
  FlowState notify_state = FlowState::kEstablished;
};

// The service that a packet is addressed to, or null.
const ServiceView* ServiceOf(const View& view, const FlowKey& key);

// Decides one packet. `flows` is the shard of the packet's flow, whose lock the
// caller holds. Learns the flow's server where that is certain. Never
// allocates, given that the shard has its capacity reserved.
Decision DecidePacket(const View& view, FlowMap& flows,
                      const PacketMetadata& meta, uint64_t fingerprint,
                      const std::optional<RelayOption>& hand_on,
                      const DecisionTime& time);

// Stores what a home says of a flow. A flow whose payload this VM forwarded
// keeps its server.
void RecordFlowServer(FlowMap& flows, const Service& service,
                      uint64_t fingerprint, ServerId server, FlowState state,
                      TimePoint now);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_POLICY_DECISION_H_
