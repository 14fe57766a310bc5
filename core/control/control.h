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

// Gossip is sent to kGossipFanout peers in each period. A message holds at most
// kGossipHeartbeats heartbeats and kGossipTables table generations.
inline constexpr Duration kGossipPeriod{500};
inline constexpr size_t kGossipFanout = 2;
inline constexpr size_t kGossipHeartbeats = 16;
inline constexpr size_t kGossipTables = 16;

// A VM stops placing new flows this long after it sent the last heartbeat that
// a peer has acknowledged. Shorter than kLeaseTimeout, after which the peers no
// longer wait for the VM.
inline constexpr Duration kFreshTimeout{1'500};
// Number of own heartbeats whose send times are kept.
inline constexpr size_t kSentHeartbeatHistory = 16;
// A serving VM that receives no gossip for this long continues without peers.
inline constexpr Duration kNoPeerTimeout{5'000};
// A VM that finds no serving peer within this time after its start begins with
// the tables derived from the sheet.
inline constexpr Duration kBootstrapTimeout{3'000};
// A longer interval between two ticks shows that the process was paused.
inline constexpr Duration kPauseThreshold{1'000};
// A VM coordinates a service only after rendezvous hashing has selected it for
// this long.
inline constexpr Duration kCoordinatorDelay{1'500};
// Minimum interval between two requests for a table, or for the sheet.
inline constexpr Duration kRequestInterval{500};
// How long a VM waits for the coordinator's step before it requests the whole
// table.
inline constexpr Duration kStepTimeout{1'500};
// How long a VM that has joined, or was stale, leaves flows to the other homes.
inline constexpr Duration kHomeDelay{1'500};
// How long former homes are consulted after the set of homes has changed.
inline constexpr Duration kFormerHomesRetention{3'000};

// Interval of reports of long-lived flows to the successor, and the maximum
// number of buckets in one report.
inline constexpr Duration kOccupancyPeriod{10'000};
inline constexpr size_t kMaxReportedBuckets = 4'096;
// Maximum number of VM incarnations whose occupancy a VM keeps for each
// service.
inline constexpr size_t kMaxInheritedOccupancies = 64;
// Minimum age of a long-lived flow.
inline constexpr Duration kLongLivedAge{5'000};

// Occupied buckets that another VM reported to this VM, its successor.
struct InheritedOccupancy {
  Bitmap occupied;
  // By then the flows have ended or have been seen by other VMs.
  TimePoint expires_at;
};

// Control state of one service. Its flows are kept in the FlowTable.
struct ServiceControl {
  // Null until this VM has a table.
  BucketTablePtr table;
  // Target server of each bucket by the sheet in force.
  std::vector<ServerId> targets;
  CoordinatorState coordinator;
  // This VM coordinates the service from this time on, as long as it stays
  // selected. TimePoint::max() while another VM is selected.
  TimePoint coordinates_from = TimePoint::max();
  // Earliest time of the next request for this table.
  TimePoint next_request_at;
  // A newer generation that a peer holds, and the time by which the step to it
  // should have arrived here.
  GenerationId awaited_generation;
  TimePoint step_deadline;
  // Keyed by the VM that knew the flows, and its incarnation.
  std::map<std::pair<VmId, uint64_t>, InheritedOccupancy> inherited;
  // Buckets already reported to the successor.
  Bitmap reported;
  // Sequence number of the table's last change. Gossip lists the tables with
  // the highest numbers first.
  uint64_t change_number = 0;
};

// Complete control state of one VM. The functions below modify it; they perform
// no I/O and append messages to peers to an outbox.
struct ControlState {
  VmAddress self;
  uint64_t incarnation = 0;
  // Tenants whose services this VM forwards; empty for all tenants.
  std::vector<std::string> tenants;
  // Count of the last own heartbeat.
  uint32_t heartbeat = 0;
  MemberPhase phase = MemberPhase::kJoining;
  std::mt19937_64 random;

  // The sheet in force, parsed and as published; null until there is one.
  SheetPtr sheet;
  std::vector<std::string> sheet_chunks;
  std::map<ServiceNumber, ServiceControl> services;
  uint64_t last_change_number = 0;
  Members members;
  // Reports this VM's flows to coordinators once this VM is gone.
  VmId successor = kNoVm;
  TimePoint next_occupancy_at;
  // Homes as of the last tick, to detect changes.
  std::vector<VmId> homes;
  // This VM is a home only from this time on: the other VMs must have learned
  // of it first.
  TimePoint home_from;
  // The homes before the changes of the last kFormerHomesRetention.
  std::vector<VmId> former_homes;
  TimePoint former_homes_until;

  // Send times of the last heartbeats, by count. A reply confirms this VM's
  // facts as of the time when the acknowledged heartbeat was sent, however long
  // the reply was queued in a socket.
  std::map<uint32_t, TimePoint> heartbeat_times;
  TimePoint fresh_until;
  // All VMs of the other failure domains fell silent, and none of them has
  // confirmed this VM's facts since.
  bool isolated = false;
  TimePoint bootstrap_until;
  TimePoint no_peer_deadline;
  TimePoint next_gossip_at;
  TimePoint next_tick_deadline;
  TimePoint next_sheet_request_at;
  // The packet workers need a new View.
  bool view_changed = true;
};

// Returns the state of a VM that has just started. `incarnation` must increase
// with every start of a VM.
ControlState InitialControlState(const VmAddress& self, uint64_t incarnation,
                                 TimePoint now);

// Parses, checks and applies a sheet as a whole. On an error, which is that of
// ParseSheet or CheckSheetChange, the previous sheet stays in force.
absl::Status ApplySheet(ControlState& state,
                        const std::vector<std::string>& chunks, TimePoint now);

// Updates the members from the platform's VM list.
void ApplyPlatformList(ControlState& state, const std::vector<ListedVm>& list);

// Performs all work that is due. Must be called every 50 to 200 ms.
void Tick(ControlState& state, FlowTable& flows, TimePoint now, Outbox& out);

// Handles a message from a peer. Lost, late, duplicated and reordered messages
// are tolerated.
void Receive(ControlState& state, VmId from, const Message& message,
             FlowTable& flows, TimePoint now, Outbox& out);

// Announces that this VM will stop, and hands over the state that no other VM
// has.
void Leave(ControlState& state, FlowTable& flows, TimePoint now, Outbox& out);

// Returns true if this VM should watch the platform. In each failure domain two
// serving VMs do, and so does every VM that is not serving. The others learn of
// changes from their peers.
bool WatchesPlatform(const ControlState& state, TimePoint now);

// Returns true if this VM needs the platform's VM list. Watchers do, and so do
// coordinators, which wait for silent VMs that are listed.
bool NeedsVmList(const ControlState& state, TimePoint now);

// Returns true if this VM's facts were confirmed recently enough to place new
// flows.
bool IsFresh(const ControlState& state, TimePoint now);

// Returns an immutable snapshot of the state for the packet workers.
ViewPtr MakeView(const ControlState& state);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_CONTROL_CONTROL_H_
