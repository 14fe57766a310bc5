#include "core/fleet/openings.h"

#include <algorithm>
#include <map>
#include <utility>

#include "core/flow/flow_key.h"

namespace knapweedlift {
namespace {

// A VM that leaves may end before it is asked, and one that is joining has just
// lost what it kept.
bool CanKeepOpenings(const FleetState& state, const Member& member,
                     TimePoint now) {
  if (member.address.domain != state.self.domain) return false;
  if (member.address.id == state.self.id) {
    return state.phase == MemberPhase::kServing;
  }
  return member.heartbeat.phase == MemberPhase::kServing &&
         now < member.lease_expires_at && member.address.control.port != 0;
}

}  // namespace

void KeepOpening(OpeningTable& table, const Opening& opening, TimePoint now) {
  if (now - opening.placed_at > kKeptOpeningTime) return;
  const bool full = table.by_flow.size() >= kMaxKeptOpenings &&
                    !table.by_flow.contains(opening.id.flow);
  if (!full) table.by_flow[opening.id.flow] = opening;
}

std::optional<Opening> FindOpening(const OpeningTable& table,
                                   const OpeningId& id) {
  const auto found = table.by_flow.find(id.flow);
  const bool known = found != table.by_flow.end() && found->second.id == id;
  return known ? std::optional(found->second) : std::nullopt;
}

void ExpireOpenings(OpeningTable& table, TimePoint now) {
  absl::erase_if(table.by_flow, [now](const auto& item) {
    return now - item.second.placed_at > kKeptOpeningTime;
  });
}

std::vector<VmId> OpeningKeepers(const FleetState& state, uint64_t flow,
                                 size_t count, TimePoint now) {
  std::vector<std::pair<uint64_t, VmId>> ranked;
  for (const auto& [id, member] : state.members) {
    if (!CanKeepOpenings(state, member, now)) continue;
    ranked.emplace_back(MixHash(flow, id), id);
  }
  count = std::min(count, ranked.size());
  const auto end = ranked.begin() + static_cast<int64_t>(count);
  std::partial_sort(ranked.begin(), end, ranked.end(), std::greater<>());
  std::vector<VmId> keepers;
  for (auto it = ranked.begin(); it != end; ++it) keepers.push_back(it->second);
  return keepers;
}

void SendOpenings(FleetState& state, const std::vector<Opening>& openings,
                  TimePoint now, FleetOutbox& out) {
  std::map<VmId, std::vector<Opening>> by_keeper;
  for (const Opening& opening : openings) {
    KeepOpening(state.openings, opening, now);
    for (const VmId keeper :
         OpeningKeepers(state, opening.id.flow, kOpeningKeepers, now)) {
      if (keeper != state.self.id) by_keeper[keeper].push_back(opening);
    }
  }
  for (const auto& [keeper, kept] : by_keeper) {
    const Endpoint to = state.members.at(keeper).address.control;
    for (size_t i = 0; i < kept.size(); i += kMaxOpeningsPerNotice) {
      const size_t end = std::min(kept.size(), i + kMaxOpeningsPerNotice);
      out.push_back(
          {{to},
           OpeningNotice{.openings = {kept.begin() + i, kept.begin() + end}}});
    }
  }
}

void HandleOpeningQuery(const FleetState& state, const OpeningQuery& query,
                        TimePoint now, FleetOutbox& out) {
  const auto opening = FindOpening(state.openings, query.id);
  const std::vector<VmId> keepers =
      OpeningKeepers(state, query.id.flow, kAskedKeepers, now);
  const bool is_keeper =
      std::find(keepers.begin(), keepers.end(), state.self.id) != keepers.end();
  if (is_keeper || query.forwarded || opening.has_value()) {
    out.push_back({{query.requester.control},
                   OpeningReply{.id = query.id,
                                .sender = state.self,
                                .forwarded = query.forwarded,
                                .opening = opening}});
    return;
  }
  OpeningQuery forwarded = query;
  forwarded.forwarded = true;
  std::vector<Endpoint> targets;
  for (const VmId keeper : keepers) {
    if (keeper == query.requester.id) continue;
    targets.push_back(state.members.at(keeper).address.control);
  }
  if (!targets.empty()) out.push_back({std::move(targets), forwarded});
}

size_t SendOpeningQuery(const FleetState& state, const OpeningId& id,
                        TimePoint now, FleetOutbox& out) {
  std::vector<Endpoint> targets;
  for (const VmId keeper : OpeningKeepers(state, id.flow, kAskedKeepers, now)) {
    if (keeper == state.self.id) continue;
    targets.push_back(state.members.at(keeper).address.control);
  }
  const size_t asked = targets.size();
  if (asked == 0) return 0;
  out.push_back(
      {std::move(targets), OpeningQuery{.id = id, .requester = state.self}});
  return asked;
}

}  // namespace knapweedlift
