#include "core/table/table_step.h"

#include <algorithm>

#include "core/packet/inner_packet.h"

namespace knapweedlift {
namespace {

bool InRange(size_t index, const BucketRange& range) {
  return index >= range.first && index < range.last;
}

// Returns true if the reply to `step` has a bit for this bucket.
bool IsCovered(const Bucket& bucket, size_t index, const TableStep& step) {
  if (step.kind == StepKind::kAnnounce || step.kind == StepKind::kSwitch) {
    return IsPending(bucket);
  }
  if (step.kind == StepKind::kQuery || step.kind == StepKind::kClose) {
    return bucket.oldest != kNoServer && !bucket.closing &&
           !IsPending(bucket) && InRange(index, step.range);
  }
  return false;
}

void Announce(BucketTable& table, const TableStep& step, const Service& service,
              const std::vector<ServerId>& targets) {
  const size_t last = std::min<size_t>(step.range.last, table.buckets.size());
  for (size_t i = step.range.first; i < last; ++i) {
    Bucket& bucket = table.buckets[i];
    if (!NeedsMove(bucket, targets[i], service, step.forced)) continue;
    bucket.next = targets[i];
    bucket.forced = step.forced;
  }
}

void Switch(BucketTable& table, const Service& service, const Bitmap& vetoes) {
  size_t position = 0;
  for (Bucket& bucket : table.buckets) {
    if (!IsPending(bucket)) continue;
    const bool vetoed = vetoes[position++] && !bucket.forced;
    if (!vetoed) {
      if (bucket.oldest == kNoServer) bucket.oldest = bucket.current;
      bucket.current = bucket.next;
      bucket.closing = false;
      bucket.old_flows_known = service.protocol == kProtocolUdp;
    }
    bucket.next = kNoServer;
    bucket.forced = false;
  }
}

void Close(BucketTable& table, const TableStep& step, const Bitmap& vetoes) {
  size_t position = 0;
  for (size_t i = 0; i < table.buckets.size(); ++i) {
    Bucket& bucket = table.buckets[i];
    if (!IsCovered(bucket, i, step)) continue;
    if (!vetoes[position++]) bucket.closing = true;
  }
}

void Settle(BucketTable& table) {
  for (Bucket& bucket : table.buckets) {
    if (!bucket.closing) continue;
    bucket.closing = false;
    bucket.old_flows_known = false;
    bucket.oldest = kNoServer;
  }
}

}  // namespace

bool NeedsMove(const Bucket& bucket, ServerId target, const Service& service,
               bool forced) {
  if (target == kNoServer || bucket.current == target) return false;
  if (bucket.closing || IsPending(bucket)) return false;
  const BackendServer* server = FindServer(service, bucket.current);
  const bool must_move = server == nullptr || !AcceptsNewFlows(*server);
  if (forced) return must_move;
  return !must_move && bucket.oldest == kNoServer;
}

size_t ReplySize(const BucketTable& table, const TableStep& step) {
  size_t size = 0;
  for (size_t i = 0; i < table.buckets.size(); ++i) {
    if (IsCovered(table.buckets[i], i, step)) ++size;
  }
  return size;
}

std::optional<BucketTable> ApplyStep(const BucketTable& table,
                                     const TableStep& step,
                                     const Service& service,
                                     const std::vector<ServerId>& targets) {
  Bitmap vetoes;
  if (step.kind == StepKind::kSwitch || step.kind == StepKind::kClose) {
    auto decoded = DecodeBitmap(step.vetoes, ReplySize(table, step));
    if (!decoded.has_value()) return std::nullopt;
    vetoes = *std::move(decoded);
  }
  const bool announce = step.kind == StepKind::kAnnounce;
  if (announce && targets.size() != table.buckets.size()) return std::nullopt;

  BucketTable next = table;
  next.generation = step.generation;
  if (announce) Announce(next, step, service, targets);
  if (step.kind == StepKind::kSwitch) Switch(next, service, vetoes);
  if (step.kind == StepKind::kClose) Close(next, step, vetoes);
  if (step.kind == StepKind::kSettle) Settle(next);
  return next;
}

void AddOccupied(const BucketTable& table, const TableStep& step,
                 const Bitmap& occupied, Bitmap& reply) {
  const size_t size = std::min(table.buckets.size(), occupied.size());
  size_t position = 0;
  for (size_t i = 0; i < size; ++i) {
    const Bucket& bucket = table.buckets[i];
    if (!IsCovered(bucket, i, step)) continue;
    if (occupied[i] && !bucket.forced) reply[position] = true;
    ++position;
  }
}

Bitmap OccupiedBuckets(const BucketTable& table, const TableStep& step,
                       FlowTable& flows, TimePoint now) {
  constexpr uint32_t kNotCounted = 0xFFFFFFFF;
  std::vector<uint32_t> positions(table.buckets.size(), kNotCounted);
  uint32_t size = 0;
  for (size_t i = 0; i < table.buckets.size(); ++i) {
    if (IsCovered(table.buckets[i], i, step)) positions[i] = size++;
  }
  Bitmap occupied(size);
  if (size == 0) return occupied;
  const bool announce = step.kind == StepKind::kAnnounce;
  flows.ForEachLive(now, [&](uint64_t fingerprint, const FlowEntry& entry) {
    if (entry.service != step.service) return;
    const size_t index = BucketIndex(fingerprint, positions.size());
    if (positions[index] == kNotCounted) return;
    const Bucket& bucket = table.buckets[index];
    const bool veto =
        announce ? !bucket.forced : entry.server != bucket.current;
    if (veto) occupied[positions[index]] = true;
  });
  return occupied;
}

}  // namespace knapweedlift
