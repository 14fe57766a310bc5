#include <algorithm>

#include "core/control/internal.h"
#include "core/policy/homes.h"

namespace knapweedlift::control {
namespace {

void SendStep(const ControlState& state, MakerMemory& memory, TimePoint now,
              Outbox& out) {
  memory.resend_at = now + kStepResend;
  for (const auto& [id, member] : state.members) {
    const bool reachable = id != state.self.id && now < member.lease_until;
    if (reachable && !memory.answers.contains(id)) {
      out.push_back({id, StepMessage{*memory.step}});
    }
  }
}

// Steps that may forget where flows belong wait for cut-off VMs as well.
bool AsksForFlows(const TableStep& step) {
  const bool query =
      step.kind == StepKind::kQuery && step.range != BucketRange{};
  return query || (step.kind == StepKind::kAnnounce && !step.forced);
}

bool HaveAnswered(const MakerMemory& memory, const std::vector<VmId>& vms) {
  return std::all_of(vms.begin(), vms.end(), [&memory](VmId vm) {
    return memory.answers.contains(vm);
  });
}

// Takes the planned step here first and proposes it to the others.
void BeginStep(ControlState& state, ServiceControl& control,
               const Service& service, TableStep step, FlowTable& flows,
               TimePoint now, Outbox& out) {
  step.service = service.number;
  step.base = control.table->generation;
  step.generation = {.revision = state.sheet->revision,
                     .sequence = step.base.sequence + 1,
                     .maker = state.self.id};
  if (AsksForFlows(step)) {
    for (const VmId vm :
         AwaitedVms(state.members, state.self.id, now, Awaited::kListed)) {
      step.queried_vms.push_back(
          {vm, state.members.at(vm).heartbeat.incarnation});
    }
    step.queried_vms.push_back({state.self.id, state.incarnation});
    std::sort(step.queried_vms.begin(), step.queried_vms.end());
  }
  auto next = ApplyStep(*control.table, step, service, control.targets);
  if (!next.has_value()) return;
  ReplaceTable(state, control, *std::move(next));
  if (step.forced) ListFlows(state, service, *control.table, flows, now, out);
  MakerMemory& memory = control.maker;
  memory.step = std::move(step);
  memory.answers.clear();
  memory.answered = false;
  memory.incomplete = false;
  memory.listed_until = now + kListedWait;
  memory.answers[state.self.id] = {
      .incarnation = state.incarnation,
      .occupied = AnswerFor(control, *memory.step, flows, now)};
  SendStep(state, memory, now, out);
}

// True where the last step may be followed by the next one.
bool IsAnswered(const ControlState& state, MakerMemory& memory, TimePoint now) {
  const std::vector<VmId> leased =
      AwaitedVms(state.members, state.self.id, now, Awaited::kLeased);
  if (!HaveAnswered(memory, leased)) return false;
  // Nobody has spoken for a VM that was asked and has died since.
  memory.incomplete = std::any_of(
      memory.step->queried_vms.begin(), memory.step->queried_vms.end(),
      [&memory](const VmIncarnation& queried) {
        const auto found = memory.answers.find(queried.vm);
        return found == memory.answers.end() ||
               found->second.incarnation != queried.incarnation;
      });
  return !memory.incomplete || now >= memory.listed_until;
}

bool IsMaker(const ControlState& state, ServiceControl& control,
             ServiceNumber service, TimePoint now) {
  const bool may = state.phase == MemberPhase::kServing && IsFresh(state, now);
  const bool first =
      may && MakerOf(service, ServingVms(state.members, now)) == state.self.id;
  if (!first) {
    control.makes_from = TimePoint::max();
    control.maker = MakerMemory{};
    return false;
  }
  if (control.makes_from == TimePoint::max()) {
    control.makes_from = now + kMakerWait;
  }
  return now >= control.makes_from;
}

void MakeStep(ControlState& state, ServiceControl& control,
              const Service& service, FlowTable& flows, TimePoint now,
              Outbox& out) {
  MakerMemory& memory = control.maker;
  const bool waiting = memory.step.has_value() && !memory.answered &&
                       memory.step->generation == control.table->generation;
  if (waiting) {
    if (!IsAnswered(state, memory, now)) {
      if (now >= memory.resend_at) SendStep(state, memory, now, out);
      return;
    }
    memory.answered = true;
    memory.idle_until = TimePoint{};
  }
  auto step = PlanStep(*control.table, service, control.targets, memory, now);
  if (!step.has_value()) return;
  BeginStep(state, control, service, *std::move(step), flows, now, out);
}

}  // namespace

void MakeDueSteps(ControlState& state, FlowTable& flows, TimePoint now,
                  Outbox& out) {
  if (state.sheet == nullptr) return;
  for (const Service& service : state.sheet->services) {
    ServiceControl& control = state.services[service.number];
    if (control.table == nullptr) continue;
    if (!IsMaker(state, control, service.number, now)) continue;
    MakeStep(state, control, service, flows, now, out);
  }
}

void TakeAnswer(ControlState& state, VmId from, const StepAnswer& answer,
                FlowTable& flows, TimePoint now, Outbox& out) {
  const auto found = state.services.find(answer.version.service);
  if (found == state.services.end() || found->second.table == nullptr) return;
  ServiceControl& control = found->second;
  MakerMemory& memory = control.maker;
  const bool expected = memory.step.has_value() && !memory.answered &&
                        memory.step->generation == answer.version.generation &&
                        control.table->generation == answer.version.generation;
  if (!expected) return;
  const size_t size = ReplySize(*control.table, *memory.step);
  Bitmap occupied;
  if (!answer.occupied.empty()) {
    auto decoded = DecodeBitmap(answer.occupied, size);
    if (!decoded.has_value()) return;
    occupied = *std::move(decoded);
  }
  memory.answers[from] = {.incarnation = answer.incarnation,
                          .occupied = std::move(occupied)};
  if (IsAnswered(state, memory, now)) MakeDueSteps(state, flows, now, out);
}

}  // namespace knapweedlift::control
