#include "core/sheet/sheet_parser.h"
#include "core/table/bitmap.h"
#include "core/table/table_delta.h"
#include "core/table/table_step.h"
#include "tests/support/properties.h"
#include "tests/support/sheets.h"

using namespace knapweedlift;

namespace {

Service ServiceWith(int servers) {
  return ParseSheet({SheetJson(1, servers).dump()})->services[0];
}

TimePoint At(int64_t ms) { return TimePoint(Duration(ms)); }

TableStep StepOf(StepKind kind, uint32_t buckets) {
  return {.service = 1, .kind = kind, .range = {0, buckets}};
}

// Adds an established flow in bucket `index` on `server` to the flow table.
void AddFlow(FlowTable& flows, uint64_t index, ServerId server) {
  FlowTable::Shard& shard = flows.ShardOf(index);
  absl::MutexLock lock(&shard.mutex);
  UpsertFlow(shard.flows, index,
             {.expires = 1'000'000,
              .service = 1,
              .state = FlowState::kEstablished,
              .server = server});
}

}  // namespace

Test(table, new_server_takes_over_minimum_of_buckets) {
  ExpectProperty("only buckets of the new server move", [](uint8_t count) {
    const int servers = 1 + count % 20;
    const auto before = SheetTargets(ServiceWith(servers));
    const auto after = SheetTargets(ServiceWith(servers + 1));
    for (size_t i = 0; i < before.size(); ++i) {
      RC_ASSERT(after[i] == before[i] || after[i] == servers + 1);
    }
  });
}

Test(table, share_of_buckets_is_proportional_to_slots) {
  Service service = ServiceWith(4);
  service.servers[0].slots = 6;
  service.buckets = 65'536;
  size_t heavy = 0;
  for (const ServerId target : SheetTargets(service)) heavy += target == 1;
  // Server 1 has 6 of 12 slots.
  cr_expect(heavy > 32'000 && heavy < 33'500);
}

Test(table, generation_ids_are_totally_ordered_and_monotone) {
  ExpectProperty("order", [](uint64_t r1, uint64_t r2, uint32_t s1, uint32_t s2,
                             uint32_t m1, uint32_t m2) {
    const GenerationId a{r1, s1, m1};
    const GenerationId b{r2, s2, m2};
    RC_ASSERT((a < b) + (b < a) + (a == b) == 1);
    RC_ASSERT(a < GenerationId(r1 + (r1 != UINT64_MAX), s1, m1 + 1) ||
              m1 == UINT32_MAX || r1 == UINT64_MAX);
  });
}

Test(table, bitmaps_round_trip_in_both_encodings) {
  ExpectProperty("round trip", [](const std::vector<bool>& bits) {
    RC_ASSERT(DecodeBitmap(EncodeBitmap(bits), bits.size()) == bits);
  });
  Bitmap sparse(8'192);
  sparse[77] = true;
  cr_expect(EncodeBitmap(sparse).size() < 5);
  cr_expect(not DecodeBitmap("g\xFF\xFF", 100).has_value());
  cr_expect(not DecodeBitmap("p", 100).has_value());
}

Test(table, merging_bitmaps_is_commutative_associative_and_idempotent) {
  ExpectProperty("merge", [](Bitmap a, Bitmap b, Bitmap c) {
    a.resize(32), b.resize(32), c.resize(32);
    const auto merge = [](Bitmap x, const Bitmap& y) {
      MergeBitmap(x, y);
      return x;
    };
    RC_ASSERT(merge(a, b) == merge(b, a));
    RC_ASSERT(merge(merge(a, b), c) == merge(a, merge(b, c)));
    RC_ASSERT(merge(a, a) == a);
  });
}

Test(table, delta_round_trip_preserves_every_bucket) {
  const Service service = ServiceWith(3);
  const auto targets = SheetTargets(service);
  ExpectProperty("round trip", [&](const std::vector<uint16_t>& noise) {
    BucketTable table = InitialTable(service, 9);
    for (const uint16_t value : noise) {
      Bucket& bucket = table.buckets[value % table.buckets.size()];
      bucket.next = value % 5 == 0 ? kNoServer : 1 + value % 3;
      bucket.oldest = value % 7;
      bucket.current = 1 + value % 4;
      bucket.forced = value % 2 == 0;
      bucket.old_flows_known = value % 3 == 0;
    }
    const std::string bytes = EncodeTableDelta(table, targets);
    RC_ASSERT(DecodeTableDelta(bytes, table.generation, targets) == table);
  });
  cr_expect(EncodeTableDelta(InitialTable(service, 1), targets).size() == 1);
  cr_expect(not DecodeTableDelta("\x05garbage", {}, targets).has_value());
}

Test(table, occupied_bucket_is_not_rebalanced) {
  const Service after = ServiceWith(3);
  const auto targets = SheetTargets(after);
  BucketTable table = InitialTable(ServiceWith(2), 1);
  const TableStep announce = StepOf(StepKind::kAnnounce, 1024);
  table = *ApplyStep(table, announce, after, targets);
  size_t moving = 0;
  while (!IsPending(table.buckets[moving])) ++moving;
  FlowTable flows(1, 100);
  AddFlow(flows, moving, table.buckets[moving].current);
  TableStep commit = StepOf(StepKind::kSwitch, 1024);
  commit.vetoes = EncodeBitmap(OccupiedBuckets(table, announce, flows, At(0)));
  const BucketTable switched = *ApplyStep(table, commit, after, targets);
  cr_expect(IsStable(switched.buckets[moving]));
  cr_expect(switched.buckets[moving].current != 3);
  const TableSummary summary = Summarize(switched);
  cr_expect(summary.ambiguous > 250, "empty buckets move");
}

Test(table, drained_bucket_keeps_old_server_until_empty) {
  Service after = ServiceWith(3);
  after.servers[0].state = ServerState::kLeaving;
  const auto targets = SheetTargets(after);
  BucketTable table = InitialTable(ServiceWith(3), 1);
  size_t old = 0;
  while (table.buckets[old].current != 1) ++old;
  FlowTable flows(1, 100);
  AddFlow(flows, old, 1);
  TableStep announce = StepOf(StepKind::kAnnounce, 1024);
  announce.forced = true;
  table = *ApplyStep(table, announce, after, targets);
  TableStep commit = StepOf(StepKind::kSwitch, 1024);
  commit.vetoes = EncodeBitmap(OccupiedBuckets(table, announce, flows, At(0)));
  table = *ApplyStep(table, commit, after, targets);
  cr_expect(table.buckets[old].oldest == 1);
  cr_expect(ServerOfUnknownFlow(table.buckets[old]) == 1);
  const TableStep query = StepOf(StepKind::kQuery, 1024);
  TableStep close = StepOf(StepKind::kClose, 1024);
  close.vetoes = EncodeBitmap(OccupiedBuckets(table, query, flows, At(0)));
  table = *ApplyStep(table, close, after, targets);
  table = *ApplyStep(table, StepOf(StepKind::kSettle, 1024), after, targets);
  cr_expect(table.buckets[old].oldest == 1);
  cr_expect(Summarize(table).ambiguous == 1, "all other buckets are settled");
}
