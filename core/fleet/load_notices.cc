#include "core/fleet/load_notices.h"

#include <utility>

namespace knapweedlift {
namespace {

// The live VMs that follow this one in the ring of its failure domain, in
// ascending order of ids; at most kLoadNoticeFanout.
std::vector<const Member*> RingSuccessors(const FleetState& state,
                                          TimePoint now) {
  std::vector<const Member*> lower_ids;
  std::vector<const Member*> ring;
  for (const auto& [id, member] : state.members) {
    const bool in_ring = id != state.self.id && now < member.lease_expires_at &&
                         member.address.domain == state.self.domain;
    if (in_ring) (id < state.self.id ? lower_ids : ring).push_back(&member);
  }
  ring.insert(ring.end(), lower_ids.begin(), lower_ids.end());
  if (ring.size() > kLoadNoticeFanout) ring.resize(kLoadNoticeFanout);
  return ring;
}

}  // namespace

void SendDueLoadNotice(FleetState& state, TimePoint now, FleetOutbox& out) {
  if (now < state.next_load_at) return;
  state.next_load_at = now + kMinLoadReportInterval;
  ExpireLoadReports(state.loads, now);
  const bool due =
      state.load_report_due ||
      now - state.reported_loads_at >= kLoadReportInterval ||
      LoadsDifferSignificantly(state.reported_loads, state.own_loads);
  if (!due) return;
  state.load_report_due = false;
  state.reported_loads = state.own_loads;
  state.reported_loads_at = now;
  std::vector<Endpoint> targets;
  for (const Member* member : RingSuccessors(state, now)) {
    targets.push_back(member->address.control);
  }
  if (targets.empty()) return;
  out.push_back({std::move(targets), LoadNotice{.servers = state.own_loads}});
}

}  // namespace knapweedlift
