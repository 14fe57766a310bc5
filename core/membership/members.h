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

// Where a VM of the system is reached.
struct VmAddress {
  VmId id = kNoVm;
  // Peer messages, TCP and UDP.
  Endpoint control;
  // Geneve, from the fabric and from other VMs.
  Endpoint data;
  std::string domain;

  auto operator<=>(const VmAddress&) const = default;
};

enum class MemberPhase : uint8_t {
  kJoining = 0,  // Has no confirmed tables yet.
  kServing = 1,
  kLeaving = 2,  // Forwards on, but is no home and makes nothing.
};

// A sign of life, passed on by gossip. A restarted VM has a higher incarnation.
struct Heartbeat {
  VmId vm = kNoVm;
  uint64_t incarnation = 0;
  uint32_t count = 0;
  MemberPhase phase = MemberPhase::kJoining;

  auto operator<=>(const Heartbeat&) const = default;
};

// One line of the platform's lagging list.
struct ListedVm {
  VmAddress address;
  bool leaving = false;

  auto operator<=>(const ListedVm&) const = default;
};

struct Member {
  VmAddress address;
  Heartbeat heartbeat;
  // No home and no maker after this deadline, unless a heartbeat extends it.
  TimePoint suspect_after;
  // No step waits for the VM after this deadline.
  TimePoint lease_expires_at;
  // The platform lists the VM.
  bool listed = false;

  auto operator<=>(const Member&) const = default;
};

inline constexpr Duration kSuspectTimeout{2'000};
inline constexpr Duration kLeaseTimeout{2'500};
// A VM that the platform does not list is forgotten this long after its lease.
inline constexpr Duration kMemberRetentionTime{30'000};

using Members = std::map<VmId, Member>;

// Takes a heartbeat; older ones change nothing. Returns true when it was news.
bool MergeHeartbeat(Members& members, const Heartbeat& heartbeat,
                    TimePoint now);

// The VM was heard itself, so that it is alive whatever its heartbeats say.
void RenewLease(Member& member, TimePoint now);

// Learns or corrects where a VM is reached.
void UpdateAddress(Members& members, const VmAddress& address);

// Takes the platform's list. A VM that it lacks stays until its heartbeats end
// too, and a silent VM stays known while it is listed.
void ApplyPlatformList(Members& members, const std::vector<ListedVm>& list);

// Forgets VMs that are neither listed nor heard of.
void RemoveExpiredMembers(Members& members, TimePoint now);

// VMs that serve and are not suspect, ascending.
std::vector<VmId> ServingVms(const Members& members, TimePoint now);

// Whom a step waits for.
enum class ResponderScope : uint8_t {
  // VMs with a lease: those that may be fresh.
  kLeased,
  // Also silent VMs that the platform still lists: they may be cut off, and
  // know
  // flows that nobody else knows.
  kListed,
};

// VMs, other than `self`, whose answer a step waits for.
std::vector<VmId> RequiredResponders(const Members& members, VmId self,
                                     TimePoint now, ResponderScope awaited);

// True where the failure domains differ, at least one other domain has serving
// VMs, and every serving VM of other domains is silent.
bool IsIsolated(const Members& members, const std::string& domain,
                TimePoint now);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_MEMBERSHIP_MEMBERS_H_
