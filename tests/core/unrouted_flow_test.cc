#include "core/flow/marked_flows.h"
#include "core/placement/mark_decision.h"
#include "tests/support/facts.h"
#include "tests/support/properties.h"

using namespace knapweedlift;
using namespace knapweedlift::testing;

namespace {

constexpr uint64_t kFlow = 7;
constexpr Duration kIdleTimeout{15'000};

// A packet of an open flow on route 201, which RegistryOf does not set.
MarkedPacket OpenPacket(Mark mark) {
  return {.key = {.source = Address(77).address,
                  .destination = Route(201).address.address,
                  .source_port = 5'000,
                  .destination_port = Route(201).address.port},
          .ack = true,
          .mark = mark,
          .sequence = 10,
          .payload_size = 1};
}

// The change after revision `revision` - 1 that adds or drops route 201.
FactDelta RouteDelta(Revision revision, bool present) {
  FactDelta delta{.after = revision - 1, .as_of = revision};
  delta.routes.push_back({.address = Route(201).address, .revision = revision});
  if (present) delta.routes.back().route = Route(201);
  return delta;
}

// What a VM does with the packets of one flow.
struct Vm {
  explicit Vm(const std::vector<ServerFact>& servers)
      : registry(RegistryOf(servers)) {
    map.capacity = 10;
  }

  // Facts were last confirmed at `confirmed_at`.
  MarkDecision Handle(const MarkedPacket& packet, TimePoint confirmed_at,
                      TimePoint now) {
    ViewBuildState state;
    const MarkView view = BuildMarkView(registry, health, "a", now, state);
    const MarkDecision decision = ResetIfRouteDropped(
        DecideMarkedPacket(view, packet, FindMarkedFlow(map, kFlow), kFlow,
                           now),
        map, kFlow, confirmed_at, now);
    if (decision.verdict == MarkVerdict::kForward) {
      RecordPacket(map, kFlow, packet, view.servers[decision.server].fact.mark,
                   now);
      if (!decision.without_route) {
        RecordRoute(map, kFlow, FindMarkedFlow(map, kFlow));
      }
    }
    return decision;
  }

  Registry registry;
  HealthTable health;
  MarkedFlowMap map;
};

}  // namespace

// Regression test: a VM that had not learned of a new route reset the flows
// that other VMs had opened on it (review/6).
Test(unrouted_flow, on_a_route_not_known_yet_is_forwarded_by_its_mark) {
  ViewBuildState state;
  const MarkView view =
      BuildMarkView(RegistryOf({Server(1)}), {}, "a", At(300), state);
  const MarkDecision decision = DecideMarkedPacket(
      view, OpenPacket(Server(1).mark), nullptr, kFlow, At(300));
  cr_assert(decision.verdict == MarkVerdict::kForward);
  cr_expect(view.servers[decision.server].fact.mark == Server(1).mark);
}

// A VM that knows neither the new route nor the new server.
Test(unrouted_flow, of_an_unknown_server_is_dropped_while_in_doubt) {
  Vm vm({Server(1)});
  const MarkedPacket packet = OpenPacket(Server(2).mark);
  cr_expect(vm.Handle(packet, At(0), At(1'000)).reason ==
            ResultCode::kDropUnknownMark);
  const TimePoint confirmed_at = At(1'000) + kMaxFactsLag;
  cr_expect(vm.Handle(packet, confirmed_at, confirmed_at).reason ==
            ResultCode::kResetNoRoute);
}

Test(unrouted_flow, new_flow_without_route_is_reset_at_once) {
  Vm vm({Server(1)});
  MarkedPacket syn = OpenPacket(kNoMark);
  syn.syn = true;
  cr_expect(vm.Handle(syn, At(0), At(1'000)).reason ==
            ResultCode::kResetNoRoute);
}

Test(unrouted_flow, packet_without_route_and_mark_is_reset_at_once) {
  Vm vm({Server(1)});
  cr_expect(vm.Handle(OpenPacket(kNoMark), At(0), At(1'000)).reason ==
            ResultCode::kResetNoRoute);
}

Test(unrouted_flow, of_a_server_that_is_down_is_reset_at_once) {
  Vm vm({Server(1), Server(2)});
  vm.health.last_answer_at = At(900);
  vm.health.servers[Server(1).mark] = {.state = HealthState::kSuspect,
                                       .evidence_since = At(800)};
  cr_expect(vm.Handle(OpenPacket(Server(1).mark), At(0), At(1'000)).reason ==
            ResultCode::kResetServerGone);
}

Test(unrouted_flow, continues_until_the_facts_are_confirmed_after_its_packet) {
  Vm vm({Server(1)});
  const MarkedPacket packet = OpenPacket(Server(1).mark);
  const auto reason = [&](TimePoint confirmed_at, TimePoint now) {
    return vm.Handle(packet, confirmed_at, now).reason;
  };
  cr_expect(reason(At(1'000), At(1'000)) == ResultCode::kForwardedWithoutRoute);
  const TimePoint certain_at = At(1'000) + kMaxFactsLag;
  cr_expect(reason(certain_at - Duration(1), certain_at) ==
            ResultCode::kForwardedWithoutRoute);
  cr_expect(reason(certain_at, certain_at) == ResultCode::kResetNoRoute);
  cr_expect(
      reason(certain_at, certain_at + Duration(1)) == ResultCode::kResetNoRoute,
      "a caller that missed the first reset gets another one");
}

// While the platform is down nothing is confirmed.
Test(unrouted_flow, ends_after_the_longest_lifetime_of_a_flow) {
  Vm vm({Server(1)});
  const MarkedPacket packet = OpenPacket(Server(1).mark);
  TimePoint now = At(1'000);
  for (; now < At(1'000) + kTombstoneLifetime; now += Duration(1'000)) {
    cr_assert(vm.Handle(packet, At(0), now).reason ==
              ResultCode::kForwardedWithoutRoute);
    ExpireMarkedFlows(vm.map, kIdleTimeout, now);
  }
  cr_expect(vm.Handle(packet, At(0), now).reason == ResultCode::kResetNoRoute);
}

Test(unrouted_flow, known_here_is_reset_when_its_route_is_dropped) {
  Vm vm({Server(1)});
  MergeDelta(vm.registry, RouteDelta(11, true), At(0));
  const MarkedPacket packet = OpenPacket(Server(1).mark);
  cr_assert(vm.Handle(packet, At(900), At(1'000)).reason ==
            ResultCode::kForwardedByMark);
  MergeDelta(vm.registry, RouteDelta(12, false), At(1'100));
  for (const int64_t ms : {1'200, 1'300}) {
    cr_expect(vm.Handle(packet, At(900), At(ms)).reason ==
              ResultCode::kResetNoRoute);
  }
}

// The flow may have been opened after the route came back, which this VM has
// not learned yet.
Test(unrouted_flow, on_a_route_that_was_dropped_and_added_again_continues) {
  Vm vm({Server(1)});
  MergeDelta(vm.registry, RouteDelta(11, true), At(0));
  MergeDelta(vm.registry, RouteDelta(12, false), At(100));
  const MarkedPacket packet = OpenPacket(Server(1).mark);
  cr_expect(vm.Handle(packet, At(900), At(1'000)).reason ==
            ResultCode::kForwardedWithoutRoute);
  MergeDelta(vm.registry, RouteDelta(13, true), At(1'100));
  const TimePoint later = At(1'000) + 2 * kMaxFactsLag;
  cr_expect(vm.Handle(packet, later, later).reason ==
            ResultCode::kForwardedByMark);
  cr_expect(vm.map.unrouted.empty());
}

Test(unrouted_flow, on_a_dropped_route_that_moves_here_is_reset_once_certain) {
  Vm vm({Server(1)});
  MergeDelta(vm.registry, RouteDelta(11, true), At(0));
  MergeDelta(vm.registry, RouteDelta(12, false), At(100));
  const MarkedPacket packet = OpenPacket(Server(1).mark);
  vm.Handle(packet, At(900), At(1'000));
  const TimePoint certain_at = At(1'000) + kMaxFactsLag;
  cr_expect(vm.Handle(packet, certain_at, certain_at).reason ==
            ResultCode::kResetNoRoute);
}

Test(unrouted_flow, of_an_evacuated_server_is_forwarded_by_its_mark) {
  Vm vm({Server(1), Server(2, "b")});
  MergeDelta(vm.registry, EvacuationDelta("a", 11), At(0));
  cr_expect(vm.Handle(OpenPacket(Server(1).mark), At(0), At(1'000)).reason ==
            ResultCode::kForwardedWithoutRoute);
}

Test(unrouted_flow, is_forgotten_when_idle_and_beyond_the_capacity) {
  MarkedFlowMap map{.capacity = 1};
  cr_expect(IsRouteInDoubt(map, 1, At(0), At(100)));
  cr_expect(IsRouteInDoubt(map, 2, At(5'000), At(100)),
            "it is not recorded, and nothing is certain about it");
  cr_expect(map.unrouted.size() == 1);
  ExpireMarkedFlows(map, kIdleTimeout, At(101) + kIdleTimeout);
  cr_expect(map.unrouted.empty());
}

// The first flow took the only place, so that the second one was forwarded
// without a record of its doubt.
Test(unrouted_flow,
     forwarded_beyond_the_capacity_is_not_taken_for_a_routed_one) {
  MarkedFlowMap map{.capacity = 1};
  IsRouteInDoubt(map, 1, At(0), At(100));
  IsRouteInDoubt(map, 2, At(0), At(100));
  RecordPacket(map, 2, OpenPacket(Server(1).mark), Server(1).mark, At(100));
  RecordRoute(map, 1, nullptr);
  cr_expect(IsRouteInDoubt(map, 2, At(0), At(200)));
}
