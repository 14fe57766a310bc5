#include "core/policy/decision.h"

#include "core/policy/homes.h"
#include "core/sheet/sheet_parser.h"
#include "tests/support/properties.h"
#include "tests/support/sheets.h"

using namespace knapweedlift;

namespace {

constexpr uint64_t kFlow = 0x1234567;
const std::vector<VmId> kVms = {1, 2, 3, 4, 5};

TimePoint At(int64_t ms) { return TimePoint(Duration(ms)); }

// A VM's view with every bucket as given.
View ViewOf(VmId self, const Bucket& bucket) {
  View view;
  view.self = self;
  view.sheet =
      std::make_shared<const Sheet>(*ParseSheet({SheetJson(1, 3).dump()}));
  IndexServices(view, {});
  BucketTable table;
  table.buckets.assign(1024, bucket);
  view.services[0].table = std::make_shared<const BucketTable>(table);
  view.homes = kVms;
  for (const VmId vm : kVms) {
    if (vm != self) view.fallback_vms.push_back(vm);
  }
  return view;
}

PacketMetadata Packet(bool syn) {
  return {.key = {.source = *ParseIpAddress("10.9.0.1"),
                  .destination = *ParseIpAddress("10.0.0.1"),
                  .source_port = 5,
                  .destination_port = 443,
                  .protocol = kProtocolTcp},
          .bare_syn = syn};
}

struct Vm {
  View view;
  FlowMap flows{.capacity = 8};

  Decision Decide(bool syn, std::optional<RelayOption> hand_on = {},
                  bool fresh = true) {
    return DecidePacket(view, flows, Packet(syn), kFlow, hand_on,
                        {.now = At(0), .fresh = fresh});
  }
};

const Bucket kStableBucket{.current = 2};
const Bucket kAnnouncedBucket{.current = 2, .next = 3, .forced = true};
const Bucket kSwitchedBucket{.current = 3, .oldest = 2};

}  // namespace

Test(decision, a_stable_bucket_decides_alone) {
  Vm vm{ViewOf(1, kStableBucket)};
  cr_expect(vm.Decide(false).server == 2);
  cr_expect(vm.flows.entries.size() == 1, "and the flow is remembered");
}

Test(decision, a_known_flow_stays_when_its_bucket_moves) {
  Vm vm{ViewOf(1, kStableBucket)};
  vm.Decide(true);
  vm.view = ViewOf(1, Bucket{.current = 3});
  cr_expect(vm.Decide(false).server == 2);
}

Test(decision, a_foreign_address_is_dropped) {
  Vm vm{ViewOf(1, kStableBucket)};
  PacketMetadata packet = Packet(true);
  packet.key.destination_port = 80;
  cr_expect(DecidePacket(vm.view, vm.flows, packet, kFlow, {}, {}).reason ==
            ResultCode::kDropUnknownService);
}

Test(decision, ambiguous_packets_go_to_the_homes) {
  const Homes homes = HomesOf(kFlow, kVms);
  for (const VmId self : kVms) {
    Vm vm{ViewOf(self, kSwitchedBucket)};
    const Decision decision = vm.Decide(false);
    cr_expect(decision.verdict == Verdict::kRelay);
    cr_expect(decision.peer ==
              (self == homes.first ? homes.second : homes.first));
  }
}

Test(decision, a_home_places_new_flows_on_the_new_server_after_the_switch) {
  const Homes homes = HomesOf(kFlow, kVms);
  Vm home{ViewOf(homes.first, kAnnouncedBucket)};
  cr_expect(home.Decide(true, RelayOption{9, 1}).server == 2);
  Vm later{ViewOf(homes.first, kSwitchedBucket)};
  const Decision placed = later.Decide(true, RelayOption{9, 1});
  cr_expect(placed.server == 3);
  cr_expect(placed.notify_first == 9);
  cr_expect(placed.notify_second == homes.second);
  cr_expect(later.Decide(false, RelayOption{9, 1}).server == 3);
}

Test(decision, flows_that_no_home_knows_are_old) {
  const Homes homes = HomesOf(kFlow, kVms);
  Vm second{ViewOf(homes.second, kSwitchedBucket)};
  const Decision decision = second.Decide(false, RelayOption{9, 2});
  cr_expect(decision.server == 2);
  cr_expect(decision.reason == ResultCode::kForwardedOldest);
}

Test(decision, a_closing_bucket_gives_unknown_flows_to_the_new_server) {
  Bucket closing = kSwitchedBucket;
  closing.closing = true;
  Vm home{ViewOf(HomesOf(kFlow, kVms).first, closing)};
  cr_expect(home.Decide(false, RelayOption{9, 2}).server == 3);
}

Test(decision, a_stale_view_places_nothing_but_known_flows_go_on) {
  Vm vm{ViewOf(1, kStableBucket)};
  cr_expect(vm.Decide(true, {}, false).verdict == Verdict::kRelay);
  cr_expect(vm.flows.entries.empty());
  vm.Decide(true);
  cr_expect(vm.Decide(false, {}, false).verdict == Verdict::kRelay,
            "a flow of which only a SYN was seen may be placed elsewhere");
  vm.Decide(false);
  cr_expect(vm.Decide(false, {}, false).server == 2);
  vm.view.fallback_vms.clear();
  vm.flows.entries.clear();
  cr_expect(vm.Decide(true, {}, false).reason == ResultCode::kDropViewStale);
}

Test(decision, a_flow_that_cannot_be_remembered_is_not_placed) {
  Vm home{ViewOf(HomesOf(kFlow, kVms).first, kSwitchedBucket)};
  home.flows.capacity = 0;
  cr_expect(home.Decide(true).reason == ResultCode::kDropFlowTableFull);
}

Test(decision, a_syn_seen_on_the_way_beats_the_oldest_server) {
  // Found in stale-join: a home placed a SYN while another home was believed to
  // be first, and its ACK was then taken for a packet of an old flow.
  const Homes homes = HomesOf(kFlow, kVms);
  Vm second{ViewOf(homes.second, kSwitchedBucket)};
  cr_expect(second.Decide(false, RelayOption{9, 2, 3}).server == 3);
  Vm first{ViewOf(homes.first, kSwitchedBucket)};
  RecordFlowServer(first.flows, first.view.sheet->services[0], kFlow, 3,
                   FlowState::kOpening, At(0));
  cr_expect(first.Decide(false).server == 3);
}

Test(decision, a_new_home_asks_the_former_one) {
  const Homes homes = HomesOf(kFlow, kVms);
  Vm home{ViewOf(homes.first, kSwitchedBucket)};
  home.view.former_homes = kVms;
  std::erase(home.view.former_homes, homes.first);
  std::erase(home.view.former_homes, homes.second);
  const VmId former = HomesOf(kFlow, home.view.former_homes).first;
  const Decision decision = home.Decide(false, RelayOption{9, 2});
  cr_expect(decision.verdict == Verdict::kRelay);
  cr_expect(decision.peer == former);
  Vm last{ViewOf(former, kSwitchedBucket)};
  cr_expect(last.Decide(false, decision.hand_on).server == 2);
}

Test(decision, a_cut_off_vm_questions_an_unknown_flow_once) {
  const Homes homes = HomesOf(kFlow, kVms);
  Vm vm{ViewOf(homes.first, kStableBucket)};
  vm.view.isolated = true;
  cr_expect(vm.Decide(false, RelayOption{9, 2}).reason ==
            ResultCode::kDropIsolated);
  const Decision later =
      DecidePacket(vm.view, vm.flows, Packet(false), kFlow, RelayOption{9, 2},
                   {.now = At(800), .fresh = true});
  cr_expect(later.server == 2);
  cr_expect(vm.Decide(true, RelayOption{9, 1}).server == 2,
            "new flows are placed");
}

Test(decision, equal_facts_decide_alike) {
  ExpectProperty("two VMs", [](uint64_t fingerprint, bool syn) {
    View a = ViewOf(1, kStableBucket);
    View b = ViewOf(2, kStableBucket);
    FlowMap flows_a{.capacity = 8};
    FlowMap flows_b{.capacity = 8};
    const DecisionTime time{.now = At(0), .fresh = true};
    const auto left =
        DecidePacket(a, flows_a, Packet(syn), fingerprint, {}, time);
    const auto right =
        DecidePacket(b, flows_b, Packet(syn), fingerprint, {}, time);
    RC_ASSERT(left.server == right.server);
    RC_ASSERT(left.verdict == right.verdict);
  });
}

Test(decision, a_packet_is_handed_on_at_most_twice) {
  ExpectProperty("hops", [](uint64_t fingerprint, bool syn, uint8_t start) {
    std::optional<RelayOption> hand_on;
    VmId at = kVms[start % kVms.size()];
    for (int hops = 0; hops < 3; ++hops) {
      View view = ViewOf(at, kSwitchedBucket);
      FlowMap flows{.capacity = 8};
      const auto decision =
          DecidePacket(view, flows, Packet(syn), fingerprint, hand_on,
                       {.now = At(0), .fresh = true});
      if (decision.verdict == Verdict::kForward) return;
      RC_ASSERT(decision.verdict == Verdict::kRelay);
      hand_on = decision.hand_on;
      at = decision.peer;
    }
    RC_FAIL("still handed on");
  });
}

Test(homes, removing_a_vm_changes_its_own_flows_only) {
  ExpectProperty("minimal change", [](uint64_t fingerprint, uint8_t index) {
    std::vector<VmId> fewer = kVms;
    const VmId gone = fewer[index % fewer.size()];
    std::erase(fewer, gone);
    const Homes before = HomesOf(fingerprint, kVms);
    const Homes after = HomesOf(fingerprint, fewer);
    if (before.first == gone) RC_ASSERT(after.first == before.second);
    if (!IsHome(before, gone)) RC_ASSERT(after == before);
  });
}
