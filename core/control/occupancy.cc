#include <algorithm>

#include "core/control/internal.h"
#include "core/policy/homes.h"

namespace knapweedlift::control {
namespace {

// Makes the selection of successors independent of the selection of homes.
constexpr uint64_t kSuccessorSalt = 0x73756363ULL << 32;

VmId SuccessorOf(const ControlState& state, TimePoint now) {
  std::vector<VmId> others = ServingVms(state.members, now);
  std::erase(others, state.self.id);
  return HomesOf(kSuccessorSalt | state.self.id, others).first;
}

Bitmap LongLivedBuckets(const ServiceControl& control, ServiceNumber service,
                        FlowTable& flows, Duration min_age, TimePoint now) {
  const size_t size = control.table->buckets.size();
  Bitmap occupied(size);
  const uint32_t opened_by = FlowTicks(now - min_age);
  flows.ForEachLive(now, [&](uint64_t fingerprint, const FlowEntry& entry) {
    const bool counts = entry.service == service &&
                        entry.state == FlowState::kEstablished &&
                        entry.opened <= opened_by;
    if (counts) occupied[BucketIndex(fingerprint, size)] = true;
  });
  return occupied;
}

// Returns up to kMaxReportedBuckets occupied buckets that were not reported
// yet, and marks them as reported. Empty if there are none.
Bitmap TakeUnreportedBuckets(ServiceControl& control, const Bitmap& occupied) {
  Bitmap unreported(occupied.size());
  control.reported.resize(occupied.size());
  size_t count = 0;
  for (size_t i = 0; i < occupied.size() && count < kMaxReportedBuckets; ++i) {
    if (!occupied[i] || control.reported[i]) continue;
    control.reported[i] = true;
    unreported[i] = true;
    ++count;
  }
  return count == 0 ? Bitmap{} : unreported;
}

// Makes room for one more inherited occupancy: removes those that have expired,
// or else the one that expires first.
void EvictInheritedOccupancy(ServiceControl& control, TimePoint now) {
  auto& inherited = control.inherited;
  std::erase_if(inherited, [now](const auto& item) {
    return now >= item.second.expires_at;
  });
  if (inherited.size() < kMaxInheritedOccupancies) return;
  inherited.erase(std::min_element(
      inherited.begin(), inherited.end(), [](const auto& a, const auto& b) {
        return a.second.expires_at < b.second.expires_at;
      }));
}

// Reports the occupied buckets of one service that the successor does not know
// yet.
void ReportServiceOccupancy(const ControlState& state, const Service& service,
                            ServiceControl& control, const Bitmap& occupied,
                            bool replaces_earlier, Outbox& out) {
  while (true) {
    const Bitmap unreported = TakeUnreportedBuckets(control, occupied);
    if (unreported.empty()) return;
    out.push_back({state.successor,
                   OccupancyNotice{.service = service.number,
                                   .origin = state.self.id,
                                   .incarnation = state.incarnation,
                                   .lifetime_s = service.idle_timeout_s,
                                   .replaces_earlier = replaces_earlier,
                                   .occupied = EncodeBitmap(unreported)}});
    replaces_earlier = false;
    // A leaving VM reports everything at once; a serving one continues in the
    // next period.
    if (state.phase == MemberPhase::kServing) return;
  }
}

}  // namespace

void ReportOccupancy(ControlState& state, FlowTable& flows, Duration min_age,
                     TimePoint now, Outbox& out) {
  const VmId successor = SuccessorOf(state, now);
  const bool replaces_earlier = successor != state.successor;
  state.successor = successor;
  if (successor == kNoVm || state.sheet == nullptr) return;
  for (const Service& service : state.sheet->services) {
    ServiceControl& control = state.services[service.number];
    if (control.table == nullptr) continue;
    if (replaces_earlier) control.reported.clear();
    ReportServiceOccupancy(
        state, service, control,
        LongLivedBuckets(control, service.number, flows, min_age, now),
        replaces_earlier, out);
  }
}

void SendDueOccupancy(ControlState& state, FlowTable& flows, TimePoint now,
                      Outbox& out) {
  const bool due =
      state.phase == MemberPhase::kServing && now >= state.next_occupancy_at;
  if (!due) return;
  state.next_occupancy_at = now + kOccupancyPeriod;
  ReportOccupancy(state, flows, kLongLivedAge, now, out);
}

void HandleOccupancy(ControlState& state, const OccupancyNotice& notice,
                     TimePoint now) {
  const Service* service = state.sheet == nullptr
                               ? nullptr
                               : FindService(*state.sheet, notice.service);
  if (service == nullptr || notice.origin == state.self.id) return;
  const auto occupied = DecodeBitmap(notice.occupied, service->buckets);
  if (!occupied.has_value()) return;
  ServiceControl& control = state.services[notice.service];
  EvictInheritedOccupancy(control, now);
  InheritedOccupancy& inherited =
      control.inherited[{notice.origin, notice.incarnation}];
  if (notice.replaces_earlier) inherited.occupied.clear();
  MergeBitmap(inherited.occupied, *occupied);
  const uint32_t lifetime_s =
      std::min(notice.lifetime_s, service->idle_timeout_s);
  inherited.expires_at =
      std::max(inherited.expires_at, now + std::chrono::seconds(lifetime_s));
}

void ForwardInheritedOccupancies(ControlState& state, TimePoint now,
                                 Outbox& out) {
  if (state.successor == kNoVm) return;
  for (const auto& [number, control] : state.services) {
    for (const auto& [origin, inherited] : control.inherited) {
      if (now >= inherited.expires_at) continue;
      const auto left = std::chrono::duration_cast<std::chrono::seconds>(
          inherited.expires_at - now);
      out.push_back(
          {state.successor,
           OccupancyNotice{.service = number,
                           .origin = origin.first,
                           .incarnation = origin.second,
                           .lifetime_s = static_cast<uint32_t>(left.count()),
                           .occupied = EncodeBitmap(inherited.occupied)}});
    }
  }
}

Bitmap OccupancyReply(const ServiceControl& control, const TableStep& step,
                      FlowTable& flows, TimePoint now) {
  Bitmap reply = OccupiedBuckets(*control.table, step, flows, now);
  for (const auto& [origin, inherited] : control.inherited) {
    const bool replies_itself = std::binary_search(
        step.queried_vms.begin(), step.queried_vms.end(),
        VmIncarnation{.vm = origin.first, .incarnation = origin.second});
    if (replies_itself || now >= inherited.expires_at) continue;
    AddOccupied(*control.table, step, inherited.occupied, reply);
  }
  return reply;
}

}  // namespace knapweedlift::control
