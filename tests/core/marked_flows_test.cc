#include "core/flow/marked_flows.h"

#include <cmath>

#include "tests/support/facts.h"
#include "tests/support/properties.h"

using namespace knapweedlift;
using namespace knapweedlift::testing;

namespace {

constexpr Mark kServer = 5;
constexpr uint64_t kFlow = 77;

MarkedFlowMap EmptyMap() {
  MarkedFlowMap map;
  map.capacity = 100;
  return map;
}

MarkedPacket Syn(uint32_t retransmit_count = 0) {
  return {.syn = true, .sequence = 1'000, .retransmit_count = retransmit_count};
}

// A caller's packet after the handshake.
MarkedPacket Data(uint32_t sequence, uint32_t acknowledged, uint16_t size) {
  return {.ack = true,
          .mark = kServer,
          .sequence = sequence,
          .acknowledged = acknowledged,
          .payload_size = size};
}

const ServerTraffic& Traffic(const MarkedFlowMap& map) {
  return map.servers.at(kServer);
}

}  // namespace

// Admission measures the capacity by the flows served. Refusals by full servers
// and later requests of a flow must not count.
Test(marked_flows, first_response_that_took_time_counts_as_served) {
  const auto served = [](int64_t response_ms) {
    MarkedFlowMap map = EmptyMap();
    RecordPacket(map, kFlow, Syn(), kServer, At(0));
    RecordPacket(map, kFlow, Data(1'001, 1, 10), kServer, At(10));
    return RecordPacket(map, kFlow, Data(1'011, 50, 0), kServer,
                        At(10 + response_ms))
        .first_served;
  };
  cr_expect(not served(1));
  cr_expect(served(20));
  MarkedFlowMap map = EmptyMap();
  RecordPacket(map, kFlow, Syn(), kServer, At(0));
  RecordPacket(map, kFlow, Data(1'001, 1, 10), kServer, At(10));
  RecordPacket(map, kFlow, Data(1'011, 50, 10), kServer, At(30));
  cr_expect(not RecordPacket(map, kFlow, Data(1'021, 90, 0), kServer, At(60))
                    .first_served);
}

Test(marked_flows, caller_waits_from_its_request_to_the_response) {
  MarkedFlowMap map = EmptyMap();
  RecordPacket(map, kFlow, Syn(), kServer, At(0));
  cr_expect(Traffic(map).waiting == 1);
  cr_expect(Traffic(map).silent_since == At(0));
  const auto opened =
      RecordPacket(map, kFlow, Data(1'001, 9, 100), kServer, At(6));
  cr_expect(opened.answered, "the handshake shows that the server answered");
  cr_expect(Traffic(map).waiting == 1, "the request awaits its response");
  const auto done =
      RecordPacket(map, kFlow, Data(1'101, 500, 0), kServer, At(30));
  cr_expect(done.answered);
  cr_expect(done.waited == Duration(24));
  cr_expect(Traffic(map).waiting == 0);
  cr_expect(Traffic(map).silent_since == TimePoint::max());
}

// A caller ignores a reset whose sequence number it does not expect.
Test(marked_flows, first_acknowledgment_is_kept_whatever_its_value) {
  const auto property = [](uint32_t first, uint16_t later) {
    MarkedFlowMap map = EmptyMap();
    RecordPacket(map, kFlow, Syn(), kServer, At(0));
    RecordPacket(map, kFlow, Data(1'001, first, 100), kServer, At(6));
    RC_ASSERT(FindMarkedFlow(map, kFlow)->acknowledged == first);
    RecordPacket(map, kFlow, Data(1'101, first + later, 0), kServer, At(30));
    RC_ASSERT(FindMarkedFlow(map, kFlow)->acknowledged == first + later);
    RecordPacket(map, kFlow, Data(1'101, first, 0), kServer, At(31));
    RC_ASSERT(FindMarkedFlow(map, kFlow)->acknowledged == first + later);
  };
  ExpectProperty("acknowledgment numbers never decrease", property);
}

Test(marked_flows, retransmission_is_detected) {
  MarkedFlowMap map = EmptyMap();
  RecordPacket(map, kFlow, Syn(), kServer, At(0));
  cr_expect(RecordPacket(map, kFlow, Syn(1), kServer, At(200)).retransmitted);
  RecordPacket(map, kFlow, Data(1'001, 9, 100), kServer, At(210));
  const auto again =
      RecordPacket(map, kFlow, Data(1'001, 9, 100), kServer, At(410));
  cr_expect(again.retransmitted);
  cr_expect(not again.answered);
  cr_expect(Traffic(map).silent_since == At(210));
}

Test(marked_flows, duplicate_acknowledgment_counts_as_an_answer) {
  MarkedFlowMap map = EmptyMap();
  RecordPacket(map, kFlow, Syn(), kServer, At(0));
  RecordPacket(map, kFlow, Data(1'001, 9, 100), kServer, At(6));
  // The first segment of the response is lost, so the number stays the same.
  const auto observation =
      RecordPacket(map, kFlow, Data(1'101, 9, 0), kServer, At(20));
  cr_expect(observation.answered);
}

Test(marked_flows, flow_stops_waiting_once_its_caller_gave_up) {
  MarkedFlowMap map = EmptyMap();
  RecordPacket(map, kFlow, Data(1, 1, 100), kServer, At(0));
  ExpireMarkedFlows(map, Duration(15'000), At(1'000));
  cr_expect(Traffic(map).waiting == 1);
  ExpireMarkedFlows(map, Duration(15'000), At(3'000));
  cr_expect(Traffic(map).waiting == 0);
  cr_expect(Traffic(map).flows == 1);
  ExpireMarkedFlows(map, Duration(15'000), At(15'001));
  cr_expect(map.flows.empty());
  cr_expect(map.servers.empty());
}

Test(marked_flows, reused_port_opens_a_new_flow) {
  MarkedFlowMap map = EmptyMap();
  RecordPacket(map, kFlow, Syn(), kServer, At(0));
  RecordPacket(map, kFlow, Data(1'001, 9, 100), kServer, At(6));
  MarkedPacket other = Syn();
  other.sequence = 90'000;
  cr_expect(not RecordPacket(map, kFlow, other, 6, At(50)).retransmitted);
  cr_expect(map.flows.at(kFlow).mark == 6);
  cr_expect(map.flows.at(kFlow).state == MarkedFlowState::kOpening);
}

Test(marked_flows, late_retransmission_of_a_syn_does_not_reopen_the_flow) {
  MarkedFlowMap map = EmptyMap();
  RecordPacket(map, kFlow, Syn(), kServer, At(0));
  RecordPacket(map, kFlow, Data(1'001, 9, 100), kServer, At(6));
  RecordPacket(map, kFlow, Syn(1), kServer, At(200));
  cr_expect(map.flows.at(kFlow).state == MarkedFlowState::kOpen);
}

Test(marked_flows, counters_by_server_match_the_flows) {
  ExpectProperty("counts", [] {
    MarkedFlowMap map = EmptyMap();
    const auto steps = *rc::gen::container<std::vector<uint32_t>>(
        rc::gen::inRange<uint32_t>(0, 1 << 12));
    int64_t now = 0;
    for (const uint32_t step : steps) {
      now += step % 7 * 300;
      MarkedPacket packet{.syn = (step & 1) != 0,
                          .fin = (step & 14) == 2,
                          .rst = (step & 30) == 4,
                          .sequence = step >> 7,
                          .acknowledged = step >> 6,
                          .payload_size = static_cast<uint16_t>(step >> 9)};
      RecordPacket(map, step % 5, packet, 1 + step % 3, At(now));
      if (step % 11 == 0) ExpireMarkedFlows(map, Duration(4'000), At(now));
    }
    std::map<Mark, std::pair<uint32_t, uint32_t>> counted;
    for (const auto& [fingerprint, flow] : map.flows) {
      if (flow.state == MarkedFlowState::kClosing) continue;
      ++counted[flow.mark].first;
      if (flow.waiting_since != TimePoint::max()) ++counted[flow.mark].second;
    }
    for (const auto& [mark, traffic] : map.servers) {
      RC_ASSERT(traffic.flows == counted[mark].first);
      RC_ASSERT(traffic.waiting == counted[mark].second);
      RC_ASSERT((traffic.silent_since == TimePoint::max()) ==
                (traffic.waiting == 0));
    }
  });
}

Test(marked_flows, flows_beyond_the_capacity_are_not_tracked) {
  MarkedFlowMap map = EmptyMap();
  for (uint64_t flow = 0; flow < 1'000; ++flow) {
    RecordPacket(map, flow, Syn(), kServer, At(0));
  }
  cr_expect(map.flows.size() == map.capacity);
  cr_expect(Traffic(map).flows == map.capacity);
}

// Handshakes do not show how fast a server answers, and a packet with data may
// follow the answer by the caller's think time.
Test(marked_flows, response_waits_exclude_handshakes_and_think_time) {
  MarkedFlowTable table(1, 100);
  {
    absl::MutexLock lock(&table.shard(0).mutex);
    MarkedFlowMap& map = table.shard(0).map;
    RecordPacket(map, kFlow, Syn(), kServer, At(0));
    RecordPacket(map, kFlow, Data(1'001, 9, 100), kServer, At(6));
    RecordPacket(map, kFlow, Data(1'101, 500, 0), kServer, At(30));
    RecordPacket(map, kFlow, Data(1'101, 500, 100), kServer, At(1'000));
    RecordPacket(map, kFlow, Data(1'201, 900, 100), kServer, At(5'000));
  }
  const auto waits = table.TakeResponseWaits();
  cr_assert(waits.size() == 1);
  cr_expect(waits.at(kServer).count == 1);
  cr_expect(std::abs(std::exp(waits.at(kServer).log_sum) - 24) < 0.01);
  cr_expect(table.TakeResponseWaits().empty());
}

// Flows that open at once, which is nearly all, must cause no message.
Test(marked_flows, only_flows_that_are_still_opening_are_reported) {
  MarkedFlowMap map = EmptyMap();
  for (const uint64_t flow : {kFlow, kFlow + 1}) {
    RecordPacket(map, flow, Syn(), kServer, At(0));
    RecordPlacement(map, flow, *FindMarkedFlow(map, flow),
                    {.placed_at = At(0)});
  }
  RecordPacket(map, kFlow, Data(1'001, 1, 10), kServer, At(10));
  const TimePoint due_at = At(0) + kOpeningReportDelay;
  cr_expect(TakeDueOpenings(map, due_at - Duration(1)).empty());
  const Opening expected{.id = {.flow = kFlow + 1, .syn_sequence = 1'000},
                         .mark = kServer,
                         .placed_at = At(0)};
  cr_expect(TakeDueOpenings(map, due_at) == std::vector<Opening>({expected}));
  cr_expect(TakeDueOpenings(map, due_at).empty(), "they are reported once");
}

Test(marked_flows, moved_opening_is_reported_at_once_with_its_new_server) {
  MarkedFlowMap map = EmptyMap();
  RecordPacket(map, kFlow, Syn(), kServer, At(0));
  RecordPlacement(map, kFlow, *FindMarkedFlow(map, kFlow),
                  {.placed_at = At(0)});
  TakeDueOpenings(map, At(50));
  MoveFlow(map, kFlow, *FindMarkedFlow(map, kFlow), kServer + 1, At(60));
  const std::vector<Opening> openings = TakeDueOpenings(map, At(60));
  cr_assert(openings.size() == 1);
  cr_expect(openings[0].mark == kServer + 1);
  cr_expect(openings[0].placed_at == At(0));
}

Test(marked_flows, copy_is_unseen_if_its_syn_went_through_another_vm) {
  MarkedFlowMap map = EmptyMap();
  cr_expect(not IsUnseenCopy(Syn(), nullptr), "it is the first copy");
  cr_expect(IsUnseenCopy(Syn(1), nullptr));
  cr_expect(not IsUnseenCopy(Data(1'001, 1, 10), nullptr));
  RecordPacket(map, kFlow, Syn(), kServer, At(0));
  cr_expect(not IsUnseenCopy(Syn(1), FindMarkedFlow(map, kFlow)));
  MarkedPacket other_syn = Syn(1);
  ++other_syn.sequence;
  cr_expect(IsUnseenCopy(other_syn, FindMarkedFlow(map, kFlow)),
            "the port was reused");
}

Test(marked_flows, adopted_opening_is_that_of_the_vm_that_placed_it) {
  MarkedFlowMap map = EmptyMap();
  const Opening opening{.id = {.flow = kFlow, .syn_sequence = 1'000},
                        .mark = kServer,
                        .placed_at = At(100)};
  AdoptOpening(map, Syn(1), opening, At(300));
  const MarkedFlow* flow = FindMarkedFlow(map, kFlow);
  cr_assert(flow != nullptr);
  cr_expect(flow->mark == kServer);
  cr_expect(flow->state == MarkedFlowState::kOpening);
  cr_expect(flow->placement.placed_at == At(100));
  Opening late = opening;
  late.mark = kServer + 1;
  AdoptOpening(map, Syn(1), late, At(310));
  cr_expect(FindMarkedFlow(map, kFlow)->mark == kServer,
            "this VM has forwarded the SYN meanwhile");
}
