#ifndef KNAPWEEDLIFT_SERVERS_MARKS_DECISION_LOG_H_
#define KNAPWEEDLIFT_SERVERS_MARKS_DECISION_LOG_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "core/flow/flow_key.h"
#include "core/mark/mark.h"
#include "core/registry/facts.h"
#include "core/result_code.h"

namespace knapweedlift {

// A decision about one flow, and what it rests on.
struct FlowDecision {
  ResultCode reason = ResultCode::kDropUnknownMark;
  FlowKey flow;
  // The id of the flow's first request, empty where no packet has shown it.
  std::string request_id;
  Mark mark = kNoMark;
  // The facts that decided, and how long before they had been confirmed.
  Revision revision = 0;
  Duration facts_age{0};
  TimePoint decided_at;

  auto operator<=>(const FlowDecision&) const = default;
};

// Decisions on their way from the packet path to the log. Bounded: what exceeds
// the bound is counted by reason and left out, and nobody waits.
class DecisionLog {
 public:
  // Holds `capacity` decisions between two calls of TakeBatch. 0 turns the log
  // off.
  explicit DecisionLog(size_t capacity) : capacity_(capacity) {}

  void Add(FlowDecision decision);

  struct Batch {
    std::vector<FlowDecision> decisions;
    // How many were left out, by reason.
    std::map<ResultCode, uint64_t> suppressed_counts;
  };

  // Everything since the last call.
  Batch TakeBatch();

 private:
  const size_t capacity_;
  absl::Mutex mutex_;
  Batch batch_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_SERVERS_MARKS_DECISION_LOG_H_
