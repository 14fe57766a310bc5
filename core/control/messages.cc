#include "core/control/messages.h"

namespace knapweedlift {

Priority PriorityOf(const Message& message) {
  struct Visitor {
    Priority operator()(const Gossip&) const { return Priority::kHeartbeat; }
    Priority operator()(const SheetRequest&) const { return Priority::kSheet; }
    Priority operator()(const SheetReply&) const { return Priority::kSheet; }
    Priority operator()(const TableRequest&) const {
      return Priority::kGeneration;
    }
    Priority operator()(const TableReply&) const {
      return Priority::kGeneration;
    }
    Priority operator()(const StepMessage&) const {
      return Priority::kGeneration;
    }
    Priority operator()(const StepReply&) const { return Priority::kStepReply; }
    // Sent in the order of queueing, so that the assignments arrive before the
    // reply to the step that requires them.
    Priority operator()(const FlowAssignmentNotice&) const {
      return Priority::kStepReply;
    }
    Priority operator()(const OccupancyNotice&) const {
      return Priority::kHandover;
    }
  };
  return std::visit(Visitor{}, message);
}

}  // namespace knapweedlift
