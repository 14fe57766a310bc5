#ifndef KNAPWEEDLIFT_CORE_CONTROL_MESSAGES_H_
#define KNAPWEEDLIFT_CORE_CONTROL_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/membership/members.h"
#include "core/sheet/sheet.h"
#include "core/table/table_step.h"

namespace knapweedlift {

// Generation of one service's table that the sender holds.
struct TableVersion {
  ServiceNumber service = 0;
  GenerationId generation;

  auto operator<=>(const TableVersion&) const = default;
};

// Spreads heartbeats and the versions of the sender's sheet and tables. Bounded
// in size.
struct Gossip {
  VmAddress sender;
  // Requests an immediate reply with the receiver's own gossip.
  bool reply_wanted = false;
  // In a reply: the count of the heartbeat that is acknowledged.
  uint32_t echo = 0;
  uint64_t sheet_revision = 0;
  // The sender's own heartbeat comes first.
  std::vector<Heartbeat> heartbeats;
  // Most recently changed tables first.
  std::vector<TableVersion> tables;

  auto operator<=>(const Gossip&) const = default;
};

// Requests the sheet in force at the receiver.
struct SheetRequest {
  auto operator<=>(const SheetRequest&) const = default;
};

// The sheet in force at the sender, as published by the platform.
struct SheetReply {
  std::vector<std::string> chunks;

  auto operator<=>(const SheetReply&) const = default;
};

// Requests the complete table of a service.
struct TableRequest {
  ServiceNumber service = 0;

  auto operator<=>(const TableRequest&) const = default;
};

// A complete generation, encoded as its difference from the targets of a sheet.
struct TableReply {
  TableVersion version;
  uint64_t sheet_revision = 0;
  std::string delta;

  auto operator<=>(const TableReply&) const = default;
};

// The coordinator's step to the next generation.
struct StepMessage {
  TableStep step;

  auto operator<=>(const StepMessage&) const = default;
};

// Acknowledges to the coordinator that a generation is in force at the sender.
struct StepReply {
  TableVersion version;
  // Incarnation of the sender, which knows the flows seen since that start.
  uint64_t incarnation = 0;
  // Occupied buckets, encoded by EncodeBitmap; empty for steps without a query.
  std::string occupied;

  auto operator<=>(const StepReply&) const = default;
};

// The backend server to which a flow is assigned.
struct FlowAssignment {
  uint64_t fingerprint = 0;
  ServerId server = kNoServer;
  // Only SYNs of the flow were seen.
  bool opening = false;

  auto operator<=>(const FlowAssignment&) const = default;
};

// Notifies a VM of the backend servers of flows.
struct FlowAssignmentNotice {
  ServiceNumber service = 0;
  std::vector<FlowAssignment> assignments;

  auto operator<=>(const FlowAssignmentNotice&) const = default;
};

// Buckets in which a VM knows a long-lived flow. The VM's successor reports
// them to coordinators once the VM is gone, and forwards them to its own
// successor when it leaves.
struct OccupancyNotice {
  ServiceNumber service = 0;
  // The VM that knew the flows, and its incarnation.
  VmId origin = kNoVm;
  uint64_t incarnation = 0;
  // Maximum idle time of the flows, in seconds.
  uint32_t lifetime_s = 0;
  // Earlier notices about this incarnation of the origin are discarded.
  bool replaces_earlier = false;
  // Bitmap over all buckets, encoded by EncodeBitmap.
  std::string occupied;

  auto operator<=>(const OccupancyNotice&) const = default;
};

using Message =
    std::variant<Gossip, SheetRequest, SheetReply, TableRequest, TableReply,
                 StepMessage, StepReply, FlowAssignmentNotice, OccupancyNotice>;

// Order in which messages are sent when the byte budget is short, most urgent
// first.
enum class Priority : uint8_t {
  // Without heartbeats the peers consider a VM failed.
  kHeartbeat = 0,
  kSheet = 1,
  kGeneration = 2,
  kStepReply = 3,
  kHandover = 4,
};

inline constexpr size_t kPriorityCount = 5;

// Returns the priority with which a message is sent.
Priority PriorityOf(const Message& message);

// A message with its destination.
struct Envelope {
  VmId to = kNoVm;
  Message message;

  auto operator<=>(const Envelope&) const = default;
};

using Outbox = std::vector<Envelope>;

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_CONTROL_MESSAGES_H_
