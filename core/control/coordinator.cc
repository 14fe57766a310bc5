#include <algorithm>

#include "core/control/internal.h"
#include "core/policy/homes.h"

namespace knapweedlift::control {
namespace {

void SendStep(const ControlState& state, CoordinatorState& coordinator,
              TimePoint now, Outbox& out) {
  coordinator.resend_at = now + kStepResendInterval;
  for (const auto& [id, member] : state.members) {
    const bool reachable = id != state.self.id && now < member.lease_expires_at;
    if (reachable && !coordinator.replies.contains(id)) {
      out.push_back({id, StepMessage{*coordinator.step}});
    }
  }
}

// Returns true if the step may discard which server a bucket's flows belong to.
// Such a step also waits for silent VMs that are listed, because they may be
// isolated and have flows in the bucket.
bool QueriesFlows(const TableStep& step) {
  const bool query =
      step.kind == StepKind::kQuery && step.range != BucketRange{};
  return query || (step.kind == StepKind::kAnnounce && !step.forced);
}

bool HaveReplied(const CoordinatorState& coordinator,
                 const std::vector<VmId>& vms) {
  return std::all_of(vms.begin(), vms.end(), [&coordinator](VmId vm) {
    return coordinator.replies.contains(vm);
  });
}

// Applies a planned step to the local table, then proposes it to the peers.
void ProposeStep(ControlState& state, ServiceControl& control,
                 const Service& service, TableStep step, FlowTable& flows,
                 TimePoint now, Outbox& out) {
  step.service = service.number;
  step.base = control.table->generation;
  step.generation = {.revision = state.sheet->revision,
                     .sequence = step.base.sequence + 1,
                     .coordinator = state.self.id};
  if (QueriesFlows(step)) {
    for (const VmId vm : RequiredResponders(state.members, state.self.id, now,
                                            ResponderScope::kListed)) {
      step.queried_vms.push_back(
          {vm, state.members.at(vm).heartbeat.incarnation});
    }
    step.queried_vms.push_back({state.self.id, state.incarnation});
    std::sort(step.queried_vms.begin(), step.queried_vms.end());
  }
  auto next = ApplyStep(*control.table, step, service, control.targets);
  if (!next.has_value()) return;
  ReplaceTable(state, control, *std::move(next));
  if (step.forced) {
    SendFlowAssignments(state, service, *control.table, flows, now, out);
  }
  CoordinatorState& coordinator = control.coordinator;
  coordinator.step = std::move(step);
  coordinator.replies.clear();
  coordinator.acknowledged = false;
  coordinator.replies_missing = false;
  coordinator.silent_vm_deadline = now + kSilentVmTimeout;
  coordinator.replies[state.self.id] = {
      .incarnation = state.incarnation,
      .occupied = OccupancyReply(control, *coordinator.step, flows, now)};
  SendStep(state, coordinator, now, out);
}

// Returns true if the last step has been acknowledged, so that the next one may
// follow. Updates `replies_missing`.
bool IsAcknowledged(const ControlState& state, CoordinatorState& coordinator,
                    TimePoint now) {
  const std::vector<VmId> leased = RequiredResponders(
      state.members, state.self.id, now, ResponderScope::kLeased);
  if (!HaveReplied(coordinator, leased)) return false;
  // A queried VM that has failed or restarted since has not replied as the
  // queried incarnation, and no other VM has replied on its behalf.
  coordinator.replies_missing =
      std::any_of(coordinator.step->queried_vms.begin(),
                  coordinator.step->queried_vms.end(),
                  [&coordinator](const VmIncarnation& queried) {
                    const auto found = coordinator.replies.find(queried.vm);
                    return found == coordinator.replies.end() ||
                           found->second.incarnation != queried.incarnation;
                  });
  return !coordinator.replies_missing || now >= coordinator.silent_vm_deadline;
}

bool IsCoordinator(const ControlState& state, ServiceControl& control,
                   ServiceNumber service, TimePoint now) {
  const bool may = state.phase == MemberPhase::kServing && IsFresh(state, now);
  const bool first =
      may &&
      CoordinatorOf(service, ServingVms(state.members, now)) == state.self.id;
  if (!first) {
    control.coordinates_from = TimePoint::max();
    control.coordinator = CoordinatorState{};
    return false;
  }
  if (control.coordinates_from == TimePoint::max()) {
    control.coordinates_from = now + kCoordinatorDelay;
  }
  return now >= control.coordinates_from;
}

void AdvanceStep(ControlState& state, ServiceControl& control,
                 const Service& service, FlowTable& flows, TimePoint now,
                 Outbox& out) {
  CoordinatorState& coordinator = control.coordinator;
  const bool waiting =
      coordinator.step.has_value() && !coordinator.acknowledged &&
      coordinator.step->generation == control.table->generation;
  if (waiting) {
    if (!IsAcknowledged(state, coordinator, now)) {
      if (now >= coordinator.resend_at) SendStep(state, coordinator, now, out);
      return;
    }
    coordinator.acknowledged = true;
    coordinator.idle_until = TimePoint{};
  }
  auto step =
      PlanStep(*control.table, service, control.targets, coordinator, now);
  if (!step.has_value()) return;
  ProposeStep(state, control, service, *std::move(step), flows, now, out);
}

}  // namespace

void RunDueSteps(ControlState& state, FlowTable& flows, TimePoint now,
                 Outbox& out) {
  if (state.sheet == nullptr) return;
  for (const Service& service : state.sheet->services) {
    ServiceControl& control = state.services[service.number];
    if (control.table == nullptr) continue;
    if (!IsCoordinator(state, control, service.number, now)) continue;
    AdvanceStep(state, control, service, flows, now, out);
  }
}

void HandleStepReply(ControlState& state, VmId from, const StepReply& reply,
                     FlowTable& flows, TimePoint now, Outbox& out) {
  const auto found = state.services.find(reply.version.service);
  if (found == state.services.end() || found->second.table == nullptr) return;
  ServiceControl& control = found->second;
  CoordinatorState& coordinator = control.coordinator;
  const bool expected =
      coordinator.step.has_value() && !coordinator.acknowledged &&
      coordinator.step->generation == reply.version.generation &&
      control.table->generation == reply.version.generation;
  if (!expected) return;
  const size_t size = ReplySize(*control.table, *coordinator.step);
  Bitmap occupied;
  if (!reply.occupied.empty()) {
    auto decoded = DecodeBitmap(reply.occupied, size);
    if (!decoded.has_value()) return;
    occupied = *std::move(decoded);
  }
  coordinator.replies[from] = {.incarnation = reply.incarnation,
                               .occupied = std::move(occupied)};
  if (IsAcknowledged(state, coordinator, now)) {
    RunDueSteps(state, flows, now, out);
  }
}

}  // namespace knapweedlift::control
