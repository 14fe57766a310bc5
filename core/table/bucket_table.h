#ifndef KNAPWEEDLIFT_CORE_TABLE_BUCKET_TABLE_H_
#define KNAPWEEDLIFT_CORE_TABLE_BUCKET_TABLE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "core/ids.h"
#include "core/sheet/sheet.h"

namespace knapweedlift {

// Identifies a generation of one service's table. Generations are totally
// ordered: the highest wins, and no VM goes back to a lower one. Messages
// between VMs, status and logs call `coordinator` the maker.
struct GenerationId {
  // Revision of the sheet, and the number of steps since the first generation.
  uint64_t revision = 0;
  uint32_t sequence = 0;
  VmId coordinator = kNoVm;

  auto operator<=>(const GenerationId&) const = default;
};

// Backend servers of one bucket. A bucket is stable if only `current` is set.
// Otherwise it is ambiguous and the homes of its flows decide.
struct Bucket {
  // Server on which new flows are placed.
  ServerId current = kNoServer;
  // Announced server on which new flows are placed after the switch.
  ServerId next = kNoServer;
  // Server of the flows that no home knows, while such flows may exist.
  ServerId oldest = kNoServer;
  // The move cannot be vetoed because `current` takes no new flows.
  bool forced = false;
  // No flow is left on `oldest`, but other VMs may not know that yet.
  bool closing = false;
  // The homes know every flow on `oldest`, so that an unknown flow is new. Set
  // for UDP, whose packets do not show whether they open a flow.
  bool old_flows_known = false;

  auto operator<=>(const Bucket&) const = default;
};

// One generation of a service's table. Immutable once shared.
struct BucketTable {
  GenerationId generation;
  std::vector<Bucket> buckets;

  auto operator<=>(const BucketTable&) const = default;
};

using BucketTablePtr = std::shared_ptr<const BucketTable>;

// Returns true if flows of the bucket are decided by `current` alone.
inline bool IsStable(const Bucket& bucket) {
  return bucket.next == kNoServer && bucket.oldest == kNoServer;
}

// Returns true if a move of the bucket is announced.
inline bool IsPending(const Bucket& bucket) { return bucket.next != kNoServer; }

// Returns the server for a mid-flow packet whose flow no home knows.
inline ServerId ServerOfUnknownFlow(const Bucket& bucket) {
  const bool old_flows =
      bucket.oldest != kNoServer && !bucket.closing && !bucket.old_flows_known;
  return old_flows ? bucket.oldest : bucket.current;
}

// Returns the bucket of a flow. `bucket_count` must be a power of two.
inline size_t BucketIndex(uint64_t fingerprint, size_t bucket_count) {
  return fingerprint & (bucket_count - 1);
}

// Returns the target server of each bucket, which the sheet alone determines:
// weighted rendezvous hashing of the bucket over the servers that take new
// flows. The targets are kNoServer if there are no such servers. Runs in
// O(buckets x servers) time.
std::vector<ServerId> SheetTargets(const Service& service);

// Returns a first generation with every bucket stable on its target.
BucketTable InitialTable(const Service& service, uint64_t revision);

// Bucket counts of a table by state, for operators. A bucket can count in
// several states.
struct TableSummary {
  size_t stable = 0;
  size_t pending = 0;
  size_t ambiguous = 0;
  size_t closing = 0;

  auto operator<=>(const TableSummary&) const = default;
};

// Counts the buckets of a table by state.
TableSummary Summarize(const BucketTable& table);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_TABLE_BUCKET_TABLE_H_
