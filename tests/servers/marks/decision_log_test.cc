#include "servers/marks/decision_log.h"

#include "tests/support/properties.h"

using namespace knapweedlift;

namespace {

FlowDecision Decision(uint16_t port, ResultCode reason) {
  FlowDecision decision{.reason = reason};
  decision.flow.source_port = port;
  return decision;
}

}  // namespace

Test(decision_log, bounds_entries_and_counts_suppressed_by_reason) {
  constexpr size_t kCapacity = 20;
  constexpr uint64_t kEntriesPerReason = 10'000;
  DecisionLog log(kCapacity);
  for (uint64_t i = 0; i < kEntriesPerReason; ++i) {
    log.Add(Decision(i, ResultCode::kDropUnknownMark));
    log.Add(Decision(i, ResultCode::kResetNoRoute));
  }
  const DecisionLog::Batch batch = log.TakeBatch();
  cr_expect(batch.decisions.size() == kCapacity);
  uint64_t suppressed = 0;
  for (const auto& [reason, count] : batch.suppressed_counts) {
    suppressed += count;
  }
  cr_expect(suppressed == 2 * kEntriesPerReason - kCapacity);
  cr_expect(batch.suppressed_counts.size() == 2);
}

Test(decision_log, accepts_entries_again_after_take_batch) {
  DecisionLog log(1);
  log.Add(Decision(1, ResultCode::kDropUnknownMark));
  cr_expect(log.TakeBatch().decisions.size() == 1);
  log.Add(Decision(2, ResultCode::kDropUnknownMark));
  const DecisionLog::Batch batch = log.TakeBatch();
  cr_assert(batch.decisions.size() == 1);
  cr_expect(batch.decisions[0].flow.source_port == 2);
  cr_expect(batch.suppressed_counts.empty());
}

Test(decision_log, zero_capacity_disables_it) {
  DecisionLog log(0);
  log.Add(Decision(1, ResultCode::kDropUnknownMark));
  cr_expect(log.TakeBatch().decisions.empty());
}
