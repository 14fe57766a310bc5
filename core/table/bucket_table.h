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

// Total order of the generations of one service's table. The highest wins and
// no VM ever goes back.
struct GenerationId {
  uint64_t revision = 0;
  uint32_t sequence = 0;
  VmId coordinator = kNoVm;

  auto operator<=>(const GenerationId&) const = default;
};

// One bucket's backend servers. A bucket is stable when only `current` is set;
// otherwise it is ambiguous and its homes decide.
struct Bucket {
  // Where flows are placed.
  ServerId current = kNoServer;
  // Announced: where flows will be placed after the switch.
  ServerId next = kNoServer;
  // Where flows that no home knows belong, while such flows may exist.
  ServerId oldest = kNoServer;
  // The move cannot be vetoed, since `current` takes no new flows.
  bool forced = false;
  // No flow of `oldest` is left, but other VMs may not know that yet.
  bool closing = false;
  // The homes know every flow of `oldest`, so that an unknown flow is new. Set
  // for UDP, where no packet tells that it opens a flow.
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

inline bool IsStable(const Bucket& bucket) {
  return bucket.next == kNoServer && bucket.oldest == kNoServer;
}

inline bool IsPending(const Bucket& bucket) { return bucket.next != kNoServer; }

// Where a packet in mid-flow belongs when no home knows its flow.
inline ServerId ServerOfUnknownFlow(const Bucket& bucket) {
  const bool old_flows =
      bucket.oldest != kNoServer && !bucket.closing && !bucket.old_flows_known;
  return old_flows ? bucket.oldest : bucket.current;
}

inline size_t BucketIndex(uint64_t fingerprint, size_t bucket_count) {
  return fingerprint & (bucket_count - 1);
}

// The table that the sheet alone determines: weighted rendezvous hashing of
// each bucket over the servers that take new flows. Entries are kNoServer where
// there is none. The cost is buckets x servers.
std::vector<ServerId> SheetTargets(const Service& service);

// A first generation with every bucket stable on its target.
BucketTable InitialTable(const Service& service, uint64_t revision);

// Counts of a table, for operators and the maker's planning.
struct TableSummary {
  size_t stable = 0;
  size_t pending = 0;
  size_t ambiguous = 0;
  size_t closing = 0;

  auto operator<=>(const TableSummary&) const = default;
};

TableSummary Summarize(const BucketTable& table);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_TABLE_BUCKET_TABLE_H_
