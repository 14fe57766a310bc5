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

// Returns a VM's view in which every bucket equals `bucket`.
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

  Decision Decide(bool syn, std::optional<RelayOption> relay_option = {},
                  bool fresh = true) {
    return DecidePacket(view, flows, Packet(syn), kFlow, relay_option,
                        {.now = At(0), .fresh = fresh});
  }
};

const Bucket kStableBucket{.current = 2};
const Bucket kAnnouncedBucket{.current = 2, .next = 3, .forced = true};
const Bucket kSwitchedBucket{.current = 3, .oldest = 2};

}  // namespace

Test(decision, decides_stable_bucket_locally) {
  Vm vm{ViewOf(1, kStableBucket)};
  cr_expect(vm.Decide(false).server == 2);
  cr_expect(vm.flows.entries.size() == 1, "the flow is recorded");
}

Test(decision, keeps_server_of_known_flow_when_bucket_moves) {
  Vm vm{ViewOf(1, kStableBucket)};
  vm.Decide(true);
  vm.view = ViewOf(1, Bucket{.current = 3});
  cr_expect(vm.Decide(false).server == 2);
}

Test(decision, drops_packet_to_unknown_address) {
  Vm vm{ViewOf(1, kStableBucket)};
  PacketMetadata packet = Packet(true);
  packet.key.destination_port = 80;
  cr_expect(DecidePacket(vm.view, vm.flows, packet, kFlow, {}, {}).reason ==
            ResultCode::kDropUnknownService);
}

Test(decision, relays_packets_of_ambiguous_buckets_to_homes) {
  const Homes homes = HomesOf(kFlow, kVms);
  for (const VmId self : kVms) {
    Vm vm{ViewOf(self, kSwitchedBucket)};
    const Decision decision = vm.Decide(false);
    cr_expect(decision.verdict == Verdict::kRelay);
    cr_expect(decision.peer ==
              (self == homes.first ? homes.second : homes.first));
  }
}

Test(decision, home_places_new_flows_on_new_server_after_switch) {
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

Test(decision, treats_flows_that_no_home_knows_as_old) {
  const Homes homes = HomesOf(kFlow, kVms);
  Vm second{ViewOf(homes.second, kSwitchedBucket)};
  const Decision decision = second.Decide(false, RelayOption{9, 2});
  cr_expect(decision.server == 2);
  cr_expect(decision.reason == ResultCode::kForwardedOldest);
}

Test(decision, closing_bucket_assigns_unknown_flows_to_new_server) {
  Bucket closing = kSwitchedBucket;
  closing.closing = true;
  Vm home{ViewOf(HomesOf(kFlow, kVms).first, closing)};
  cr_expect(home.Decide(false, RelayOption{9, 2}).server == 3);
}

Test(decision, stale_view_forwards_known_flows_and_places_none) {
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

Test(decision, places_no_flow_when_flow_table_is_full) {
  Vm home{ViewOf(HomesOf(kFlow, kVms).first, kSwitchedBucket)};
  home.flows.capacity = 0;
  cr_expect(home.Decide(true).reason == ResultCode::kDropFlowTableFull);
}

Test(decision, server_of_seen_syn_takes_precedence_over_oldest) {
  // Regression found by scenario stale-join: a home placed a SYN while another
  // VM was believed to be the first home, and the flow's ACK was then treated
  // as a packet of an old flow.
  const Homes homes = HomesOf(kFlow, kVms);
  Vm second{ViewOf(homes.second, kSwitchedBucket)};
  cr_expect(second.Decide(false, RelayOption{9, 2, 3}).server == 3);
  Vm first{ViewOf(homes.first, kSwitchedBucket)};
  RecordFlowServer(first.flows, first.view.sheet->services[0], kFlow, 3,
                   FlowState::kOpening, At(0));
  cr_expect(first.Decide(false).server == 3);
}

Test(decision, new_home_consults_former_home) {
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
  cr_expect(last.Decide(false, decision.relay_option).server == 2);
}

Test(decision, isolated_vm_drops_unknown_flow_once) {
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

Test(decision, equal_views_give_equal_decisions) {
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

Test(decision, relays_a_packet_at_most_twice) {
  ExpectProperty("hops", [](uint64_t fingerprint, bool syn, uint8_t start) {
    std::optional<RelayOption> relay_option;
    VmId at = kVms[start % kVms.size()];
    for (int hops = 0; hops < 3; ++hops) {
      View view = ViewOf(at, kSwitchedBucket);
      FlowMap flows{.capacity = 8};
      const auto decision =
          DecidePacket(view, flows, Packet(syn), fingerprint, relay_option,
                       {.now = At(0), .fresh = true});
      if (decision.verdict == Verdict::kForward) return;
      RC_ASSERT(decision.verdict == Verdict::kRelay);
      relay_option = decision.relay_option;
      at = decision.peer;
    }
    RC_FAIL("packet is still relayed");
  });
}

Test(homes, removing_vm_changes_homes_of_its_flows_only) {
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
