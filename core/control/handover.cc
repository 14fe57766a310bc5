#include <algorithm>

#include "core/control/internal.h"
#include "core/packet/inner_packet.h"
#include "core/policy/decision.h"
#include "core/policy/homes.h"

namespace knapweedlift::control {
namespace {

constexpr size_t kMaxAssignmentsPerNotice = 64;

using NoticeKey = std::pair<VmId, ServiceNumber>;
using Notices = std::map<NoticeKey, std::vector<FlowAssignment>>;

// Returns true if a home must know the flow because its server is not the one
// that the table alone gives.
bool NeedsHandover(const ControlState& state, uint64_t fingerprint,
                   const FlowEntry& entry) {
  const auto found = state.services.find(entry.service);
  if (found == state.services.end() || found->second.table == nullptr) {
    return false;
  }
  const auto& buckets = found->second.table->buckets;
  const Bucket& bucket = buckets[BucketIndex(fingerprint, buckets.size())];
  return !IsStable(bucket) && entry.server != ServerOfUnknownFlow(bucket);
}

bool HasAmbiguousBuckets(const ControlState& state) {
  for (const auto& [number, control] : state.services) {
    if (control.table == nullptr) continue;
    const auto& buckets = control.table->buckets;
    const bool stable = std::all_of(buckets.begin(), buckets.end(), IsStable);
    if (!stable) return true;
  }
  return false;
}

void SendNotices(const Notices& notices, Outbox& out) {
  for (const auto& [key, assignments] : notices) {
    for (size_t i = 0; i < assignments.size(); i += kMaxAssignmentsPerNotice) {
      const size_t end =
          std::min(assignments.size(), i + kMaxAssignmentsPerNotice);
      out.push_back(
          {key.first,
           FlowAssignmentNotice{.service = key.second,
                                .assignments = {assignments.begin() + i,
                                                assignments.begin() + end}}});
    }
  }
}

}  // namespace

void HandOverFlows(const ControlState& state, std::span<const VmId> before,
                   std::span<const VmId> after, FlowTable& flows, TimePoint now,
                   Outbox& out) {
  if (!HasAmbiguousBuckets(state)) return;
  Notices notices;
  flows.ForEachLive(now, [&](uint64_t fingerprint, const FlowEntry& entry) {
    if (!NeedsHandover(state, fingerprint, entry)) return;
    const Homes old_homes = HomesOf(fingerprint, before);
    if (!IsHome(old_homes, state.self.id)) return;
    const Homes new_homes = HomesOf(fingerprint, after);
    for (const VmId vm : {new_homes.first, new_homes.second}) {
      if (vm == kNoVm || IsHome(old_homes, vm)) continue;
      notices[{vm, entry.service}].push_back(
          {.fingerprint = fingerprint,
           .server = entry.server,
           .opening = entry.state == FlowState::kOpening});
    }
  });
  SendNotices(notices, out);
}

void SendFlowAssignments(const ControlState& state, const Service& service,
                         const BucketTable& table, FlowTable& flows,
                         TimePoint now, Outbox& out) {
  if (service.protocol != kProtocolUdp) return;
  Notices notices;
  flows.ForEachLive(now, [&](uint64_t fingerprint, const FlowEntry& entry) {
    if (entry.service != service.number) return;
    const Bucket& bucket =
        table.buckets[BucketIndex(fingerprint, table.buckets.size())];
    if (!bucket.forced) return;
    const VmId home = HomesOf(fingerprint, state.homes).first;
    if (home == kNoVm || home == state.self.id) return;
    notices[{home, service.number}].push_back({fingerprint, entry.server});
  });
  SendNotices(notices, out);
}

void HandleFlowAssignments(const ControlState& state,
                           const FlowAssignmentNotice& notice, FlowTable& flows,
                           TimePoint now) {
  if (state.sheet == nullptr) return;
  const Service* service = FindService(*state.sheet, notice.service);
  if (service == nullptr) return;
  for (const FlowAssignment& assignment : notice.assignments) {
    FlowTable::Shard& shard = flows.ShardOf(assignment.fingerprint);
    absl::MutexLock lock(&shard.mutex);
    const FlowState flow_state =
        assignment.opening ? FlowState::kOpening : FlowState::kEstablished;
    RecordFlowServer(shard.flows, *service, assignment.fingerprint,
                     assignment.server, flow_state, now);
  }
}

}  // namespace knapweedlift::control
