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

// Buckets that one free move or query covers at most: 1 KB of vetoes a VM.
inline constexpr size_t kMaxBucketsPerStep = 8192;

inline constexpr Duration kStepResendInterval{400};
// Pause between two looks for ambiguous buckets that have become empty.
inline constexpr Duration kQueryInterval{5'000};
// How long a step waits for silent VMs, so that they cannot hold up a drain.
inline constexpr Duration kSilentVmTimeout{1'000};
// Pause before vetoed buckets are proposed again.
inline constexpr Duration kMoveRetryInterval{30'000};

// One VM's answer to a step.
struct VmReply {
  uint64_t incarnation = 0;
  Bitmap occupied;
};

// What the maker of one service remembers between steps. All of it can be
// rebuilt, so that any VM can take over from the table alone.
struct CoordinatorState {
  // The last step made here, waiting for answers or answered.
  std::optional<TableStep> step;
  std::map<VmId, VmReply> replies;
  // Every awaited VM has answered the last step.
  bool acknowledged = false;
  // Silent VMs that the platform lists have not answered: they may know flows.
  bool replies_missing = false;
  // Answers of silent VMs are waited for until then.
  TimePoint silent_vm_deadline;
  TimePoint resend_at;
  TimePoint next_query_at;
  TimePoint next_move_at;
  // Where the next stripe of queries and of moves starts.
  uint32_t query_cursor = 0;
  uint32_t move_cursor = 0;
  // Nothing to do until then, unless the sheet changes.
  TimePoint idle_until;
};

// Plans the next step for a table, given that the last one, if any, was
// answered by all. Nothing where there is nothing to do now; then
// memory.idle_until tells when to ask again. The order and base of the step are
// left to the caller.
std::optional<TableStep> PlanStep(const BucketTable& table,
                                  const Service& service,
                                  const std::vector<ServerId>& targets,
                                  CoordinatorState& coordinator, TimePoint now);

// The answers to memory.step, merged.
Bitmap MergedReplies(const CoordinatorState& coordinator, size_t size);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_POLICY_STEP_PLANNER_H_
