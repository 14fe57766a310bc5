#ifndef KNAPWEEDLIFT_CORE_PLACEMENT_COLD_ALLOWANCE_H_
#define KNAPWEEDLIFT_CORE_PLACEMENT_COLD_ALLOWANCE_H_

#include <algorithm>
#include <atomic>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "core/ids.h"
#include "core/mark/mark.h"
#include "core/placement/cold_limit.h"
#include "core/time.h"

// Limits the new flows on cold servers. Each cold server has one owner among
// the serving VMs of its failure domain, and only the owner opens flows on it.
// No VM sends messages for this: each applies rendezvous hashing to the members
// that it knows. docs/design/cold-servers.md
namespace knapweedlift {

struct FleetState;

// Longest time until all connected VMs of a failure domain know that a VM
// serves, in a fleet of `vms` VMs. In simulation with a network delay of 2 ms
// and no losses: 1.1 s with 9 VMs, 1.6 s with 18, 4.1 s with 36 and 9.1 s with
// 60.
inline constexpr Duration MembershipDivergence(size_t vms) {
  return std::max(Duration(2'000), Duration(200) * static_cast<int64_t>(vms));
}
// A claim to a server holds for this long after the control thread last
// confirmed it. Longer than the stalls of that thread on a small VM, and
// shorter than the lease by which other VMs know this one.
inline constexpr Duration kColdClaimLifetime{1'000};
// Window in which an owner opens at most its share. Longer than the second of
// the limit, since a SYN is sent up to 100 ms after its decision.
inline constexpr Duration kColdWindow{1'100};
// How long a VM must have been the owner before it opens flows. All openings of
// the previous owner are older than kColdWindow by then.
inline constexpr Duration ColdClaimWait(size_t vms) {
  return MembershipDivergence(vms) + kColdClaimLifetime + kColdWindow;
}
// How long a silent VM counts as a member that may be on the other side of a
// partition.
inline constexpr Duration kColdMemberMemory{600'000};
// Part of the limit that remains unused, for requests on flows that are already
// open: the server counts requests, while VMs limit new flows.
inline constexpr double kColdReserve = 0.2;
// Owners of a server at the same time: one on each side of a partition.
inline constexpr int kColdOwners = 2;

// Rate at which an owner opens flows on a server.
struct ColdPace {
  // Microseconds between two openings; zero if there are none at all.
  int64_t interval_us = 0;
  // How many microseconds earlier a copy of a SYN may follow. Copies have a
  // token that new flows do not use, as there is no other server for them.
  int64_t copy_lead_us = 0;

  auto operator<=>(const ColdPace&) const = default;
};

// Returns the pace at which one owner stays within its share of the limit in
// any kColdWindow. `cold_rate` is positive.
ColdPace ColdPaceOf(double cold_rate, const ColdLimitSettings& settings);

// A token bucket of one server on one VM. The control plane sets the pace and
// the deadline, and the packet workers take tokens.
struct ColdAllowance {
  // This VM may open flows on the server until then.
  std::atomic<TimePoint> usable_until{TimePoint{}};
  std::atomic<int64_t> interval_us{0};
  std::atomic<int64_t> copy_lead_us{0};
  // When the next token is due, in microseconds.
  std::atomic<int64_t> next_token_us{0};
};

using ColdAllowances = std::map<Mark, std::shared_ptr<ColdAllowance>>;

enum class SynKind : uint8_t {
  kFirst,
  // Retransmission of a SYN that was sent to the same server.
  kCopy,
};

// Returns true if the VM could open a flow on the server now.
bool HasColdToken(const ColdAllowance& allowance, SynKind kind, TimePoint now);

// Takes a token. Returns false if there is none. Thread-safe.
bool TakeColdToken(ColdAllowance& allowance, SynKind kind, TimePoint now);

// Extends the claim to a server by kColdClaimLifetime.
void ExtendColdClaim(ColdAllowance& allowance, const ColdPace& pace,
                     TimePoint now);
void EndColdClaim(ColdAllowance& allowance);

// Flows on cold servers since the start of the daemon.
struct ColdFlowCounts {
  // Flows that were placed on a cold server with a limit.
  std::atomic<uint64_t> placed{0};
  // Placements that left out a cold server because of its limit.
  std::atomic<uint64_t> skipped{0};
};

// The VMs of the own failure domain, as far as they matter to cold servers.
struct ColdMembership {
  VmId self = kNoVm;
  // This VM serves, and hears a peer unless its settings name none.
  bool may_claim = false;
  // Known VMs of all failure domains, including this one.
  size_t vms = 0;
  // Serving VMs with a lease, including this one.
  std::vector<VmId> serving;
  // VMs that announced that they leave.
  std::vector<VmId> leaving;

  auto operator<=>(const ColdMembership&) const = default;
};

ColdMembership ColdMembershipOf(const FleetState& fleet, TimePoint now);

// What a VM knows about the owners of cold servers. Starts empty, so that a
// restarted VM waits like a new one.
struct ColdElection {
  struct Candidate {
    // The VM counts as a possible owner until then.
    TimePoint counts_until;
    // The VM counts as a member that may be cut off until then.
    TimePoint remembered_until;

    auto operator<=>(const Candidate&) const = default;
  };

  std::map<VmId, Candidate> candidates;
  // When this VM last was not allowed to claim servers, and from when on it
  // claims them.
  TimePoint barred_at;
  TimePoint may_claim_from = TimePoint::max();
  // A later refresh means that the VM was stalled, so that others may have
  // taken over its servers.
  TimePoint refresh_due_by;

  auto operator<=>(const ColdElection&) const = default;
};

// Records the current members. Call it more often than every
// kColdClaimLifetime. This VM loses its claims, and waits anew, if it may not
// claim, was stalled, or has a lease of less than half of the serving VMs that
// it remembers.
void RefreshColdElection(ColdElection& election,
                         const ColdMembership& membership, TimePoint now);

// Returns true if `self` is the owner of the server with `mark`, and no other
// VM known here has been for ColdClaimWait.
bool OwnsColdServer(const ColdElection& election, VmId self, Mark mark,
                    TimePoint now);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_PLACEMENT_COLD_ALLOWANCE_H_
