#ifndef KNAPWEEDLIFT_CORE_MEMBERSHIP_MEMBERS_H_
#define KNAPWEEDLIFT_CORE_MEMBERSHIP_MEMBERS_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/sheet/sheet.h"
#include "core/time.h"

namespace knapweedlift {

// Control and data endpoints of an entry VM.
struct VmAddress {
  VmId id = kNoVm;
  // Receives messages of other VMs over TCP and UDP.
  Endpoint control;
  // Receives Geneve packets of the fabric and of other VMs.
  Endpoint data;
  // Failure domain.
  std::string domain;

  auto operator<=>(const VmAddress&) const = default;
};

enum class MemberPhase : uint8_t {
  kJoining = 0,  // Has no confirmed tables yet.
  kServing = 1,
  // Still forwards packets, but is neither a home of flows nor a coordinator.
  kLeaving = 2,
};

// A heartbeat that gossip spreads. `count` grows within an incarnation; a
// restarted VM has a higher incarnation.
struct Heartbeat {
  VmId vm = kNoVm;
  uint64_t incarnation = 0;
  uint32_t count = 0;
  MemberPhase phase = MemberPhase::kJoining;

  auto operator<=>(const Heartbeat&) const = default;
};

// One entry of the platform's VM list, which lags behind the actual state.
struct ListedVm {
  VmAddress address;
  bool leaving = false;

  auto operator<=>(const ListedVm&) const = default;
};

// State of a VM as this VM knows it.
struct Member {
  VmAddress address;
  Heartbeat heartbeat;
  // Each heartbeat extends this deadline. After it the VM is suspect: it is
  // neither a home of flows nor a coordinator.
  TimePoint suspect_after;
  // After this deadline no step waits for the VM, see ResponderScope.
  TimePoint lease_expires_at;
  // True if the platform lists the VM and does not report it as leaving.
  bool listed = false;

  auto operator<=>(const Member&) const = default;
};

// Time without a heartbeat until a VM is suspect, and until its lease expires.
inline constexpr Duration kSuspectTimeout{2'000};
inline constexpr Duration kLeaseTimeout{2'500};
// Time from the expiry of an unlisted VM's lease to the removal of its entry.
inline constexpr Duration kMemberRetentionTime{30'000};

using Members = std::map<VmId, Member>;

// Merges a heartbeat. Returns true if it is newer than the known one;
// otherwise it changes nothing.
bool MergeHeartbeat(Members& members, const Heartbeat& heartbeat,
                    TimePoint now);

// Extends the deadlines of a VM that sent a message itself: it is alive
// whatever the known heartbeats say.
void RenewLease(Member& member, TimePoint now);

// Adds or replaces the endpoints of a VM.
void UpdateAddress(Members& members, const VmAddress& address);

// Applies the platform's list. A VM missing from it is retained while its
// heartbeats last, and a silent VM is retained while it is listed.
void ApplyPlatformList(Members& members, const std::vector<ListedVm>& list);

// Removes VMs that are not listed and whose lease expired more than
// kMemberRetentionTime ago.
void RemoveExpiredMembers(Members& members, TimePoint now);

// VMs that are serving and not suspect, in ascending order.
std::vector<VmId> ServingVms(const Members& members, TimePoint now);

// The VMs whose reply a step of a bucket table waits for.
enum class ResponderScope : uint8_t {
  // VMs with a lease: only these may have current tables.
  kLeased,
  // Also silent VMs that the platform still lists: they may be partitioned and
  // hold flows that no other VM knows.
  kListed,
};

// VMs other than `self` whose reply a step waits for, in ascending order.
std::vector<VmId> RequiredResponders(const Members& members, VmId self,
                                     TimePoint now, ResponderScope scope);

// True if other failure domains have serving VMs and all of these are silent.
bool IsIsolated(const Members& members, const std::string& domain,
                TimePoint now);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_MEMBERSHIP_MEMBERS_H_
