#ifndef KNAPWEEDLIFT_CORE_FLOW_MARKED_FLOWS_H_
#define KNAPWEEDLIFT_CORE_FLOW_MARKED_FLOWS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "core/flow/flow_table.h"
#include "core/flow/opening.h"
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

// Why a flow was placed on its server.
struct FlowPlacement {
  ResultCode reason = ResultCode::kForwardedByMark;
  // Revision of the facts behind the decision, and their age since they were
  // last confirmed.
  Revision revision = 0;
  Duration facts_age{0};
  TimePoint placed_at;

  auto operator<=>(const FlowPlacement&) const = default;
};

// State of a flow with a mark. It serves the passive health checks of the
// flow's server; forwarding depends on it only for retransmitted SYNs.
struct MarkedFlow {
  FlowKey key;
  Mark mark = kNoMark;
  MarkedFlowState state = MarkedFlowState::kOpen;
  // Sequence number of the SYN. Distinguishes its retransmissions from the SYN
  // of another flow.
  uint32_t syn_sequence = 0;
  // Next byte that the caller will send, and next byte that it expects.
  uint32_t next_sequence = 0;
  uint32_t acknowledged = 0;
  // This VM has forwarded the flow while it knew its route.
  bool routed = false;
  // A response to the caller's first request was seen.
  bool served = false;
  TimePoint last_seen;
  // When the caller began to wait for the server; TimePoint::max() if it does
  // not wait.
  TimePoint waiting_since = TimePoint::max();
  FlowPlacement placement;
  // The SYN as received, while the flow is opening.
  std::vector<uint8_t> syn_packet;

  bool operator==(const MarkedFlow&) const = default;
};

// A flow that sends packets although this VM knows no route for them.
struct UnroutedFlow {
  // The first such packet.
  TimePoint since;
  TimePoint last_seen;
  // This VM knew the route before, so that the route was dropped.
  bool had_route = false;

  auto operator<=>(const UnroutedFlow&) const = default;
};

// Passive health data about a server from its flows in one shard.
struct ServerTraffic {
  uint32_t flows = 0;
  // Flows whose caller awaits a response.
  uint32_t waiting = 0;
  // Since when callers have been waiting without any response; TimePoint::max()
  // if none waits.
  TimePoint silent_since = TimePoint::max();
  TimePoint last_answer;
  // Moving average of the time that callers wait. Starts at the usual delay of
  // an acknowledgment.
  double mean_wait_ms = 50;

  bool operator==(const ServerTraffic&) const = default;
};

// Times that callers waited for the first answer to a request. Handshakes are
// left out, and so are answers shown by a packet with data, which may follow
// the answer by the caller's think time.
struct ResponseWaits {
  uint32_t count = 0;
  // Sum of the logarithms of the waits in milliseconds, which long single waits
  // influence less than a sum of the waits.
  double log_sum = 0;

  bool operator==(const ResponseWaits&) const = default;
};

// A placed flow whose keepers are told of it if it is still opening then.
struct DueOpening {
  OpeningId id;
  TimePoint due_at;

  auto operator<=>(const DueOpening&) const = default;
};

// The flows of one shard. The shard's lock guards them.
struct MarkedFlowMap {
  absl::flat_hash_map<uint64_t, MarkedFlow, FingerprintHash> flows;
  // Flows without a route, whether or not they are in `flows`.
  absl::flat_hash_map<uint64_t, UnroutedFlow, FingerprintHash> unrouted;
  absl::flat_hash_map<Mark, ServerTraffic> servers;
  // Since they were last taken, by server.
  absl::flat_hash_map<Mark, ResponseWaits> waits;
  // In the order of their times, moved flows first.
  std::deque<DueOpening> due_openings;
  size_t capacity = 0;
};

// What one packet reveals about its flow.
struct PacketObservation {
  // The first packet after the handshake.
  bool handshake_completed = false;
  // The caller retransmits data or a SYN that the server has not answered.
  bool retransmitted = false;
  // The packet shows that the server has answered.
  bool answered = false;
  // How long the caller waited for that answer.
  Duration waited{0};
  // The answer is the first response on the flow, and no refusal by a full
  // server.
  bool first_served = false;

  auto operator<=>(const PacketObservation&) const = default;
};

// Returns the entry of a flow, or null if there is none.
MarkedFlow* FindMarkedFlow(MarkedFlowMap& map, uint64_t fingerprint);

// Records a caller's packet that is forwarded to the server with `mark`. New
// flows beyond the capacity are not tracked.
PacketObservation RecordPacket(MarkedFlowMap& map, uint64_t fingerprint,
                               const MarkedPacket& packet, Mark mark,
                               TimePoint now);

// From a SYN until its keepers are told. An answered SYN is followed by the
// caller's next packet within two round trips, and callers repeat an unanswered
// one after 200 ms.
inline constexpr Duration kOpeningReportDelay{40};

// Records that this VM selected the server of an opening flow.
void RecordPlacement(MarkedFlowMap& map, uint64_t fingerprint, MarkedFlow& flow,
                     const FlowPlacement& placement);

// Returns the openings whose keepers are to be told now: flows that are still
// opening kOpeningReportDelay after their placement.
std::vector<Opening> TakeDueOpenings(MarkedFlowMap& map, TimePoint now);

// True for a copy of a SYN that this VM has not seen before, so that another VM
// may have forwarded the SYN. `flow` is this VM's entry of the flow, or null.
bool IsUnseenCopy(const MarkedPacket& packet, const MarkedFlow* flow);

// Records the flow of an unseen copy as another VM has placed it.
void AdoptOpening(MarkedFlowMap& map, const MarkedPacket& packet,
                  const Opening& opening, TimePoint now);

// Moves an opening flow to the server with `mark`. Its keepers are told at
// once.
void MoveFlow(MarkedFlowMap& map, uint64_t fingerprint, MarkedFlow& flow,
              Mark mark, TimePoint now);

void RemoveMarkedFlow(MarkedFlowMap& map, uint64_t fingerprint);

// Records a packet of an open flow for which this VM knows no route, and
// returns true if the route may be newer than the facts, which were last
// confirmed at `confirmed_at`. The flow was opened before its first packet
// here, so that facts confirmed kMaxFactsLag after that packet include its
// route unless it was dropped. Flows beyond the capacity are not recorded and
// stay in doubt.
bool IsRouteInDoubt(MarkedFlowMap& map, uint64_t fingerprint,
                    TimePoint confirmed_at, TimePoint now);

// Records that this VM knows the route of a flow. `flow` is its entry; null if
// the flow is not tracked.
void RecordRoute(MarkedFlowMap& map, uint64_t fingerprint, MarkedFlow* flow);

// Removes flows that were idle for `idle_timeout`, and with shorter timeouts
// those that were closed or never completed the handshake.
void ExpireMarkedFlows(MarkedFlowMap& map, Duration idle_timeout,
                       TimePoint now);

// All marked flows of a VM, in shards with a lock each.
class MarkedFlowTable {
 public:
  // `shard_count` must be a power of two. `capacity` is the number of flows
  // over all shards.
  MarkedFlowTable(size_t shard_count, size_t capacity);

  struct Shard {
    absl::Mutex mutex;
    MarkedFlowMap map ABSL_GUARDED_BY(mutex);
  };

  Shard& ShardOf(uint64_t fingerprint);
  size_t shard_count() const { return shards_.size(); }
  Shard& shard(size_t index) { return *shards_[index]; }

  // Combines the health data of all shards by server.
  absl::flat_hash_map<Mark, ServerTraffic> Traffic();

  // Takes the due openings of all shards.
  std::vector<Opening> TakeDueOpenings(TimePoint now);

  // Returns the waits of all shards by server since the last call.
  absl::flat_hash_map<Mark, ResponseWaits> TakeResponseWaits();

 private:
  std::vector<std::unique_ptr<Shard>> shards_;
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_FLOW_MARKED_FLOWS_H_
