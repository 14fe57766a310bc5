#include "core/placement/mark_decision.h"
#include "tests/support/facts.h"
#include "tests/support/properties.h"

using namespace knapweedlift;
using namespace knapweedlift::testing;

namespace {

const Mark kOldMark = Server(1).mark;

MarkedPacket PacketWith(Mark mark) {
  return {.key = {.source = Address(77).address,
                  .destination = Route(200).address.address,
                  .source_port = 5'000,
                  .destination_port = Route(200).address.port},
          .ack = true,
          .mark = mark};
}

MarkView ViewOf(const Registry& registry, const HealthTable& health = {}) {
  ViewBuildState state;
  return BuildMarkView(registry, health, "a", At(300), state);
}

MarkDecision Decide(const MarkView& view, const MarkedPacket& packet,
                    const MarkedFlow* flow = nullptr) {
  return DecideMarkedPacket(view, packet, flow, 7, At(300));
}

// Server 1, started at time `start` at the address with this last byte.
ServerFact Incarnation(int64_t start, uint8_t address = 1) {
  ServerFact server = Server(1);
  server.mark = ComputeMark(server.name, start);
  server.endpoint = Address(address);
  return server;
}

void Merge(Registry& registry, const ServerFact& server) {
  const Revision revision = registry.as_of + 1;
  FactDelta delta{.after = revision - 1, .as_of = revision};
  delta.servers.push_back(
      {.name = server.name, .revision = revision, .server = server});
  cr_assert(MergeDelta(registry, delta, At(0)) == MergeResult::kMerged);
}

// Expects that the registry's VM sends flows with the old mark to server 1 as
// it is now, under its new mark.
void ExpectForwarded(const Registry& registry, const ServerFact& present) {
  const MarkView view = ViewOf(registry);
  const MarkDecision decision = Decide(view, PacketWith(kOldMark));
  cr_assert(decision.reason == ResultCode::kForwardedToRestarted);
  cr_expect(view.servers[decision.server].fact == present);
}

}  // namespace

// Regression test: a restarted server accepts SYNs that were placed by the
// entry of its previous incarnation. Once its new entry arrived, the VMs reset
// these flows, which it held (review/8).
Test(restarted_server, keeps_flows_that_it_accepted_by_its_previous_mark) {
  Registry registry = RegistryOf({Server(1), Server(2)});
  MergeDelta(registry, ServerRestartDelta(), At(0));
  const MarkView view = ViewOf(registry);
  const MarkDecision decision = Decide(view, PacketWith(kOldMark));
  cr_assert(decision.verdict == MarkVerdict::kForward);
  cr_expect(view.servers[decision.server].fact == Incarnation(2));
}

Test(restarted_server, is_known_however_its_new_entry_arrives) {
  Registry by_snapshot = RegistryOf({Server(1)});
  MergeDelta(by_snapshot, SnapshotOf({Incarnation(2)}, 20), At(0));
  ExpectForwarded(by_snapshot, Incarnation(2));

  Registry by_repair = RegistryOf({Server(1)});
  ReplaceFacts(by_repair, SnapshotOf({Incarnation(2)}, 20), At(0));
  ExpectForwarded(by_repair, Incarnation(2));

  Registry after_removal = RegistryOf({Server(1)});
  FactDelta removal{.after = 10, .as_of = 11};
  removal.servers.push_back({.name = Server(1).name, .revision = 11});
  MergeDelta(after_removal, removal, At(0));
  Merge(after_removal, Incarnation(2));
  ExpectForwarded(after_removal, Incarnation(2));
}

// A VM that was cut off may miss incarnations.
Test(restarted_server, is_known_after_several_restarts) {
  Registry registry = RegistryOf({Server(1)});
  Merge(registry, Incarnation(2));
  Merge(registry, Incarnation(3));
  ExpectForwarded(registry, Incarnation(3));
  ReplaceFacts(registry, SnapshotOf({Incarnation(4)}, 20), At(0));
  ExpectForwarded(registry, Incarnation(4));
}

Test(restarted_server, keeps_its_flows_when_its_entry_expires) {
  Registry registry = RegistryOf({Server(1)});
  Merge(registry, Incarnation(2));
  FactDelta removal{.after = registry.as_of, .as_of = registry.as_of + 1};
  removal.servers.push_back(
      {.name = Server(1).name, .revision = removal.as_of});
  MergeDelta(registry, removal, At(0));
  ExpectForwarded(registry, Incarnation(2));
}

// The flow's SYN went to the former address.
Test(restarted_server, at_another_address_gets_no_flow_of_its_former_one) {
  Registry registry = RegistryOf({Server(1)});
  Merge(registry, Incarnation(2, 9));
  cr_expect(Decide(ViewOf(registry), PacketWith(kOldMark)).reason ==
            ResultCode::kResetServerRestarted);
  // The incarnation in between was at another address.
  Merge(registry, Incarnation(3));
  cr_expect(Decide(ViewOf(registry), PacketWith(Incarnation(2).mark)).reason ==
            ResultCode::kResetServerRestarted);
  ExpectForwarded(registry, Incarnation(3));
}

Test(restarted_server, of_another_service_gets_no_flow_of_its_former_one) {
  Registry registry = RegistryOf({Server(1)});
  ServerFact server = Incarnation(2);
  server.service = "catalogue";
  Merge(registry, server);
  cr_expect(Decide(ViewOf(registry), PacketWith(kOldMark)).reason ==
            ResultCode::kResetServerRestarted);
}

// The number in front of a packet is that of the intended server.
Test(restarted_server, leaves_no_flow_to_another_server_at_its_address) {
  Registry registry = RegistryOf({Server(1)});
  Merge(registry, Incarnation(2));
  ServerFact other = Server(2, "a", "catalogue");
  other.endpoint = Server(1).endpoint;
  Merge(registry, other);
  const MarkView view = ViewOf(registry);
  const MarkDecision decision = Decide(view, PacketWith(kOldMark));
  cr_assert(decision.verdict == MarkVerdict::kForward);
  cr_expect(view.servers[decision.server].fact.instance == Server(1).instance);
}

Test(restarted_server, that_is_down_ends_flows_with_either_mark) {
  Registry registry = RegistryOf({Server(1), Server(2)});
  Merge(registry, Incarnation(2));
  HealthTable health{.last_answer_at = At(200)};
  health.servers[Incarnation(2).mark] = {.state = HealthState::kSuspect,
                                         .evidence_since = At(100)};
  for (const Mark mark : {kOldMark, Incarnation(2).mark}) {
    cr_expect(Decide(ViewOf(registry, health), PacketWith(mark)).reason ==
              ResultCode::kResetServerGone);
  }
}

// What was found of the previous incarnation says nothing about the new one.
Test(restarted_server, is_not_judged_by_its_previous_incarnation) {
  Registry registry = RegistryOf({Server(1), Server(2)});
  Merge(registry, Incarnation(2));
  HealthTable health{.last_answer_at = At(200)};
  health.servers[kOldMark] = {.state = HealthState::kSuspect,
                              .evidence_since = At(100)};
  cr_expect(Decide(ViewOf(registry, health), PacketWith(kOldMark)).reason ==
            ResultCode::kForwardedToRestarted);
}

// It may have answered the first copy.
Test(restarted_server, gets_the_copies_of_a_syn_that_it_may_have_accepted) {
  Registry registry = RegistryOf({Server(1), Server(2), Server(3)});
  Merge(registry, Incarnation(2));
  const MarkView view = ViewOf(registry);
  MarkedPacket copy = PacketWith(kNoMark);
  copy.syn = true;
  copy.ack = false;
  copy.sequence = 9;
  copy.retransmit_count = 1;
  const MarkedFlow flow{
      .mark = kOldMark, .state = MarkedFlowState::kOpening, .syn_sequence = 9};
  const MarkDecision decision = Decide(view, copy, &flow);
  cr_assert(decision.reason == ResultCode::kForwardedKnownOpening);
  cr_expect(view.servers[decision.server].fact == Incarnation(2));
}

Test(restarted_server, and_another_one_with_the_same_old_mark_share_no_flow) {
  ServerFact first = Server(1);
  ServerFact second = Server(2);
  first.mark = 5;
  second.mark = 5;
  Registry registry = RegistryOf({first, second});
  first.mark = 6;
  second.mark = 7;
  Merge(registry, first);
  Merge(registry, second);
  cr_expect(Decide(ViewOf(registry), PacketWith(5)).reason ==
            ResultCode::kDropUnknownMark);
  // A third server has the old mark now.
  ServerFact third = Server(3);
  third.mark = 5;
  Merge(registry, third);
  cr_expect(Decide(ViewOf(registry), PacketWith(5)).reason ==
            ResultCode::kDropUnknownMark);
}

// The mark was ambiguous, so that the server got no new flows.
Test(restarted_server, whose_earlier_entry_is_in_force_again_gets_flows) {
  Registry registry = RegistryOf({Server(1)});
  Merge(registry, Incarnation(2));
  Merge(registry, Incarnation(1));
  const MarkView view = ViewOf(registry);
  cr_expect(Decide(view, PacketWith(kOldMark)).reason ==
            ResultCode::kForwardedByMark);
  cr_expect(view.servers[0].eligible);
}

Test(restarted_server, gets_no_flow_by_a_mark_older_than_any_flow) {
  Registry registry = RegistryOf({Server(1)});
  Merge(registry, Incarnation(2));
  PruneTombstones(registry, At(0) + kTombstoneLifetime + Duration(1));
  cr_expect(Decide(ViewOf(registry), PacketWith(kOldMark)).reason ==
            ResultCode::kDropUnknownMark);
}
