#include "core/control/internal.h"
#include "core/table/table_delta.h"

namespace knapweedlift::control {
namespace {

const Service* ServiceInForce(const ControlState& state, ServiceNumber number) {
  return state.sheet == nullptr ? nullptr : FindService(*state.sheet, number);
}

void ReplyToStep(VmId coordinator, uint64_t incarnation,
                 const ServiceControl& control, const TableStep& step,
                 FlowTable& flows, TimePoint now, Outbox& out) {
  StepReply reply{
      .version = {.service = step.service, .generation = step.generation},
      .incarnation = incarnation};
  const bool is_query =
      step.kind == StepKind::kQuery || step.kind == StepKind::kAnnounce;
  if (is_query) {
    reply.occupied = EncodeBitmap(OccupancyReply(control, step, flows, now));
  }
  out.push_back({coordinator, std::move(reply)});
}

}  // namespace

void ReplaceTable(ControlState& state, ServiceControl& control,
                  BucketTable table) {
  control.table = std::make_shared<const BucketTable>(std::move(table));
  control.change_number = ++state.last_change_number;
  control.coordinator.idle_until = TimePoint{};
  state.view_changed = true;
}

void RequestTable(ControlState& state, VmId from, ServiceNumber service,
                  TimePoint now, Outbox& out) {
  ServiceControl& control = state.services[service];
  if (now < control.next_request_at) return;
  control.next_request_at = now + kRequestInterval;
  out.push_back({from, TableRequest{.service = service}});
}

void SendTable(const ControlState& state, VmId to, ServiceNumber service,
               Outbox& out) {
  const auto found = state.services.find(service);
  if (found == state.services.end() || found->second.table == nullptr) return;
  const ServiceControl& control = found->second;
  out.push_back(
      {to,
       TableReply{.version = {.service = service,
                              .generation = control.table->generation},
                  .sheet_revision = state.sheet->revision,
                  .delta = EncodeTableDelta(*control.table, control.targets)}});
}

void HandleTableReply(ControlState& state, const TableReply& reply) {
  // The delta is relative to the targets of one sheet. After a change of the
  // sheet the table is requested again.
  if (state.sheet == nullptr) return;
  if (reply.sheet_revision != state.sheet->revision) return;
  const auto found = state.services.find(reply.version.service);
  if (found == state.services.end()) return;
  ServiceControl& control = found->second;
  const bool newer = control.table == nullptr ||
                     reply.version.generation > control.table->generation;
  if (!newer) return;
  auto table =
      DecodeTableDelta(reply.delta, reply.version.generation, control.targets);
  if (table.has_value()) ReplaceTable(state, control, *std::move(table));
}

void HandleStep(ControlState& state, VmId from, const TableStep& step,
                FlowTable& flows, TimePoint now, Outbox& out) {
  const Service* service = ServiceInForce(state, step.service);
  if (service == nullptr) return;
  ServiceControl& control = state.services[step.service];
  const bool older =
      control.table == nullptr || step.generation < control.table->generation;
  if (older) return;
  if (step.generation == control.table->generation) {
    ReplyToStep(from, state.incarnation, control, step, flows, now, out);
    return;
  }
  const bool same_sheet = state.sheet->revision == step.generation.revision;
  if (step.kind == StepKind::kAnnounce && !same_sheet) return;
  if (control.table->generation != step.base) {
    RequestTable(state, from, step.service, now, out);
    return;
  }
  auto next = ApplyStep(*control.table, step, *service, control.targets);
  if (!next.has_value()) {
    RequestTable(state, from, step.service, now, out);
    return;
  }
  ReplaceTable(state, control, *std::move(next));
  if (step.forced) {
    SendFlowAssignments(state, *service, *control.table, flows, now, out);
  }
  ReplyToStep(from, state.incarnation, control, step, flows, now, out);
}

}  // namespace knapweedlift::control
