#ifndef KNAPWEEDLIFT_CORE_FLOW_MARKED_FLOWS_H_
#define KNAPWEEDLIFT_CORE_FLOW_MARKED_FLOWS_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "core/flow/flow_table.h"
#include "core/packet/marked_packet.h"
#include "core/registry/facts.h"
#include "core/result_code.h"
#include "core/time.h"

namespace knapweedlift {

enum class MarkedFlowState : uint8_t {
  kOpening,  // Only SYNs were seen.
  kOpen,
  kClosing,  // The caller sent FIN.
};

// Why a flow is where it is.
struct FlowPlacement {
  ResultCode reason = ResultCode::kForwardedByMark;
  // The facts that decided, and how long before they had been confirmed.
  Revision revision = 0;
  Duration facts_age{0};
  TimePoint placed_at;

  auto operator<=>(const FlowPlacement&) const = default;
};

// What a VM remembers of a flow with a mark. No packet's way depends on it, but
// for copies of SYNs: it is evidence of how the flow's server is.
struct MarkedFlow {
  FlowKey key;
  Mark mark = kNoMark;
  MarkedFlowState state = MarkedFlowState::kOpen;
  // Sequence number of the SYN; tells its copies from another flow's SYN.
  uint32_t syn_sequence = 0;
  // Next byte that the caller will send, and that it expects.
  uint32_t next_sequence = 0;
  uint32_t acknowledged = 0;
  TimePoint last_seen;
  // When the caller began to wait for the server; never where it does not wait.
  TimePoint waiting_since = TimePoint::max();
  FlowPlacement placement;
  // The SYN as it came, while the flow is opening.
  std::vector<uint8_t> syn_packet;

  bool operator==(const MarkedFlow&) const = default;
};

// What the flows of one server in one shard tell about it.
struct ServerTraffic {
  uint32_t flows = 0;
  // Flows whose caller waits for the server.
  uint32_t waiting = 0;
  // Since when callers wait without any of them having been answered; never
  // where none waits.
  TimePoint silent_since = TimePoint::max();
  TimePoint last_answer;
  // Moving average of how long callers wait, from the usual delay of an
  // acknowledgment on.
  double mean_wait_ms = 50;

  bool operator==(const ServerTraffic&) const = default;
};

// The flows of one shard. The caller holds the shard's lock.
struct MarkedFlowMap {
  absl::flat_hash_map<uint64_t, MarkedFlow, FingerprintHash> flows;
  absl::flat_hash_map<Mark, ServerTraffic> servers;
  size_t capacity = 0;
};

// What one packet told.
struct PacketObservation {
  // The first packet after the handshake.
  bool handshake_completed = false;
  // The caller repeats what the server has not answered.
  bool retransmitted = false;
  // The packet shows that the server has answered.
  bool answered = false;
  // How long the caller waited for that answer.
  Duration waited{0};

  auto operator<=>(const PacketObservation&) const = default;
};

// The entry of a flow, or null.
MarkedFlow* FindMarkedFlow(MarkedFlowMap& map, uint64_t fingerprint);

// Notes a caller's packet that goes to the server with `mark`. New flows beyond
// the capacity are not remembered.
PacketObservation RecordPacket(MarkedFlowMap& map, uint64_t fingerprint,
                               const MarkedPacket& packet, Mark mark,
                               TimePoint now);

// Moves an opening flow to another server.
void MoveFlow(MarkedFlowMap& map, MarkedFlow& flow, Mark mark, TimePoint now);

void RemoveMarkedFlow(MarkedFlowMap& map, uint64_t fingerprint);

// Removes flows that were silent for `idle_timeout`, and those that were closed
// for a while.
void ExpireMarkedFlows(MarkedFlowMap& map, Duration idle_timeout,
                       TimePoint now);

// All marked flows of a VM in shards, each under its own lock.
class MarkedFlowTable {
 public:
  // `shard_count` is a power of two; `capacity` counts flows over all shards.
  MarkedFlowTable(size_t shard_count, size_t capacity);

  struct Shard {
    absl::Mutex mutex;
    MarkedFlowMap map ABSL_GUARDED_BY(mutex);
  };

  Shard& ShardOf(uint64_t fingerprint);
  size_t shard_count() const { return shards_.size(); }
  Shard& shard(size_t index) { return *shards_[index]; }

  // What all flows tell, by server.
  absl::flat_hash_map<Mark, ServerTraffic> Traffic();

 private:
  std::vector<std::unique_ptr<Shard>> shards_;
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_FLOW_MARKED_FLOWS_H_
