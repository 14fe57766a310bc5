#include "core/fleet/catch_up.h"

#include <algorithm>

namespace knapweedlift {

void RecordLag(FleetState& state, const Endpoint& peer, TimePoint now) {
  state.lagging_since = std::min(state.lagging_since, now);
  state.catch_up_peer = peer;
}

void RequestFacts(FleetState& state, const Registry& registry,
                  const Endpoint& from, TimePoint now, FleetOutbox& out) {
  if (now < state.next_facts_request_at) return;
  state.next_facts_request_at = now + kFactsRequestInterval;
  out.push_back({{from}, FactsRequest{.after = registry.as_of}});
}

void SendDueSnapshotRequest(FleetState& state, const Registry& registry,
                            TimePoint now, FleetOutbox& out) {
  if (state.lagging_since == TimePoint::max()) return;
  const bool first = registry.as_of == 0;
  if (first && now < state.first_facts.platform_read_at) return;
  const TimePoint due_at =
      first ? state.first_facts.platform_read_at + kFirstSnapshotRequestDelay
            : state.lagging_since + kSnapshotRequestDelay;
  if (now < due_at || now < state.next_facts_request_at) return;
  state.next_facts_request_at = now + kSnapshotRequestInterval;
  out.push_back({{state.catch_up_peer}, FactsRequest{.after = registry.as_of}});
}

bool KnowsPresentEra(const FactsVersion& version, const Registry& registry) {
  return version.knows_eras && version.as_of.era >= registry.as_of.era;
}

void CatchUpWith(FleetState& state, Registry& registry,
                 const FactsVersion& version, const Endpoint& from,
                 TimePoint now, FleetOutbox& out) {
  if (version.as_of <= registry.as_of) return;
  const bool changed = registry.as_of < version.last_change ||
                       registry.as_of.era != version.as_of.era;
  const bool sends_changes =
      HasChangesSince(version.past_spans, version.horizon, registry.as_of);
  if (registry.as_of == 0 || (changed && !sends_changes)) {
    state.lags_by_era |= version.as_of.era != registry.as_of.era;
    RecordLag(state, from, now);
    return;
  }
  if (changed) {
    RequestFacts(state, registry, from, now, out);
    return;
  }
  // No fact changed between the two revisions.
  registry.as_of = version.as_of;
}

bool NeedsRepair(const FleetState& state, const Registry& registry) {
  return state.repair.needed && !HasUnsettledFacts(registry);
}

bool CompareFacts(FleetState& state, const Registry& registry,
                  const FactsVersion& version, TimePoint now) {
  const bool comparable = version.as_of == registry.as_of &&
                          version.digest != kNoDigest &&
                          registry.digest != kNoDigest;
  if (!comparable || version.digest == registry.digest) return false;
  if (state.repair.needed || now < state.repair.not_before) return false;
  state.repair.needed = true;
  ++state.repair.count;
  return true;
}

void RecordRepair(FleetState& state, bool changed, TimePoint now) {
  RepairState& repair = state.repair;
  repair.needed = false;
  repair.backoff = changed ? kMinRepairInterval
                           : std::clamp(2 * repair.backoff, kMinRepairInterval,
                                        kMaxRepairInterval);
  repair.not_before = now + repair.backoff;
}

}  // namespace knapweedlift
