#include "servers/marks/decision_log.h"

#include <utility>

namespace knapweedlift {

void DecisionLog::Add(FlowDecision decision) {
  absl::MutexLock lock(&mutex_);
  if (batch_.decisions.size() >= capacity_) {
    ++batch_.suppressed_counts[decision.reason];
    return;
  }
  batch_.decisions.push_back(std::move(decision));
}

DecisionLog::Batch DecisionLog::TakeBatch() {
  absl::MutexLock lock(&mutex_);
  return std::exchange(batch_, {});
}

}  // namespace knapweedlift
