#ifndef KNAPWEEDLIFT_CORE_POLICY_STEP_PLANNER_H_
#define KNAPWEEDLIFT_CORE_POLICY_STEP_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/sheet/sheet.h"
#include "core/table/bitmap.h"
#include "core/table/table_step.h"
#include "core/time.h"

namespace knapweedlift {

// Maximum number of buckets covered by one query or one step of rebalancing: 1
// KB of vetoes for each VM.
inline constexpr size_t kMaxBucketsPerStep = 8192;

// Interval of retransmissions of a step to VMs that have not replied.
inline constexpr Duration kStepResendInterval{400};
// Interval between two searches for ambiguous buckets that have become empty.
inline constexpr Duration kQueryInterval{5'000};
// How long a step waits for silent VMs. Bounded so that they cannot block a
// drain.
inline constexpr Duration kSilentVmTimeout{1'000};
// Interval after which vetoed buckets are proposed again.
inline constexpr Duration kMoveRetryInterval{30'000};

// One VM's reply to a step.
struct VmReply {
  uint64_t incarnation = 0;
  Bitmap occupied;
};

// State that the coordinator of one service keeps between steps. All of it can
// be rebuilt from the table, so that any VM can take over.
struct CoordinatorState {
  // The last step proposed by this VM, acknowledged or not.
  std::optional<TableStep> step;
  std::map<VmId, VmReply> replies;
  // Every awaited VM has replied to the last step.
  bool acknowledged = false;
  // Silent VMs that the platform lists have not replied; they may know flows.
  bool replies_missing = false;
  // Replies of silent VMs are awaited until this time.
  TimePoint silent_vm_deadline;
  TimePoint resend_at;
  TimePoint next_query_at;
  TimePoint next_move_at;
  // Start of the next range of queries and of rebalancing moves.
  uint32_t query_cursor = 0;
  uint32_t move_cursor = 0;
  // There is nothing to do before this time, unless the sheet changes.
  TimePoint idle_until;
};

// Plans the next step for a table, provided that all VMs have acknowledged the
// last one, if any. Returns nothing if there is nothing to do now;
// coordinator.idle_until then holds the time of the next attempt. The caller
// sets the generation and base of the step.
std::optional<TableStep> PlanStep(const BucketTable& table,
                                  const Service& service,
                                  const std::vector<ServerId>& targets,
                                  CoordinatorState& coordinator, TimePoint now);

// Returns the union of the replies to coordinator.step.
Bitmap MergedReplies(const CoordinatorState& coordinator, size_t size);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_POLICY_STEP_PLANNER_H_
