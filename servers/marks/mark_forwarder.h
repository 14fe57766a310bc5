#ifndef KNAPWEEDLIFT_SERVERS_MARKS_MARK_FORWARDER_H_
#define KNAPWEEDLIFT_SERVERS_MARKS_MARK_FORWARDER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "absl/status/status.h"
#include "core/flow/marked_flows.h"
#include "core/packet/marked_packet.h"
#include "core/placement/cold_allowance.h"
#include "servers/marks/decision_log.h"
#include "servers/marks/shared_mark_view.h"
#include "servers/metrics.h"
#include "servers/packet_workers.h"

namespace knapweedlift {

struct MarkForwarderSettings {
  Endpoint data;
  size_t workers = 1;
  uint64_t hash_key = 0;

  auto operator<=>(const MarkForwarderSettings&) const = default;
};

// A copy of a SYN that another VM may have forwarded.
struct HeldCopy {
  OpeningId id;
  std::vector<uint8_t> datagram;

  auto operator<=>(const HeldCopy&) const = default;
};

// Takes a copy that waits for the decision of the VM that forwarded its SYN.
// Returns false if it cannot wait. Called by the workers.
using CopyHolder = std::function<bool(HeldCopy)>;

// State that the packet path shares with the control plane. The references must
// outlive the forwarder.
struct MarkForwarderContext {
  const MarkedPacketCodec& codec;
  SharedMarkView& view;
  MarkedFlowTable& flows;
  DecisionLog& log;
  CopyHolder hold_copy;
};

// The packet path of the daemon: forwards each packet by its mark, and places
// new flows on a server.
class MarkForwarder {
 public:
  MarkForwarder(const MarkForwarderSettings& settings,
                const MarkForwarderContext& context);

  // Opens the sockets and starts the workers, which wait for the first view.
  // Fails if a socket cannot be opened.
  absl::Status Start();
  void Stop();

  // Ends the flows of a server that does not answer: flows that are still
  // opening move to another server, and the callers of the others get a reset.
  // An opening flow that no server can take is reset as well.
  void MoveOrResetFlows(const MarkView& view, Mark mark, TimePoint now);

  // Forwards a copy that has waited: to the server of its SYN if `opening`
  // tells it, else as a new flow. Called by one thread only.
  void ForwardHeldCopy(HeldCopy copy, const std::optional<Opening>& opening,
                       TimePoint now);

  TimePoint last_ingress_packet_at() const {
    return workers_.last_ingress_packet_at();
  }
  const ColdFlowCounts& cold_flows() const { return cold_flows_; }
  const MetricsShards& metrics() const { return metrics_; }
  Endpoint data_endpoint() const { return workers_.endpoint(); }

 private:
  void MoveOrResetShardFlows(const MarkView& view, Mark mark, TimePoint now,
                             MarkedFlowTable::Shard& shard);
  void MoveOrResetFlow(const MarkView& view, uint64_t fingerprint,
                       TimePoint now, MarkedFlowMap& map, SendBatch& batch);

  MarkForwarderSettings settings_;
  MarkForwarderContext context_;
  ColdFlowCounts cold_flows_;
  MetricsShards metrics_;
  // Decides on copies that have waited.
  std::unique_ptr<DatagramHandler> released_copies_;
  PacketWorkers workers_;
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_SERVERS_MARKS_MARK_FORWARDER_H_
