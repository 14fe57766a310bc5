#ifndef KNAPWEEDLIFT_CORE_FLEET_FLEET_H_
#define KNAPWEEDLIFT_CORE_FLEET_FLEET_H_

#include <optional>
#include <random>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/fleet/messages.h"
#include "core/registry/registry.h"

namespace knapweedlift {

// A VM that waits for a snapshot.
struct WaitingVm {
  VmAddress address;
  // It reads the platform rather than use facts that are not confirmed.
  bool confirmed_only = false;

  auto operator<=>(const WaitingVm&) const = default;
};

// The state of a VM that gets its first facts, and of one that helps others to
// theirs; core/fleet/first_facts.h.
struct FirstFactsState {
  // When the next request for a snapshot is due; max() if none is.
  TimePoint next_request_at;
  // Requests to seeds, and referrals that were followed.
  size_t requests = 0;
  size_t referrals = 0;
  // From then on a VM without facts reads the platform's first page.
  TimePoint first_page_at;
  // From then on it reads all of the platform.
  TimePoint platform_read_at;
  // VMs that wait for a snapshot of this VM, in the order of their requests.
  std::vector<WaitingVm> waiting;
  // VMs that this VM has told to read the platform.
  std::vector<VmAddress> platform_readers;
  size_t next_referral = 0;
};

// The state of a VM whose facts differ from those that a peer has at the same
// revision. Either may be wrong, so that both read the platform's facts anew.
struct RepairState {
  bool needed = false;
  // The next difference is not acted on earlier.
  TimePoint not_before;
  Duration backoff{0};
  // Differences that were acted on since the start.
  uint64_t count = 0;

  auto operator<=>(const RepairState&) const = default;
};

// Flows of the failure domain that this VM keeps while they open;
// core/fleet/openings.h.
struct OpeningTable {
  absl::flat_hash_map<uint64_t, Opening> by_flow;
};

// Replication of facts and load between VMs. One VM, the watcher, watches the
// platform and distributes its changes. Every VM can take over, so that each
// side of a network partition has its own watcher.
struct FleetState {
  VmAddress self;
  uint64_t incarnation = 0;
  uint32_t heartbeat = 0;
  MemberPhase phase = MemberPhase::kJoining;
  std::vector<Endpoint> seeds;
  Members members;
  std::minstd_rand random;

  TimePoint next_gossip_at;
  // A VM without live peers contacts one of its seeds, with exponential
  // backoff.
  TimePoint next_seed_at;
  Duration seed_backoff{0};
  size_t seed_attempts = 0;
  // Until then peers are still being discovered, and this VM does not claim the
  // watch for being the longest-running one.
  TimePoint discovery_ends_at;
  // True if this VM watches the platform and the platform responds.
  bool watching = false;
  TimePoint next_lease_at;
  // The watcher of the fleet and the expiry of its lease.
  VmId watch_lease_holder = kNoVm;
  TimePoint watch_lease_expires_at;
  // A VM that has run for longer holds a lease until then; this VM does not
  // watch meanwhile.
  TimePoint yield_until;
  // When the facts were last confirmed to be current.
  TimePoint confirmed_at;
  // Earliest time of the next request for facts.
  TimePoint next_facts_request_at;
  // Since when this VM lacks changes that its peers can send only as a
  // snapshot; TimePoint::max() if it lacks none.
  TimePoint lagging_since = TimePoint::max();
  // The changes that it lacks are of a later era.
  bool lags_by_era = false;
  // Earliest time of the next snapshot for VMs that are still in an earlier
  // era.
  TimePoint next_era_snapshot_at;
  // The last peer that reported having them.
  Endpoint catch_up_peer;
  RepairState repair;
  FirstFactsState first_facts;
  // Streams on which this VM is sending large messages.
  size_t snapshots_in_flight = 0;
  // Load that the flows of this VM and of other VMs put on servers.
  std::vector<ServerLoad> own_loads;
  // The next report is due at the shortest interval, since a server became
  // slow or recovered.
  bool load_report_due = false;
  std::vector<DomainLoad> domain_loads;
  LoadReports loads;
  TimePoint next_load_at;
  // Content and time of the last load notice.
  std::vector<ServerLoad> reported_loads;
  TimePoint reported_loads_at;
  OpeningTable openings;
};

inline constexpr Duration kFleetGossipPeriod{500};
// Peers of the own failure domain that get gossip in each period.
inline constexpr size_t kFleetGossipFanout = 1;
// Number of periods between messages of gossip to another failure domain.
inline constexpr uint32_t kRemoteGossipInterval = 3;
// Peers listed in one message, including the sender.
inline constexpr size_t kMaxFleetGossipPeers = 12;
inline constexpr Duration kFactsRequestInterval{200};
// A lagging VM first asks the platform for the changes; after this delay it
// asks a peer for a snapshot.
inline constexpr Duration kSnapshotRequestDelay{1'500};
// Delay from a VM's first read of the platform until it accepts any peer's
// snapshot, without which it cannot serve. A platform that is reachable
// responds sooner than this.
inline constexpr Duration kFirstSnapshotRequestDelay{300};
inline constexpr Duration kSnapshotRequestInterval{2'000};
// Longer than a snapshot takes to reach all VMs through the relay tree.
inline constexpr Duration kEraSnapshotInterval{2'000};
inline constexpr Duration kMinSeedBackoff{500};
inline constexpr Duration kMaxSeedBackoff{4'000};
// VMs of the own failure domain that get load notices.
inline constexpr size_t kLoadNoticeFanout = 8;
inline constexpr size_t kMaxGossipDomainLoads = 16;
// Time from the start, and again from serving, until a VM may claim the watch
// without knowing its holder. Seeds know most VMs first and go ahead.
inline constexpr Duration kSeedDiscoveryTime{600};
inline constexpr Duration kDiscoveryTime{1'200};

// Returns the state of a VM that starts at `now`.
FleetState StartFleet(const VmAddress& self, const std::vector<Endpoint>& seeds,
                      uint64_t incarnation, TimePoint now);

// Sends gossip about this VM and some of its peers to `to`.
void SendGossip(FleetState& state, const Registry& registry, const Endpoint& to,
                bool reply_wanted, TimePoint now, FleetOutbox& out);

// Sends gossip, load notices, snapshot requests and lease renewals that are
// due.
void TickFleet(FleetState& state, const Registry& registry, TimePoint now,
               FleetOutbox& out);

// The effects of a message that the caller has to act on.
struct FleetMessageResult {
  bool facts_changed = false;
  // The sender has other facts at the same revision, and a repair is due.
  bool facts_differ = false;
  // Servers that failed health checks of another VM.
  std::vector<Mark> suspect_marks;
  // Servers that answered callers of another VM, and since when they have.
  std::vector<Mark> answering_marks;
  TimePoint answered_at;
  std::optional<OpeningReply> opening_reply;

  auto operator<=>(const FleetMessageResult&) const = default;
};

// Handles a message of the VM `sender`. A message of an unknown sender is
// ignored unless it carries the sender's address.
FleetMessageResult HandleFleetMessage(FleetState& state, Registry& registry,
                                      VmId sender, const FleetMessage& message,
                                      TimePoint now, FleetOutbox& out);

// True if this VM lags behind or needs a repair, and should fetch changes from
// the platform once.
bool ShouldCatchUp(const FleetState& state, const Registry& registry,
                   TimePoint now);

// Records that this VM has the changes that it lacked.
inline void EndLag(FleetState& state) {
  state.lagging_since = TimePoint::max();
  state.lags_by_era = false;
}

// Records that this VM itself has just read the platform's current facts.
inline void RecordConfirmation(FleetState& state, TimePoint now) {
  state.confirmed_at = now;
  EndLag(state);
}

// Sets whether the platform responds to this VM's watch, and announces a change
// to the fleet.
void SetWatching(FleetState& state, const Registry& registry, bool watching,
                 TimePoint now, FleetOutbox& out);

// Sends the changes after revision `before` to the fleet.
void SendFacts(const FleetState& state, const Registry& registry,
               Revision before, TimePoint now, FleetOutbox& out);

// Reports servers that failed this VM's health checks to the failure domain.
void SendSuspicions(const FleetState& state, const std::vector<Mark>& marks,
                    FleetOutbox& out);

// Reports to the failure domain that suspects answered this VM's callers.
void SendAnswers(const FleetState& state, const std::vector<Mark>& marks,
                 TimePoint answered_at, FleetOutbox& out);

// True if the settings name this VM as a seed.
bool IsSeed(const FleetState& state);

// A seed other than this VM, in turn. Nothing if there is none.
std::optional<Endpoint> NextSeed(FleetState& state);

// Number of other VMs of the failure domain whose lease has not expired.
size_t CountLivePeers(const FleetState& state, TimePoint now);

// Enters a phase and announces it to live VMs of the failure domain, at most
// kMaxFleetGossipPeers of them. A VM that starts to serve exchanges gossip with
// a seed as well, which knows more VMs than it does. One that leaves tells the
// watcher, which may send the changes for its failure domain to it.
void EnterPhase(FleetState& state, const Registry& registry, MemberPhase phase,
                TimePoint now, FleetOutbox& out);

// VMs of the failure domain in ascending order, including this one.
std::vector<VmId> DomainVms(const FleetState& state);

FactsVersion FactsVersionOf(const Registry& registry);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_FLEET_FLEET_H_
