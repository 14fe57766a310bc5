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
// compatible: VMs may stand on either side of a step without breaking a flow.
// The maker takes the next step only when every VM has taken the last one.
enum class StepKind : uint8_t {
  // Changes nothing; every VM answers which ambiguous buckets it has old flows
  // in.
  kQuery = 0,
  // Buckets to be moved become ambiguous; new flows still go to the old server.
  // Every VM answers in which of them it knows a live flow.
  kAnnounce = 1,
  // Announced buckets that nobody vetoed, and all forced ones, place new flows
  // on the new server.
  kSwitch = 2,
  // Ambiguous buckets in which nobody knows an old flow give unknown flows to
  // the new server; new flows still pass through homes.
  kClose = 3,
  // Closing buckets become stable.
  kSettle = 4,
};

// The buckets [first, last) that a step looks at.
struct BucketRange {
  uint32_t first = 0;
  uint32_t last = 0;

  auto operator<=>(const BucketRange&) const = default;
};

// A VM since one of its starts.
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
  // kAnnounce: only moves away from servers that take no new flows.
  bool forced = false;
  BucketRange range;
  // kSwitch: vetoes over the pending buckets; kClose: over the ambiguous
  // buckets of the stripe. In bucket order, encoded by EncodeBitmap.
  std::string vetoes;
  // The VMs that are asked for their flows, ascending. Successors speak for all
  // others.
  std::vector<VmIncarnation> queried_vms;

  auto operator<=>(const TableStep&) const = default;
};

// Applies a step. `targets` are the sheet's targets for step.order.revision and
// are used by kAnnounce alone; `service` is that sheet's service. Nothing is
// returned where the vetoes do not fit the table.
std::optional<BucketTable> ApplyStep(const BucketTable& table,
                                     const TableStep& step,
                                     const Service& service,
                                     const std::vector<ServerId>& targets);

// True where the bucket should move to its target, as a forced or a free move.
bool NeedsMove(const Bucket& bucket, ServerId target, const Service& service,
               bool forced);

// The answer to a step that was applied: for a table with pending buckets, in
// which of them this VM knows a live flow (forced ones excepted); otherwise in
// which ambiguous buckets of the stripe it knows a flow that is not on the
// current server.
Bitmap OccupiedBuckets(const BucketTable& table, const TableStep& step,
                       FlowTable& flows, TimePoint now);

// Adds to an answer the buckets that `occupied`, over all buckets, names.
void AddOccupied(const BucketTable& table, const TableStep& step,
                 const Bitmap& occupied, Bitmap& answer);

// Number of bits in the answer to `step`.
size_t ReplySize(const BucketTable& table, const TableStep& step);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_TABLE_TABLE_STEP_H_
