#include "core/placement/cold_allowance.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "core/fleet/fleet.h"
#include "core/flow/flow_key.h"

namespace knapweedlift {
namespace {

// A VM claims nothing before its discovery of peers ends.
static_assert(ColdClaimWait(0) > kDiscoveryTime);
// A stalled VM ends its claims before others take over.
static_assert(kColdClaimLifetime < kLeaseTimeout);

constexpr double kMicrosecondsPerSecond = 1e6;
// From this share on, copies of SYNs have a token of their own. A smaller share
// would lose too much of its rate.
constexpr int64_t kMinShareForCopies = 4;
// Higher shares are no limit in practice.
constexpr double kMaxShare = 1e6;
constexpr double kMaxIntervalUs = 1e9;

int64_t Microseconds(TimePoint now) {
  return std::chrono::microseconds(now.time_since_epoch()).count();
}

bool IsTokenDue(const ColdAllowance& allowance, int64_t next_token_us,
                SynKind kind, TimePoint now) {
  if (now >= allowance.usable_until.load()) return false;
  if (allowance.interval_us.load() == 0) return false;
  const int64_t lead =
      kind == SynKind::kCopy ? allowance.copy_lead_us.load() : 0;
  return Microseconds(now) >= next_token_us - lead;
}

bool NamesOtherSeeds(const FleetState& fleet) {
  return std::any_of(
      fleet.seeds.begin(), fleet.seeds.end(),
      [&fleet](const Endpoint& seed) { return seed != fleet.self.control; });
}

// True if this VM has a lease of at least half of the members that it
// remembers, so that at most two sides of a partition have an owner.
bool HasQuorum(const ColdElection& election, size_t serving, TimePoint now) {
  const auto remembered = std::count_if(
      election.candidates.begin(), election.candidates.end(),
      [now](const auto& item) { return now < item.second.remembered_until; });
  return 2 * serving >= static_cast<size_t>(remembered);
}

}  // namespace

ColdPace ColdPaceOf(double cold_rate, const ColdLimitSettings& settings) {
  const double limit = cold_rate * settings.overshoot + settings.slack;
  const auto share = static_cast<int64_t>(std::floor(
      std::clamp(limit * (1 - kColdReserve) / kColdOwners, 0.0, kMaxShare)));
  if (share < 1) return {};
  const int64_t burst = share >= kMinShareForCopies ? 2 : 1;
  // A window contains at most window / interval + burst openings.
  const int64_t window_us = std::chrono::microseconds(kColdWindow).count();
  const int64_t shortest = window_us / (share - burst + 1) + 1;
  // The long-term rate does not use the overshoot.
  const auto interval = std::max(
      shortest, static_cast<int64_t>(std::min(
                    kMicrosecondsPerSecond / cold_rate, kMaxIntervalUs)));
  return {.interval_us = interval, .copy_lead_us = (burst - 1) * interval};
}

bool HasColdToken(const ColdAllowance& allowance, SynKind kind, TimePoint now) {
  return IsTokenDue(allowance, allowance.next_token_us.load(), kind, now);
}

bool TakeColdToken(ColdAllowance& allowance, SynKind kind, TimePoint now) {
  int64_t next = allowance.next_token_us.load();
  while (IsTokenDue(allowance, next, kind, now)) {
    const int64_t following =
        std::max(next, Microseconds(now)) + allowance.interval_us.load();
    if (allowance.next_token_us.compare_exchange_weak(next, following)) {
      return true;
    }
  }
  return false;
}

void ExtendColdClaim(ColdAllowance& allowance, const ColdPace& pace,
                     TimePoint now) {
  allowance.interval_us = pace.interval_us;
  allowance.copy_lead_us = pace.copy_lead_us;
  allowance.usable_until = now + kColdClaimLifetime;
}

void EndColdClaim(ColdAllowance& allowance) {
  allowance.usable_until = TimePoint{};
}

ColdMembership ColdMembershipOf(const FleetState& fleet, TimePoint now) {
  const bool serves = fleet.phase == MemberPhase::kServing;
  ColdMembership membership{.self = fleet.self.id, .vms = fleet.members.size()};
  if (serves) membership.serving.push_back(fleet.self.id);
  bool hears_peer = false;
  for (const auto& [id, member] : fleet.members) {
    if (id == fleet.self.id) continue;
    const bool live = now < member.lease_expires_at;
    hears_peer |= live;
    if (member.address.domain != fleet.self.domain) continue;
    if (member.heartbeat.phase == MemberPhase::kLeaving) {
      membership.leaving.push_back(id);
    }
    if (live && member.heartbeat.phase == MemberPhase::kServing) {
      membership.serving.push_back(id);
    }
  }
  membership.may_claim = serves && (hears_peer || !NamesOtherSeeds(fleet));
  return membership;
}

void RefreshColdElection(ColdElection& election,
                         const ColdMembership& membership, TimePoint now) {
  const Duration wait = ColdClaimWait(membership.vms);
  for (const VmId vm : membership.serving) {
    election.candidates[vm] = {.counts_until = now + wait,
                               .remembered_until = now + kColdMemberMemory};
  }
  for (const VmId vm : membership.leaving) {
    const auto found = election.candidates.find(vm);
    if (found == election.candidates.end()) continue;
    found->second.remembered_until = now;
  }
  std::erase_if(election.candidates, [now](const auto& item) {
    return now >= item.second.counts_until &&
           now >= item.second.remembered_until;
  });
  const bool stalled = now >= election.refresh_due_by;
  election.refresh_due_by = now + kColdClaimLifetime;
  const bool may_claim = membership.may_claim && !stalled &&
                         HasQuorum(election, membership.serving.size(), now);
  if (!may_claim) election.barred_at = now;
  // The wait grows while a VM that has just started discovers its peers.
  election.may_claim_from = election.barred_at + wait;
}

bool OwnsColdServer(const ColdElection& election, VmId self, Mark mark,
                    TimePoint now) {
  if (now < election.may_claim_from) return false;
  const auto score = [mark](VmId vm) {
    return std::pair(MixHash(mark, vm), vm);
  };
  return std::none_of(election.candidates.begin(), election.candidates.end(),
                      [&](const auto& item) {
                        return item.first != self &&
                               now < item.second.counts_until &&
                               score(item.first) > score(self);
                      });
}

}  // namespace knapweedlift
