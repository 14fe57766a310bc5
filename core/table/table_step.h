#ifndef KNAPWEEDLIFT_CORE_TABLE_TABLE_STEP_H_
#define KNAPWEEDLIFT_CORE_TABLE_TABLE_STEP_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/flow/flow_table.h"
#include "core/sheet/sheet.h"
#include "core/table/bitmap.h"
#include "core/table/bucket_table.h"

namespace knapweedlift {

// A step leads from one generation to the next. Adjacent generations are
// compatible: no flow breaks while some VMs hold the earlier one and others the
// later one. The coordinator takes the next step only when every VM has applied
// the last one.
enum class StepKind : uint8_t {
  // Changes nothing. Every VM replies in which ambiguous buckets it has old
  // flows.
  kQuery = 0,
  // Buckets to be moved become ambiguous; new flows still go to the old server.
  // Every VM replies in which of them it knows a live flow.
  kAnnounce = 1,
  // Announced buckets without a veto, and all forced ones, place new flows on
  // the new server.
  kSwitch = 2,
  // Ambiguous buckets in which no VM knows an old flow assign unknown flows to
  // the new server; new flows still go through the homes.
  kClose = 3,
  // Closing buckets become stable.
  kSettle = 4,
};

// The buckets [first, last) that a step covers.
struct BucketRange {
  uint32_t first = 0;
  uint32_t last = 0;

  auto operator<=>(const BucketRange&) const = default;
};

// A VM between one of its starts and the next.
struct VmIncarnation {
  VmId vm = kNoVm;
  uint64_t incarnation = 0;

  auto operator<=>(const VmIncarnation&) const = default;
};

struct TableStep {
  ServiceNumber service = 0;
  GenerationId base;
  GenerationId generation;
  StepKind kind = StepKind::kQuery;
  // kAnnounce: moves only buckets of servers that take no new flows.
  bool forced = false;
  BucketRange range;
  // kSwitch: vetoes of the pending buckets; kClose: vetoes of the ambiguous
  // buckets in the range. In bucket order, encoded by EncodeBitmap.
  std::string vetoes;
  // VMs that are queried for their flows, in ascending order. Successors reply
  // on behalf of all others.
  std::vector<VmIncarnation> queried_vms;

  auto operator<=>(const TableStep&) const = default;
};

// Applies a step. `targets` are the targets of the sheet with
// step.generation.revision and are used by kAnnounce only; `service` is from
// the same sheet. Returns nothing if the vetoes or the targets do not match the
// table.
std::optional<BucketTable> ApplyStep(const BucketTable& table,
                                     const TableStep& step,
                                     const Service& service,
                                     const std::vector<ServerId>& targets);

// Returns true if the bucket should move to its target: as a forced move off a
// server that takes no new flows, or else as a rebalancing move.
bool NeedsMove(const Bucket& bucket, ServerId target, const Service& service,
               bool forced);

// Returns this VM's reply to an applied step. For kAnnounce: the pending
// buckets, except forced ones, in which it knows a live flow. Otherwise: the
// ambiguous buckets in the range in which it knows a flow that is not on the
// current server.
Bitmap OccupiedBuckets(const BucketTable& table, const TableStep& step,
                       FlowTable& flows, TimePoint now);

// Adds the buckets that are set in `occupied`, a bitmap over all buckets, to a
// reply. Forced buckets are excepted.
void AddOccupied(const BucketTable& table, const TableStep& step,
                 const Bitmap& occupied, Bitmap& reply);

// Returns the number of bits in the reply to `step`.
size_t ReplySize(const BucketTable& table, const TableStep& step);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_TABLE_TABLE_STEP_H_
