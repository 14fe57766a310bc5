#include "core/fleet/openings.h"

#include <algorithm>
#include <set>

#include "tests/support/fake_fleet.h"
#include "tests/support/properties.h"

using namespace knapweedlift;
using namespace knapweedlift::testing;

namespace {

constexpr OpeningId kId{.flow = 77, .syn_sequence = 5};

Opening OpeningAt(TimePoint placed_at, OpeningId id = kId) {
  return {.id = id, .mark = 9, .placed_at = placed_at};
}

// A VM of failure domain a that knows `vms` others there, and as many in
// another domain.
FleetState StateWithPeers(VmId self, VmId vms) {
  FleetState state = StartFleet(
      {.id = self, .control = Address(1, 7'000), .domain = "a"}, {}, 1, At(0));
  state.phase = MemberPhase::kServing;
  for (VmId id = 1; id <= 2 * vms; ++id) {
    if (id == self) continue;
    MergeHeartbeat(state.members,
                   {.vm = id,
                    .incarnation = 1,
                    .count = 1,
                    .phase = MemberPhase::kServing},
                   At(0));
    UpdateAddress(state.members,
                  {.id = id,
                   .control = Address(static_cast<uint8_t>(id), 7'000),
                   .domain = id <= vms ? "a" : "b"});
  }
  return state;
}

}  // namespace

Test(openings, are_kept_for_as_long_as_callers_repeat_a_syn) {
  OpeningTable table;
  KeepOpening(table, OpeningAt(At(100)), At(140));
  cr_expect(FindOpening(table, kId) == OpeningAt(At(100)));
  cr_expect(not FindOpening(table, {.flow = 77, .syn_sequence = 6}).has_value(),
            "the port was reused");
  ExpireOpenings(table, At(100) + kKeptOpeningTime);
  cr_expect(FindOpening(table, kId).has_value());
  ExpireOpenings(table, At(101) + kKeptOpeningTime);
  cr_expect(not FindOpening(table, kId).has_value());
}

Test(openings, later_report_replaces_an_earlier_one) {
  OpeningTable table;
  KeepOpening(table, OpeningAt(At(100)), At(140));
  Opening moved = OpeningAt(At(100));
  moved.mark = 10;
  KeepOpening(table, moved, At(200));
  cr_expect(FindOpening(table, kId) == moved);
}

Test(openings, table_is_bounded) {
  OpeningTable table;
  for (uint64_t flow = 0; flow <= kMaxKeptOpenings; ++flow) {
    KeepOpening(table, OpeningAt(At(100), {.flow = flow}), At(100));
  }
  cr_expect(table.by_flow.size() == kMaxKeptOpenings);
}

Test(openings, keepers_are_serving_vms_of_the_domain) {
  constexpr VmId kVms = 6;
  FleetState state = StateWithPeers(1, kVms);
  state.members.at(2).heartbeat.phase = MemberPhase::kLeaving;
  state.members.at(3).heartbeat.phase = MemberPhase::kJoining;
  state.members.at(4).lease_expires_at = At(0);
  std::set<VmId> keepers;
  for (uint64_t flow = 0; flow < 200; ++flow) {
    for (const VmId id : OpeningKeepers(state, flow, kOpeningKeepers, At(1))) {
      keepers.insert(id);
    }
  }
  cr_expect(keepers == std::set<VmId>({1, 5, 6}));
}

// A VM that has joined or left is known to some VMs first.
Test(openings, asked_keepers_include_one_that_a_vm_with_another_peer_tells) {
  ExpectProperty("views that differ in one VM", [] {
    constexpr VmId kVms = 9;
    const auto flow = *rc::gen::arbitrary<uint64_t>();
    const auto missing = *rc::gen::inRange<VmId>(3, kVms + 1);
    const FleetState complete = StateWithPeers(1, kVms);
    FleetState other = StateWithPeers(2, kVms);
    other.members.erase(missing);
    const auto overlap = [flow](const FleetState& told_by,
                                const FleetState& asked_by) {
      const auto told = OpeningKeepers(told_by, flow, kOpeningKeepers, At(1));
      const auto asked = OpeningKeepers(asked_by, flow, kAskedKeepers, At(1));
      return std::any_of(asked.begin(), asked.end(), [&told](VmId id) {
        return std::find(told.begin(), told.end(), id) != told.end();
      });
    };
    RC_ASSERT(overlap(complete, other));
    RC_ASSERT(overlap(other, complete));
  });
}

// Routers use a VM about a second after it has started to serve. It does not
// know all of its peers by then, nor do they all know it.
Test(openings, query_of_a_started_vm_reaches_keepers_that_were_told) {
  constexpr size_t kVms = 39;
  constexpr Duration kRotationDelay{1'000};
  constexpr size_t kFlows = 300;
  FakeFleet fleet(kVms, 1);
  fleet.Run(Duration(20'000));
  fleet.AddVm(kVms, 1);
  fleet.Run(kRotationDelay);
  const FakeFleet::Vm& started = fleet.vm(kVms);
  for (uint64_t flow = 0; flow < kFlows; ++flow) {
    fleet.ReportOpening(3, OpeningAt(fleet.now(), {.flow = flow}));
  }
  fleet.Run(2 * kNetworkDelay);
  std::set<uint64_t> found;
  for (uint64_t flow = 0; flow < kFlows; ++flow) {
    if (FindOpening(started.fleet.openings, {.flow = flow}).has_value()) {
      found.insert(flow);
    }
    fleet.AskForOpening(kVms, {.flow = flow});
  }
  fleet.Run(4 * kNetworkDelay);
  bool forwarded = false;
  for (const OpeningReply& reply : started.opening_replies) {
    forwarded |= reply.forwarded;
    if (reply.opening.has_value()) found.insert(reply.id.flow);
  }
  cr_expect(forwarded, "it knows all peers");
  cr_expect(found.size() == kFlows, "%zu of %zu", found.size(), kFlows);
}

// The cost of an opening and of a copy, at a small and at a large site.
Test(openings, messages_do_not_grow_with_the_fleet) {
  for (const VmId vms : {VmId(5), VmId(100)}) {
    FleetState state = StateWithPeers(1, vms);
    for (uint64_t flow = 0; flow < 100; ++flow) {
      FleetOutbox out;
      SendOpenings(state, {OpeningAt(At(1), {.flow = flow})}, At(1), out);
      cr_expect(out.size() <= kOpeningKeepers);
      out.clear();
      cr_expect(SendOpeningQuery(state, {.flow = flow}, At(1), out) <=
                kAskedKeepers);
      cr_expect(out.size() <= 1);
    }
  }
}

Test(openings, vm_without_peers_asks_nobody) {
  FleetState state = StateWithPeers(1, 1);
  FleetOutbox out;
  SendOpenings(state, {OpeningAt(At(1))}, At(1), out);
  cr_expect(SendOpeningQuery(state, kId, At(1), out) == 0);
  cr_expect(out.empty());
  cr_expect(FindOpening(state.openings, kId).has_value(),
            "it keeps its own openings");
}

Test(openings, keeper_replies_with_what_it_knows) {
  FleetState keeper = StateWithPeers(1, 3);
  Registry registry;
  const auto reply_to = [&](const OpeningId& id) {
    FleetOutbox out;
    HandleFleetMessage(
        keeper, registry, 2,
        OpeningQuery{.id = id,
                     .requester = {.id = 2, .control = Address(2, 7'000)}},
        At(60), out);
    cr_assert(out.size() == 1);
    cr_expect(out[0].recipients == std::vector({Address(2, 7'000)}));
    return std::get<OpeningReply>(out[0].message);
  };
  cr_expect(not reply_to(kId).opening.has_value());
  FleetOutbox out;
  HandleFleetMessage(keeper, registry, 2,
                     OpeningNotice{.openings = {OpeningAt(At(10))}}, At(50),
                     out);
  cr_expect(out.empty());
  const OpeningReply reply = reply_to(kId);
  cr_expect(reply.id == kId);
  cr_expect(reply.opening == OpeningAt(At(10)));
  const FleetMessageResult result =
      HandleFleetMessage(keeper, registry, 2, reply, At(70), out);
  cr_expect(result.opening_reply == reply);
}
