#include "core/fleet/watcher_election.h"

#include <algorithm>

namespace knapweedlift {
namespace {

// This VM's rank among the live serving VMs in start order. Since the
// longest-running VM comes first, restarts do not change the watcher.
size_t TakeoverRank(const FleetState& state, TimePoint now) {
  size_t rank = 0;
  for (const auto& [id, member] : state.members) {
    const bool eligible = id != state.self.id && now < member.suspect_after &&
                          member.heartbeat.phase == MemberPhase::kServing;
    if (eligible && StartOrderOf(member) < OwnStartOrder(state)) ++rank;
  }
  return rank;
}

// True if no known serving VM, live or silent, has run for longer.
bool IsLongestRunning(const FleetState& state) {
  return std::none_of(
      state.members.begin(), state.members.end(), [&state](const auto& item) {
        return item.first != state.self.id &&
               item.second.heartbeat.phase == MemberPhase::kServing &&
               StartOrderOf(item.second) < OwnStartOrder(state);
      });
}

Duration TakeoverDelay(size_t rank) {
  const size_t wide_ranks = std::min(rank, kWideStaggerRanks);
  const Duration delay = wide_ranks * kTakeoverStagger +
                         (rank - wide_ranks) * kNarrowTakeoverStagger;
  return std::min(delay, kMaxTakeoverDelay);
}

}  // namespace

StartOrder StartOrderOf(const Member& member) {
  return {member.heartbeat.incarnation, member.heartbeat.vm};
}

StartOrder OwnStartOrder(const FleetState& state) {
  return {state.incarnation, state.self.id};
}

bool ShouldWatch(const FleetState& state, TimePoint now) {
  if (state.phase == MemberPhase::kLeaving) return false;
  if (now < state.yield_until) return false;
  if (state.watching) return true;
  if (now >= state.discovery_ends_at && IsLongestRunning(state)) return true;
  return now >=
         state.watch_lease_expires_at + TakeoverDelay(TakeoverRank(state, now));
}

bool FactsAreFresh(const FleetState& state, TimePoint now) {
  return state.watching || now < state.watch_lease_expires_at;
}

void RecordWatchLease(FleetState& state, VmId watcher, TimePoint until) {
  state.watch_lease_holder = watcher;
  state.watch_lease_expires_at = until;
  const auto found = state.members.find(watcher);
  const bool has_run_longer =
      found != state.members.end() &&
      StartOrderOf(found->second) < OwnStartOrder(state);
  if (has_run_longer) state.yield_until = until;
}

}  // namespace knapweedlift
