#ifndef KNAPWEEDLIFT_CORE_FLEET_FLEET_H_
#define KNAPWEEDLIFT_CORE_FLEET_FLEET_H_

#include <random>
#include <vector>

#include "core/fleet/messages.h"
#include "core/registry/registry.h"

namespace knapweedlift {

// What a VM knows of the other VMs, and its part in passing facts on. One VM
// watches the platform and tells the others; each is ready to take over, so
// that every side of a split has its own watcher.
struct FleetState {
  VmAddress self;
  uint64_t incarnation = 0;
  uint32_t heartbeat = 0;
  MemberPhase phase = MemberPhase::kJoining;
  std::vector<Endpoint> seeds;
  Members members;
  std::minstd_rand random;

  TimePoint next_gossip_at;
  // A VM that knows no other asks one of its seeds, after longer and longer
  // pauses.
  TimePoint next_seed_at;
  Duration seed_backoff{0};
  size_t seed_attempts = 0;
  // Until then other VMs are still being found, and the duty to watch is open.
  TimePoint discovery_ends_at;
  // This VM watches the platform, and the platform answers it.
  bool watching = false;
  TimePoint next_lease_at;
  // The VM that watches for all, and when its lease ends.
  VmId watch_lease_holder = kNoVm;
  TimePoint watch_lease_expires_at;
  // An older VM watches until then; a watcher yields to it.
  TimePoint yield_until;
  // When the facts were last known to be the newest there are.
  TimePoint confirmed_at;
  // No further request for facts before.
  TimePoint next_facts_request_at;
  // Since when this VM lacks changes that no VM it heard of can tell one by
  // one; never where it lacks none.
  TimePoint lagging_since = TimePoint::max();
  // The last VM that was heard to have them.
  Endpoint catch_up_peer;
  // Load of this VM's flows, and of other VMs'.
  std::vector<ServerLoad> own_loads;
  std::vector<DomainLoad> domain_loads;
  LoadReports loads;
  TimePoint next_load_at;
  // What the last load notice said.
  std::vector<ServerLoad> reported_loads;
  TimePoint reported_loads_at;
};

inline constexpr Duration kFleetGossipPeriod{500};
// Peers of the failure domain that hear this VM in each period.
inline constexpr size_t kFleetGossipFanout = 1;
// One of the other failure domains hears it once in so many periods.
inline constexpr uint32_t kRemoteGossipInterval = 3;
// Peers named in one message, the sender included.
inline constexpr size_t kMaxFleetGossipPeers = 12;
inline constexpr Duration kFactsRequestInterval{200};
// A VM that is behind asks the platform first, and after this time a peer for
// everything.
inline constexpr Duration kSnapshotRequestDelay{1'500};
// One without any facts cannot serve; a platform that answers does so sooner.
inline constexpr Duration kFirstSnapshotRequestDelay{300};
inline constexpr Duration kSnapshotRequestInterval{2'000};
inline constexpr Duration kMinSeedBackoff{500};
inline constexpr Duration kMaxSeedBackoff{4'000};
// VMs of the failure domain that hear this VM's load.
inline constexpr size_t kLoadNoticeFanout = 8;
inline constexpr size_t kMaxGossipDomainLoads = 16;
inline constexpr Duration kDiscoveryTime{600};

FleetState StartFleet(const VmAddress& self, const std::vector<Endpoint>& seeds,
                      uint64_t incarnation, TimePoint now);

// Does what is due.
void TickFleet(FleetState& state, const Registry& registry, TimePoint now,
               FleetOutbox& out);

// What a message brought.
struct FleetMessageResult {
  bool facts_changed = false;
  // Servers that failed another VM's checks.
  std::vector<Mark> suspect_marks;

  auto operator<=>(const FleetMessageResult&) const = default;
};

// Takes a message of the VM `sender`. All but gossip is ignored where this VM
// does not know the sender.
FleetMessageResult HandleFleetMessage(FleetState& state, Registry& registry,
                                      VmId sender, const FleetMessage& message,
                                      TimePoint now, FleetOutbox& out);

// True where this VM is to ask the platform once for the changes that it lacks.
bool ShouldCatchUp(const FleetState& state, const Registry& registry);

// This VM itself just read what the platform has.
inline void RecordConfirmation(FleetState& state, TimePoint now) {
  state.confirmed_at = now;
  state.lagging_since = TimePoint::max();
}

// Notes whether the platform answers this VM's watch, and tells the fleet where
// that changes.
void SetWatching(FleetState& state, const Registry& registry, bool watching,
                 TimePoint now, FleetOutbox& out);

// Passes on what the platform told this VM after `before`.
void SendFacts(const FleetState& state, const Registry& registry,
               Revision before, TimePoint now, FleetOutbox& out);

// Tells the failure domain of servers that failed this VM's checks.
void SendSuspicions(const FleetState& state, const std::vector<Mark>& marks,
                    FleetOutbox& out);

// The other VMs of the failure domain that are alive.
size_t CountLivePeers(const FleetState& state, TimePoint now);

// Enters a phase and tells the VMs that matter.
void EnterPhase(FleetState& state, const Registry& registry, MemberPhase phase,
                TimePoint now, FleetOutbox& out);

// VMs of the failure domain, this one included, ascending.
std::vector<VmId> DomainVms(const FleetState& state);

FactsVersion FactsVersionOf(const Registry& registry);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_FLEET_FLEET_H_
