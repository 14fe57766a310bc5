#include "core/policy/step_planner.h"

#include <algorithm>

namespace knapweedlift {
namespace {

// Kinds of work found by a pass over the table.
struct PendingWork {
  bool pending = false;
  bool closing = false;
  bool forced = false;
  bool ambiguous = false;
  bool rebalance = false;
};

PendingWork FindPendingWork(const BucketTable& table, const Service& service,
                            const std::vector<ServerId>& targets) {
  PendingWork work;
  for (size_t i = 0; i < table.buckets.size(); ++i) {
    const Bucket& bucket = table.buckets[i];
    if (IsStable(bucket) && bucket.current == targets[i]) continue;
    work.pending |= IsPending(bucket);
    work.closing |= bucket.closing;
    work.ambiguous |= bucket.oldest != kNoServer && !bucket.closing;
    work.forced |= NeedsMove(bucket, targets[i], service, true);
    work.rebalance |= NeedsMove(bucket, targets[i], service, false);
  }
  return work;
}

// Selects the range from `cursor` on that holds kMaxBucketsPerStep of the
// buckets for which `is_relevant` returns true, and advances the cursor.
// Returns true at the end of the table.
template <typename Predicate>
bool NextRange(const BucketTable& table, uint32_t& cursor, BucketRange& range,
               Predicate is_relevant) {
  const auto size = static_cast<uint32_t>(table.buckets.size());
  range.first = cursor < size ? cursor : 0;
  range.last = range.first;
  size_t count = 0;
  while (range.last < size && count < kMaxBucketsPerStep) {
    if (is_relevant(range.last)) ++count;
    ++range.last;
  }
  const bool end = range.last == size;
  cursor = end ? 0 : range.last;
  return end;
}

bool AllVetoed(const Bitmap& vetoes) {
  return std::find(vetoes.begin(), vetoes.end(), false) == vetoes.end();
}

// Returns the step that follows from the replies to the last one, if it queried
// anything.
std::optional<TableStep> FollowUp(const BucketTable& table,
                                  const CoordinatorState& coordinator,
                                  const PendingWork& work) {
  const TableStep& last = *coordinator.step;
  const size_t size = ReplySize(table, last);
  const Bitmap vetoes = coordinator.replies_missing
                            ? Bitmap(size, true)
                            : MergedReplies(coordinator, size);
  if (work.pending && last.kind == StepKind::kAnnounce) {
    return TableStep{.kind = StepKind::kSwitch, .vetoes = EncodeBitmap(vetoes)};
  }
  const bool can_close = last.kind == StepKind::kQuery && !AllVetoed(vetoes);
  if (!can_close) return std::nullopt;
  return TableStep{.kind = StepKind::kClose,
                   .range = last.range,
                   .vetoes = EncodeBitmap(vetoes)};
}

TableStep PlanQuery(const BucketTable& table, CoordinatorState& coordinator,
                    TimePoint now) {
  TableStep step{.kind = StepKind::kQuery};
  const bool end = NextRange(table, coordinator.query_cursor, step.range,
                             [&table](uint32_t index) {
                               return table.buckets[index].oldest != kNoServer;
                             });
  if (end) coordinator.next_query_at = now + kQueryInterval;
  return step;
}

TableStep PlanRebalance(const BucketTable& table, const Service& service,
                        const std::vector<ServerId>& targets,
                        CoordinatorState& coordinator, TimePoint now) {
  TableStep step{.kind = StepKind::kAnnounce};
  const bool end = NextRange(
      table, coordinator.move_cursor, step.range, [&](uint32_t index) {
        return NeedsMove(table.buckets[index], targets[index], service, false);
      });
  if (end) coordinator.next_move_at = now + kMoveRetryInterval;
  return step;
}

}  // namespace

std::optional<TableStep> PlanStep(const BucketTable& table,
                                  const Service& service,
                                  const std::vector<ServerId>& targets,
                                  CoordinatorState& coordinator,
                                  TimePoint now) {
  if (now < coordinator.idle_until) return std::nullopt;
  const PendingWork work = FindPendingWork(table, service, targets);
  const bool unfinished = work.pending || work.closing;
  const bool known = coordinator.step.has_value() && coordinator.acknowledged &&
                     coordinator.step->generation == table.generation;
  if (!known &&
      (unfinished || work.forced || work.ambiguous || work.rebalance)) {
    // A new coordinator first makes sure that every VM holds this generation.
    // An empty announcement collects the vetoes of pending buckets again.
    return TableStep{.kind =
                         work.pending ? StepKind::kAnnounce : StepKind::kQuery};
  }
  if (known) {
    auto follow_up = FollowUp(table, coordinator, work);
    if (follow_up.has_value()) return follow_up;
  }
  if (work.closing) return TableStep{.kind = StepKind::kSettle};
  if (work.forced) {
    return TableStep{.kind = StepKind::kAnnounce,
                     .forced = true,
                     .range = {0, static_cast<uint32_t>(table.buckets.size())}};
  }
  if (work.ambiguous && now >= coordinator.next_query_at) {
    return PlanQuery(table, coordinator, now);
  }
  if (work.rebalance && now >= coordinator.next_move_at) {
    return PlanRebalance(table, service, targets, coordinator, now);
  }
  coordinator.idle_until = now + kQueryInterval;
  if (work.ambiguous) {
    coordinator.idle_until =
        std::min(coordinator.idle_until, coordinator.next_query_at);
  }
  if (work.rebalance) {
    coordinator.idle_until =
        std::min(coordinator.idle_until, coordinator.next_move_at);
  }
  return std::nullopt;
}

Bitmap MergedReplies(const CoordinatorState& coordinator, size_t size) {
  Bitmap merged(size);
  for (const auto& [vm, reply] : coordinator.replies) {
    MergeBitmap(merged, reply.occupied);
  }
  merged.resize(size);
  return merged;
}

}  // namespace knapweedlift
