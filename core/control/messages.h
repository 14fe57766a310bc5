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

// The generation of one service's table that the sender holds.
struct TableVersion {
  ServiceNumber service = 0;
  GenerationId generation;

  auto operator<=>(const TableVersion&) const = default;
};

// Spreads heartbeats and what the sender knows. Of bounded size.
struct Gossip {
  VmAddress sender;
  // The receiver answers with its own gossip at once.
  bool reply_wanted = false;
  // In an answer: the count of the heartbeat that it answers.
  uint32_t echo = 0;
  uint64_t sheet_revision = 0;
  // The sender's own heartbeat comes first.
  std::vector<Heartbeat> heartbeats;
  // Most recently changed first.
  std::vector<TableVersion> tables;

  auto operator<=>(const Gossip&) const = default;
};

struct SheetRequest {
  auto operator<=>(const SheetRequest&) const = default;
};

// The sheet in force at the sender, as the platform published it.
struct SheetReply {
  std::vector<std::string> chunks;

  auto operator<=>(const SheetReply&) const = default;
};

struct TableRequest {
  ServiceNumber service = 0;

  auto operator<=>(const TableRequest&) const = default;
};

// A whole generation as its difference from the targets of a sheet.
struct TableReply {
  TableVersion version;
  uint64_t sheet_revision = 0;
  std::string delta;

  auto operator<=>(const TableReply&) const = default;
};

// The maker's next generation.
struct StepMessage {
  TableStep step;

  auto operator<=>(const StepMessage&) const = default;
};

// Tells the maker that a generation is in force here.
struct StepReply {
  TableVersion version;
  // Since which start the sender knows its flows.
  uint64_t incarnation = 0;
  // Encoded by EncodeBitmap; empty for steps that ask nothing.
  std::string occupied;

  auto operator<=>(const StepReply&) const = default;
};

struct FlowAssignment {
  uint64_t fingerprint = 0;
  ServerId server = kNoServer;
  // Only SYNs of the flow were seen.
  bool opening = false;

  auto operator<=>(const FlowAssignment&) const = default;
};

// A home tells which servers flows belong to.
struct FlowAssignmentNotice {
  ServiceNumber service = 0;
  std::vector<FlowAssignment> assignments;

  auto operator<=>(const FlowAssignmentNotice&) const = default;
};

// Buckets in which a VM knows a long-lived flow. Its successor speaks for them
// when the VM is gone, and passes them on when it leaves itself.
struct OccupancyNotice {
  ServiceNumber service = 0;
  // The VM that knew the flows, and the start that it knew them since.
  VmId origin = kNoVm;
  uint64_t incarnation = 0;
  // How long the flows may stay silent, in seconds.
  uint32_t lifetime_s = 0;
  // Forget what was said of the origin before.
  bool replaces_earlier = false;
  // Over all buckets, encoded by EncodeBitmap.
  std::string occupied;

  auto operator<=>(const OccupancyNotice&) const = default;
};

using Message =
    std::variant<Gossip, SheetRequest, SheetReply, TableRequest, TableReply,
                 StepMessage, StepReply, FlowAssignmentNotice, OccupancyNotice>;

// Order in which messages are sent when the byte budget is short.
enum class Priority : uint8_t {
  // Without heartbeats a VM is taken for dead.
  kHeartbeat = 0,
  kSheet = 1,
  kGeneration = 2,
  kStepReply = 3,
  kHandover = 4,
};

inline constexpr size_t kPriorityCount = 5;

Priority PriorityOf(const Message& message);

struct Envelope {
  VmId to = kNoVm;
  Message message;

  auto operator<=>(const Envelope&) const = default;
};

using Outbox = std::vector<Envelope>;

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_CONTROL_MESSAGES_H_
