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

// A forwarding decision for one flow, and the registry state behind it.
struct FlowDecision {
  ResultCode reason = ResultCode::kDropUnknownMark;
  FlowKey flow;
  // Identifier of the flow's first request; empty until a packet has carried
  // it.
  std::string request_id;
  Mark mark = kNoMark;
  // Registry revision in use, and the time since it was last confirmed to be
  // current.
  Revision revision = 0;
  Duration facts_age{0};
  TimePoint decided_at;

  auto operator<=>(const FlowDecision&) const = default;
};

// Bounded queue of decisions from the packet path to the log. Decisions beyond
// the capacity are dropped and counted by reason, so neither side waits for the
// other. Thread-safe.
class DecisionLog {
 public:
  // Holds at most `capacity` decisions between two calls of TakeBatch; 0
  // disables the log.
  explicit DecisionLog(size_t capacity) : capacity_(capacity) {}

  void Add(FlowDecision decision);

  struct Batch {
    std::vector<FlowDecision> decisions;
    // Number of dropped decisions, by reason.
    std::map<ResultCode, uint64_t> suppressed_counts;
  };

  // Returns and clears everything added since the last call.
  Batch TakeBatch();

 private:
  const size_t capacity_;
  absl::Mutex mutex_;
  Batch batch_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_SERVERS_MARKS_DECISION_LOG_H_
