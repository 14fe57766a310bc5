#include "core/policy/maker.h"

#include <algorithm>

namespace knapweedlift {
namespace {

// What a pass over the table finds to do.
struct Work {
  bool pending = false;
  bool closing = false;
  bool forced = false;
  bool ambiguous = false;
  bool free_moves = false;
};

Work FindWork(const BucketTable& table, const Service& service,
              const std::vector<ServerId>& targets) {
  Work work;
  for (size_t i = 0; i < table.buckets.size(); ++i) {
    const Bucket& bucket = table.buckets[i];
    if (IsStable(bucket) && bucket.current == targets[i]) continue;
    work.pending |= IsPending(bucket);
    work.closing |= bucket.closing;
    work.ambiguous |= bucket.oldest != kNoServer && !bucket.closing;
    work.forced |= NeedsMove(bucket, targets[i], service, true);
    work.free_moves |= NeedsMove(bucket, targets[i], service, false);
  }
  return work;
}

// The stripe from `cursor` on that holds kStepBuckets of the buckets for which
// `counts` is true. Moves the cursor on; returns true at the end of the table.
template <typename Predicate>
bool NextRange(const BucketTable& table, uint32_t& cursor, BucketRange& range,
               Predicate counts) {
  const auto size = static_cast<uint32_t>(table.buckets.size());
  range.first = cursor < size ? cursor : 0;
  range.last = range.first;
  size_t counted = 0;
  while (range.last < size && counted < kStepBuckets) {
    if (counts(range.last)) ++counted;
    ++range.last;
  }
  const bool end = range.last == size;
  cursor = end ? 0 : range.last;
  return end;
}

bool AllVetoed(const Bitmap& vetoes) {
  return std::find(vetoes.begin(), vetoes.end(), false) == vetoes.end();
}

// Follows up on the answers to the last step, where it asked something.
std::optional<TableStep> FollowUp(const BucketTable& table,
                                  const MakerMemory& memory, const Work& work) {
  const TableStep& last = *memory.step;
  const size_t size = ReplySize(table, last);
  const Bitmap vetoes =
      memory.incomplete ? Bitmap(size, true) : MergedVetoes(memory, size);
  if (work.pending && last.kind == StepKind::kAnnounce) {
    return TableStep{.kind = StepKind::kSwitch, .vetoes = EncodeBitmap(vetoes)};
  }
  const bool can_close = last.kind == StepKind::kQuery && !AllVetoed(vetoes);
  if (!can_close) return std::nullopt;
  return TableStep{.kind = StepKind::kClose,
                   .range = last.range,
                   .vetoes = EncodeBitmap(vetoes)};
}

TableStep PlanQuery(const BucketTable& table, MakerMemory& memory,
                    TimePoint now) {
  TableStep step{.kind = StepKind::kQuery};
  const bool end = NextRange(table, memory.query_cursor, step.range,
                             [&table](uint32_t index) {
                               return table.buckets[index].oldest != kNoServer;
                             });
  if (end) memory.next_query_at = now + kQueryPause;
  return step;
}

TableStep PlanFreeMoves(const BucketTable& table, const Service& service,
                        const std::vector<ServerId>& targets,
                        MakerMemory& memory, TimePoint now) {
  TableStep step{.kind = StepKind::kAnnounce};
  const bool end =
      NextRange(table, memory.move_cursor, step.range, [&](uint32_t index) {
        return NeedsMove(table.buckets[index], targets[index], service, false);
      });
  if (end) memory.next_move_at = now + kMovePause;
  return step;
}

}  // namespace

std::optional<TableStep> PlanStep(const BucketTable& table,
                                  const Service& service,
                                  const std::vector<ServerId>& targets,
                                  MakerMemory& memory, TimePoint now) {
  if (now < memory.idle_until) return std::nullopt;
  const Work work = FindWork(table, service, targets);
  const bool unfinished = work.pending || work.closing;
  const bool known = memory.step.has_value() && memory.answered &&
                     memory.step->generation == table.generation;
  if (!known &&
      (unfinished || work.forced || work.ambiguous || work.free_moves)) {
    // A new maker first makes sure that every VM stands on this generation; an
    // announcement of nothing asks for the vetoes of pending buckets again.
    return TableStep{.kind =
                         work.pending ? StepKind::kAnnounce : StepKind::kQuery};
  }
  if (known) {
    auto follow_up = FollowUp(table, memory, work);
    if (follow_up.has_value()) return follow_up;
  }
  if (work.closing) return TableStep{.kind = StepKind::kSettle};
  if (work.forced) {
    return TableStep{.kind = StepKind::kAnnounce,
                     .forced = true,
                     .range = {0, static_cast<uint32_t>(table.buckets.size())}};
  }
  if (work.ambiguous && now >= memory.next_query_at) {
    return PlanQuery(table, memory, now);
  }
  if (work.free_moves && now >= memory.next_move_at) {
    return PlanFreeMoves(table, service, targets, memory, now);
  }
  memory.idle_until = now + kQueryPause;
  if (work.ambiguous) {
    memory.idle_until = std::min(memory.idle_until, memory.next_query_at);
  }
  if (work.free_moves) {
    memory.idle_until = std::min(memory.idle_until, memory.next_move_at);
  }
  return std::nullopt;
}

Bitmap MergedVetoes(const MakerMemory& memory, size_t size) {
  Bitmap merged(size);
  for (const auto& [vm, answer] : memory.answers) {
    MergeBitmap(merged, answer.occupied);
  }
  merged.resize(size);
  return merged;
}

}  // namespace knapweedlift
