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
  Duration seed_pause{0};
  size_t seed_attempts = 0;
  // Until then other VMs are still being found, and the duty to watch is open.
  TimePoint settled_at;
  // This VM watches the platform, and the platform answers it.
  bool watching = false;
  TimePoint next_lease_at;
  // The VM that watches for all, and when its lease ends.
  VmId covered_by = kNoVm;
  TimePoint covered_until;
  // An older VM watches until then; a watcher yields to it.
  TimePoint yield_until;
  // When the facts were last known to be the newest there are.
  TimePoint confirmed_at;
  // No further request for facts before.
  TimePoint next_request_at;
  // Since when this VM lacks changes that no VM it heard of can tell one by
  // one; never where it lacks none.
  TimePoint behind_since = TimePoint::max();
  // The last VM that was heard to have them.
  Endpoint behind_peer;
  // Load of this VM's flows, and of other VMs'.
  std::vector<ServerLoad> own_loads;
  std::vector<DomainLoad> domain_loads;
  LoadReports loads;
  TimePoint next_load_at;
  // What the last load notice said.
  std::vector<ServerLoad> told_loads;
  TimePoint told_loads_at;
};

inline constexpr Duration kFleetGossipPeriod{500};
// Peers of the failure domain that hear this VM in each period.
inline constexpr size_t kFleetGossipFanout = 1;
// One of the other failure domains hears it once in so many periods.
inline constexpr uint32_t kRemoteGossipPeriods = 3;
// Peers named in one message, the sender included.
inline constexpr size_t kFleetGossipPeers = 12;
inline constexpr Duration kFactsRequestPause{200};
// A VM that is behind asks the platform first, and after this time a peer for
// everything.
inline constexpr Duration kWholeRequestDelay{1'500};
// One without any facts cannot serve; a platform that answers does so sooner.
inline constexpr Duration kFirstFactsDelay{300};
inline constexpr Duration kWholeRequestPause{2'000};
inline constexpr Duration kFirstSeedPause{500};
inline constexpr Duration kMaxSeedPause{4'000};
// VMs of the failure domain that hear this VM's load.
inline constexpr size_t kLoadNoticePeers = 8;
inline constexpr size_t kGossipDomainLoads = 16;
inline constexpr Duration kSettleTime{600};

FleetState StartFleet(const VmAddress& self, const std::vector<Endpoint>& seeds,
                      uint64_t incarnation, TimePoint now);

// Does what is due.
void TickFleet(FleetState& state, const Registry& registry, TimePoint now,
               FleetOutbox& out);

// What a message brought.
struct FleetNews {
  bool facts_changed = false;
  // Servers that failed another VM's checks.
  std::vector<Mark> suspects;

  auto operator<=>(const FleetNews&) const = default;
};

// Takes a message of the VM `sender`. All but gossip is ignored where this VM
// does not know the sender.
FleetNews TakeFleetMessage(FleetState& state, Registry& registry, VmId sender,
                           const FleetMessage& message, TimePoint now,
                           FleetOutbox& out);

// True where this VM is to ask the platform once for the changes that it lacks.
bool ShouldCatchUp(const FleetState& state, const Registry& registry);

// This VM itself just read what the platform has.
inline void NoteConfirmed(FleetState& state, TimePoint now) {
  state.confirmed_at = now;
  state.behind_since = TimePoint::max();
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
size_t LivePeers(const FleetState& state, TimePoint now);

// Enters a phase and tells the VMs that matter.
void EnterPhase(FleetState& state, const Registry& registry, MemberPhase phase,
                TimePoint now, FleetOutbox& out);

// VMs of the failure domain, this one included, ascending.
std::vector<VmId> DomainVms(const FleetState& state);

FactsVersion VersionOf(const Registry& registry);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_FLEET_FLEET_H_
