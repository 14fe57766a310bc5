#ifndef KNAPWEEDLIFT_CORE_CONTROL_INTERNAL_H_
#define KNAPWEEDLIFT_CORE_CONTROL_INTERNAL_H_

#include <span>

#include "core/control/control.h"

// Parts of the control state machine, one source file each. For use within
// core/control only.
namespace knapweedlift::control {

// Gossip (gossip.cc).
void SendDueGossip(ControlState& state, TimePoint now, Outbox& out);
void GossipToAll(ControlState& state, TimePoint now, Outbox& out);
void HandleGossip(ControlState& state, const Gossip& gossip, TimePoint now,
                  Outbox& out);

// Tables and steps (tables.cc).
void ReplaceTable(ControlState& state, ServiceControl& control,
                  BucketTable table);
void RequestTable(ControlState& state, VmId from, ServiceNumber service,
                  TimePoint now, Outbox& out);
void SendTable(const ControlState& state, VmId to, ServiceNumber service,
               Outbox& out);
void HandleTableReply(ControlState& state, const TableReply& reply);
void HandleStep(ControlState& state, VmId from, const TableStep& step,
                FlowTable& flows, TimePoint now, Outbox& out);

// Coordination of a service's steps (coordinator.cc).
void RunDueSteps(ControlState& state, FlowTable& flows, TimePoint now,
                 Outbox& out);
void HandleStepReply(ControlState& state, VmId from, const StepReply& reply,
                     FlowTable& flows, TimePoint now, Outbox& out);

// Occupancy that is reported to successors (occupancy.cc).
void ReportOccupancy(ControlState& state, FlowTable& flows, Duration min_age,
                     TimePoint now, Outbox& out);
void SendDueOccupancy(ControlState& state, FlowTable& flows, TimePoint now,
                      Outbox& out);
void HandleOccupancy(ControlState& state, const OccupancyNotice& notice,
                     TimePoint now);
void ForwardInheritedOccupancies(ControlState& state, TimePoint now,
                                 Outbox& out);

// Returns the reply to a step: the buckets occupied by this VM's own flows, and
// by flows inherited from VMs that the step does not query.
Bitmap OccupancyReply(const ServiceControl& control, const TableStep& step,
                      FlowTable& flows, TimePoint now);

// Handover of flows to homes (handover.cc).
void HandOverFlows(const ControlState& state, std::span<const VmId> before,
                   std::span<const VmId> after, FlowTable& flows, TimePoint now,
                   Outbox& out);
// Sends the flows in buckets of forced moves to their first homes. Only for
// UDP, whose packets do not show whether they open a flow.
void SendFlowAssignments(const ControlState& state, const Service& service,
                         const BucketTable& table, FlowTable& flows,
                         TimePoint now, Outbox& out);
void HandleFlowAssignments(const ControlState& state,
                           const FlowAssignmentNotice& notice, FlowTable& flows,
                           TimePoint now);

}  // namespace knapweedlift::control

#endif  // KNAPWEEDLIFT_CORE_CONTROL_INTERNAL_H_
