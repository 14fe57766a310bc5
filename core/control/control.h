#ifndef KNAPWEEDLIFT_CORE_CONTROL_CONTROL_H_
#define KNAPWEEDLIFT_CORE_CONTROL_CONTROL_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "core/control/messages.h"
#include "core/flow/flow_table.h"
#include "core/membership/members.h"
#include "core/policy/step_planner.h"
#include "core/policy/view.h"

namespace knapweedlift {

inline constexpr Duration kGossipPeriod{500};
inline constexpr size_t kGossipFanout = 2;
inline constexpr size_t kGossipHeartbeats = 16;
inline constexpr size_t kGossipTables = 16;

// A VM places no new flow this long after it sent the last heartbeat that a
// peer has answered. Shorter than kLeaseTimeout, after which the others stop
// waiting for it.
inline constexpr Duration kFreshTimeout{1'500};
// Heartbeats whose time of sending is kept.
inline constexpr size_t kSentHeartbeatHistory = 16;
// A VM that hears no peer at all goes on alone after this wait.
inline constexpr Duration kNoPeerTimeout{5'000};
// A VM that finds no serving peer after its start takes the sheet's tables.
inline constexpr Duration kBootstrapTimeout{3'000};
// A gap between ticks that shows that the process was paused.
inline constexpr Duration kPauseThreshold{1'000};
// A VM acts as maker only after having been the first choice for this long.
inline constexpr Duration kCoordinatorDelay{1'500};
inline constexpr Duration kRequestInterval{500};
// The maker's step is awaited this long before a whole table is asked for.
inline constexpr Duration kStepTimeout{1'500};
// How long a VM that joins or wakes up leaves flows to the other homes.
inline constexpr Duration kHomeDelay{1'500};
// Former homes are asked for this long after a change.
inline constexpr Duration kFormerHomesRetention{3'000};

// Long-lived flows are told to the successor this often, a bounded number of
// buckets at a time.
inline constexpr Duration kOccupancyPeriod{10'000};
inline constexpr size_t kMaxReportedBuckets = 4'096;
// Former lives of VMs that one VM speaks for, for each service.
inline constexpr size_t kMaxInheritedOccupancies = 64;
// Flows of this age count as long-lived.
inline constexpr Duration kLongLivedAge{5'000};

// Buckets in which another VM knew flows.
struct InheritedOccupancy {
  Bitmap occupied;
  // By then its flows have ended or have been seen by others.
  TimePoint expires_at;
};

// What a VM keeps for one service besides its flows.
struct ServiceControl {
  BucketTablePtr table;
  std::vector<ServerId> targets;
  CoordinatorState coordinator;
  // This VM makes generations from then on, while it is the first choice.
  TimePoint coordinates_from = TimePoint::max();
  // No further request for a table before then.
  TimePoint next_request_at;
  // A newer generation that a peer holds; its step is expected here by then.
  GenerationId awaited_generation;
  TimePoint step_deadline;
  // By the VM that knew the flows, and its incarnation.
  std::map<std::pair<VmId, uint64_t>, InheritedOccupancy> inherited;
  // What the successor was told.
  Bitmap reported;
  // Orders gossip: the most recently changed table has the highest number.
  uint64_t change_number = 0;
};

// A VM's whole control state. Functions below change it; they do no I/O and put
// messages to peers into an outbox.
struct ControlState {
  VmAddress self;
  uint64_t incarnation = 0;
  // Services of other tenants are not forwarded; empty for all tenants.
  std::vector<std::string> tenants;
  uint32_t heartbeat = 0;
  MemberPhase phase = MemberPhase::kJoining;
  std::mt19937_64 random;

  SheetPtr sheet;
  std::vector<std::string> sheet_chunks;
  std::map<ServiceNumber, ServiceControl> services;
  uint64_t last_change_number = 0;
  Members members;
  // Speaks for this VM's flows when it is gone.
  VmId successor = kNoVm;
  TimePoint next_occupancy_at;
  // Homes by the last tick, to notice a change.
  std::vector<VmId> homes;
  // This VM counts itself among the homes from then on: the others must have
  // heard of it first.
  TimePoint home_from;
  // As they were before the changes of the last kFormerHomesRetention.
  std::vector<VmId> former_homes;
  TimePoint former_homes_until;

  // When the last heartbeats were sent, by count: an answer confirms this VM's
  // facts as of then, however long the answer waited in a socket.
  std::map<uint32_t, TimePoint> heartbeat_times;
  TimePoint fresh_until;
  // No VM of another failure domain has confirmed this VM's facts since all of
  // them fell silent.
  bool isolated = false;
  TimePoint bootstrap_until;
  TimePoint no_peer_deadline;
  TimePoint next_gossip_at;
  TimePoint next_tick_deadline;
  TimePoint next_sheet_request_at;
  // The workers need a new View.
  bool view_changed = true;
};

// A VM that has just started. `incarnation` grows with every start of a VM.
ControlState InitialControlState(const VmAddress& self, uint64_t incarnation,
                                 TimePoint now);

// Accepts a sheet whole or not at all. On failure the old sheet stays in force.
absl::Status ApplySheet(ControlState& state,
                        const std::vector<std::string>& chunks, TimePoint now);

void ApplyPlatformList(ControlState& state, const std::vector<ListedVm>& list);

// Does what has become due. To be called every 50 to 200 ms.
void Tick(ControlState& state, FlowTable& flows, TimePoint now, Outbox& out);

// Takes a peer's message. Lost, late, doubled and reordered messages are
// harmless.
void Receive(ControlState& state, VmId from, const Message& message,
             FlowTable& flows, TimePoint now, Outbox& out);

// Announces that this VM will stop, and hands over what only it knows.
void Leave(ControlState& state, FlowTable& flows, TimePoint now, Outbox& out);

// True where this VM should watch the platform: two VMs of each failure domain
// do, and those that have no serving peers yet. The rest learn from peers.
bool WatchesPlatform(const ControlState& state, TimePoint now);

// True where this VM should know the platform's VM list: watchers, and makers,
// which wait for silent VMs that are listed.
bool NeedsVmList(const ControlState& state, TimePoint now);

// True while this VM may place new flows.
bool IsFresh(const ControlState& state, TimePoint now);

// A snapshot for the workers.
ViewPtr MakeView(const ControlState& state);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_CONTROL_CONTROL_H_
