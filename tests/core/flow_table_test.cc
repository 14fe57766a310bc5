#include "core/flow/flow_table.h"

#include "tests/support/properties.h"

using namespace knapweedlift;

namespace {

TimePoint At(int64_t ms) { return TimePoint(Duration(ms)); }

FlowEntry Entry(FlowState state, uint32_t expires = 100) {
  return {.expires = expires, .service = 1, .state = state, .server = 2};
}

}  // namespace

Test(flow_table, entry_takes_at_most_24_bytes) {
  cr_expect(sizeof(FlowEntry) <= 24);
}

Test(flow_table, entries_expire_at_their_deadline) {
  FlowMap flows{.capacity = 4};
  UpsertFlow(flows, 1, Entry(FlowState::kOpening));
  cr_expect(FindFlow(flows, 1, At(10'000)) != nullptr);
  cr_expect(FindFlow(flows, 1, At(10'100)) == nullptr);
  int expired = 0;
  ExpireFlows(flows, At(10'100), [&expired](const FlowEntry&) { ++expired; });
  cr_expect(expired == 1);
  cr_expect(flows.opening == 0);
}

Test(flow_table, syn_flood_leaves_capacity_for_established_flows) {
  FlowMap flows{.capacity = 8};
  for (uint64_t i = 0; i < 100; ++i) {
    UpsertFlow(flows, i, Entry(FlowState::kOpening));
  }
  cr_expect(flows.entries.size() == 4);
  cr_expect(UpsertFlow(flows, 500, Entry(FlowState::kEstablished)));
}

Test(flow_table, opening_flows_are_counted_across_changes) {
  ExpectProperty("count",
                 [](const std::vector<std::pair<uint8_t, uint8_t>>& changes) {
                   FlowMap flows{.capacity = 16};
                   for (const auto& [flow, state] : changes) {
                     UpsertFlow(flows, flow % 32,
                                Entry(static_cast<FlowState>(state % 4)));
                   }
                   size_t opening = 0;
                   for (const auto& [flow, entry] : flows.entries) {
                     opening += entry.state == FlowState::kOpening;
                   }
                   RC_ASSERT(flows.opening == opening);
                   RC_ASSERT(flows.entries.size() <= flows.capacity);
                 });
}
