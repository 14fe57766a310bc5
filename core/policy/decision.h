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
  kForward,  // Forward to the backend server `server` of `service`.
  kRelay,    // Relay to the VM `peer`.
  kDrop,
};

// Action for one packet, and the reason for it.
struct Decision {
  Verdict verdict = Verdict::kDrop;
  ResultCode reason = ResultCode::kDropUnknownService;
  const ServiceView* service = nullptr;
  ServerId server = kNoServer;
  VmId peer = kNoVm;
  RelayOption relay_option;
  // VMs to notify of the flow's server; kNoVm if none.
  VmId notify_first = kNoVm;
  VmId notify_second = kNoVm;
  // Flow state sent with the notification.
  FlowState notify_state = FlowState::kEstablished;
};

// Returns the service that a packet is addressed to, or null.
const ServiceView* ServiceOf(const View& view, const FlowKey& key);

// Decides what to do with one packet. `flows` is the shard of the packet's
// flow, whose lock the caller holds. Records the flow's server if it is
// certain. Never allocates memory, provided that the shard has reserved its
// capacity.
Decision DecidePacket(const View& view, FlowMap& flows,
                      const PacketMetadata& meta, uint64_t fingerprint,
                      const std::optional<RelayOption>& relay_option,
                      const DecisionTime& time);

// Records the server of a flow as notified by another VM. An established flow,
// one of which this VM forwarded a packet other than a SYN, keeps its server.
void RecordFlowServer(FlowMap& flows, const Service& service,
                      uint64_t fingerprint, ServerId server, FlowState state,
                      TimePoint now);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_POLICY_DECISION_H_
