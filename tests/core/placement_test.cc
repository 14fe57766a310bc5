#include "core/placement/placement.h"

#include <map>
#include <set>

#include "core/placement/load_estimate.h"
#include "core/placement/mark_decision.h"
#include "core/placement/saturation.h"
#include "tests/support/facts.h"
#include "tests/support/properties.h"

using namespace knapweedlift;
using namespace knapweedlift::testing;

namespace {

MarkView ViewOf(const std::vector<ServerFact>& servers,
                const HealthTable& health = {}) {
  ViewBuildState state;
  return BuildMarkView(RegistryOf(servers), health, "a", At(300), state);
}

const RouteTarget& RouteOf(const MarkView& view) {
  return view.routes->by_address.at(Route(200).address);
}

ServerIndex Place(const MarkView& view, uint64_t fingerprint,
                  TimePoint now = At(0)) {
  return PlaceFlow(view, RouteOf(view), fingerprint, now);
}

std::string NameOf(const MarkView& view, ServerIndex index) {
  return index < view.servers.size() ? view.servers[index].fact.name : "";
}

ServerTarget& TargetOf(MarkView& view, uint8_t number) {
  return view.servers[FindServerByMark(view, Server(number).mark)];
}

HealthTable SuspectOf(uint8_t number, bool others_answer) {
  HealthTable health;
  health.servers[Server(number).mark] = {.state = HealthState::kSuspect,
                                         .evidence_since = At(100)};
  if (others_answer) health.last_answer_at = At(200);
  return health;
}

// Places `flows` flows one by one and returns their number by server.
std::map<std::string, int> PlaceMany(const MarkView& view, int flows) {
  std::map<std::string, int> counts;
  for (int i = 0; i < flows; ++i) {
    const ServerIndex index = Place(view, MixHash(i, 17));
    ++counts[NameOf(view, index)];
    AddPlacedFlow(*view.servers[index].load);
  }
  return counts;
}

MarkedPacket Syn(uint32_t retransmit_count) {
  return {.key = {.source = Address(77).address,
                  .destination = Route(200).address.address,
                  .source_port = 5'000,
                  .destination_port = Route(200).address.port},
          .syn = true,
          .sequence = 9,
          .retransmit_count = retransmit_count};
}

}  // namespace

Test(placement, vms_with_equal_facts_select_the_same_server) {
  ExpectProperty("same choice", [](uint64_t fingerprint) {
    const std::vector<ServerFact> servers = {Server(1), Server(2), Server(3),
                                             Server(4, "b")};
    const MarkView one = ViewOf(servers);
    const MarkView other = ViewOf({servers.rbegin(), servers.rend()});
    RC_ASSERT(NameOf(one, Place(one, fingerprint)) ==
              NameOf(other, Place(other, fingerprint)));
  });
}

Test(placement, idle_local_servers_are_preferred) {
  const MarkView view = ViewOf({Server(1), Server(2, "b"), Server(3, "c")});
  for (uint64_t flow = 0; flow < 100; ++flow) {
    cr_assert(NameOf(view, Place(view, flow)) == Server(1).name);
  }
}

Test(placement, flows_are_spread_evenly) {
  const MarkView view =
      ViewOf({Server(1), Server(2), Server(3), Server(4), Server(5)});
  for (const auto& [name, count] : PlaceMany(view, 500)) {
    cr_expect(count == 100, "%s has %d", name.c_str(), count);
  }
}

Test(placement, flows_are_distributed_in_proportion_to_slots) {
  ServerFact large = Server(2);
  large.slots = 6;
  const auto counts = PlaceMany(ViewOf({Server(1), large}), 400);
  cr_expect(counts.at(large.name) >= 295 && counts.at(large.name) <= 305);
}

Test(placement, overflows_to_remote_servers_beyond_the_remote_penalty) {
  MarkView view = ViewOf({Server(1), Server(2, "b")});
  TargetOf(view, 1).load->expected_requests = 3;
  cr_expect(NameOf(view, Place(view, 1)) == Server(1).name);
  TargetOf(view, 1).load->expected_requests = 5;
  cr_expect(NameOf(view, Place(view, 1)) == Server(2).name);
}

// A full server refuses the request, also if the only one with room is remote
// and costs more.
Test(placement, full_servers_get_flows_only_if_all_are_full) {
  MarkView view = ViewOf({Server(1), Server(2, "b")});
  TargetOf(view, 1).load->waiting = 10;
  TargetOf(view, 2).load->expected_requests = 9;
  TargetOf(view, 2).load->waiting = 9;
  cr_expect(NameOf(view, Place(view, 1)) == Server(2).name);
  TargetOf(view, 2).load->waiting = 10;
  cr_expect(NameOf(view, Place(view, 1)) == Server(1).name);
}

Test(placement, full_servers_precede_suspects) {
  const MarkView view = ViewOf({Server(1), Server(2)}, SuspectOf(1, false));
  view.servers[FindServerByMark(view, Server(2).mark)].load->waiting = 10;
  cr_expect(NameOf(view, Place(view, 1)) == Server(2).name);
}

// Expected requests count a caller of a flow with one request nearly twice.
Test(placement, fullness_counts_each_waiting_caller_once) {
  const MarkView view = ViewOf({Server(1)});
  LoadEstimate estimate{.activity = {{"atelier", 0.9}}};
  UpdateLoadEstimate(estimate, view,
                     {{.mark = Server(1).mark, .flows = 6, .waiting = 6}}, {},
                     0, At(0));
  cr_expect(view.servers[0].load->expected_requests >= 10);
  cr_expect(view.servers[0].load->waiting == 6);
}

// Reports of a saturated service are older than its queues, so that VMs with
// equal reports would fill the same servers.
Test(placement, saturated_servers_are_ranked_by_own_callers) {
  const MarkView view = ViewOf({Server(1), Server(2)});
  LoadReports reports;
  RecordLoadReport(reports, 1,
                   {{.mark = Server(1).mark, .flows = 9, .waiting = 9}}, At(0));
  LoadEstimate estimate;
  UpdateLoadEstimate(estimate, view,
                     {{.mark = Server(2).mark, .flows = 1, .waiting = 1}},
                     reports, 1, At(0));
  cr_expect(NameOf(view, Place(view, 1)) == Server(1).name);
}

Test(placement, never_selects_draining_servers_or_other_services) {
  ServerFact draining = Server(1);
  draining.draining = true;
  const MarkView view =
      ViewOf({draining, Server(2, "a", "catalogue"), Server(3, "b")});
  for (uint64_t flow = 0; flow < 100; ++flow) {
    cr_assert(NameOf(view, Place(view, flow)) == Server(3).name);
  }
  const MarkView none = ViewOf({draining, Server(2, "a", "catalogue")});
  cr_expect(Place(none, 1) == kNoServerIndex);
}

// Returns a view after the evacuation of a domain and, if `ended`, after the
// end of the evacuation.
MarkView EvacuatedView(const std::vector<ServerFact>& servers,
                       const std::string& domain, bool ended = false) {
  Registry registry = RegistryOf(servers);
  MergeDelta(registry, EvacuationDelta(domain, 11), At(0));
  if (ended) MergeDelta(registry, EvacuationDelta(domain, 12, false), At(0));
  ViewBuildState state;
  return BuildMarkView(registry, {}, "a", At(300), state);
}

Test(placement, evacuated_servers_get_no_new_flows) {
  const std::vector<ServerFact> servers = {Server(1), Server(2),
                                           Server(3, "b")};
  const MarkView view = EvacuatedView(servers, "a");
  cr_expect(view.evacuated_domains == std::vector<std::string>({"a"}));
  for (const ServerTarget& server : view.servers) {
    cr_expect(server.evacuated == (server.fact.domain == "a"));
    cr_expect(server.eligible == (server.fact.domain == "b"));
  }
  for (uint64_t flow = 0; flow < 100; ++flow) {
    cr_assert(NameOf(view, Place(view, flow)) == Server(3).name);
  }
  const MarkView later = EvacuatedView(servers, "a", true);
  cr_expect(later.evacuated_domains.empty());
  cr_expect(NameOf(later, Place(later, 1)) != Server(3).name);
}

// Guards against flows of a dead server in an evacuated domain that are not
// ended because its neighbours no longer serve as a reference.
Test(placement, an_evacuation_does_not_change_the_judgment_of_health) {
  ServerFact draining = Server(2);
  draining.draining = true;
  MarkView view = EvacuatedView({Server(1), draining, Server(3)}, "a");
  cr_expect(IsInUse(TargetOf(view, 1)));
  cr_expect(not IsInUse(TargetOf(view, 2)));
  const ServerIndex judged = FindServerByMark(view, Server(1).mark);
  cr_expect(not IsServiceSaturated(view, judged, {}, 1));
}

Test(placement, evacuation_of_an_unknown_domain_changes_nothing) {
  const MarkView view = EvacuatedView({Server(1)}, "elsewhere");
  cr_expect(NameOf(view, Place(view, 1)) == Server(1).name);
}

Test(placement, suspects_get_flows_only_if_all_servers_are_suspect) {
  const MarkView view =
      ViewOf({Server(1), Server(2, "b")}, SuspectOf(1, false));
  cr_expect(NameOf(view, Place(view, 1)) == Server(2).name);
  const MarkView alone = ViewOf({Server(1)}, SuspectOf(1, false));
  cr_expect(NameOf(alone, Place(alone, 1)) == Server(1).name);
}

Test(placement, slow_start_limits_the_load_of_a_cold_server) {
  ServerFact cold = Server(3);
  cold.cold_until = At(2'000);
  const MarkView view = ViewOf({Server(1), Server(2), cold});
  LoadEstimate estimate{.activity = {{"atelier", 0.1}}};
  const std::vector<ServerLoad> own = {
      {.mark = Server(1).mark, .flows = 40, .waiting = 2},
      {.mark = Server(2).mark, .flows = 40, .waiting = 2}};
  UpdateLoadEstimate(estimate, view, own, {}, 0, At(0));
  const auto load = [&] {
    return view.servers[FindServerByMark(view, cold.mark)]
        .load->expected_requests.load();
  };
  const double at_start = load();
  UpdateLoadEstimate(estimate, view, own, {}, 0, At(1'000));
  const double half_way = load();
  UpdateLoadEstimate(estimate, view, own, {}, 0, At(2'000));
  cr_expect(at_start > half_way && half_way > load());
  cr_expect(load() == 0);
}

Test(placement, services_of_a_route_get_flows_by_weight) {
  FactDelta delta = SnapshotOf({Server(1), Server(2, "a", "catalogue")});
  delta.routes[0].route->shares = {{.service = "atelier", .weight = 90},
                                   {.service = "catalogue", .weight = 10}};
  Registry registry;
  MergeDelta(registry, delta, At(0));
  ViewBuildState state;
  const MarkView view = BuildMarkView(registry, {}, "a", At(300), state);
  int second = 0;
  for (uint64_t flow = 0; flow < 10'000; ++flow) {
    second += NameOf(view, Place(view, MixHash(flow, 3))) == Server(2).name;
  }
  cr_expect(second > 900 && second < 1'100, "%d of 10000", second);
}

Test(placement, partial_load_reports_are_extrapolated_to_all_peers) {
  LoadReports reports;
  RecordLoadReport(reports, 1, {{.mark = 5, .flows = 10, .waiting = 2}}, At(0));
  RecordLoadReport(reports, 2, {{.mark = 5, .flows = 20, .waiting = 2}}, At(0));
  cr_expect(SumLoadReports(reports, 2).at(5).flows == 30);
  cr_expect(SumLoadReports(reports, 8).at(5).flows == 120);
  ExpireLoadReports(reports, At(0) + kLoadReportLifetime + Duration(1));
  cr_expect(reports.by_vm.empty());
}

Test(placement, older_domain_load_is_ignored) {
  LoadReports reports;
  RecordDomainLoad(
      reports,
      {.domain = "b", .service = "s", .flows = 5, .measured_at = At(10)});
  RecordDomainLoad(
      reports,
      {.domain = "b", .service = "s", .flows = 9, .measured_at = At(5)});
  cr_expect(reports.domains.at({"b", "s"}).flows == 5);
}

Test(mark_decision, retransmitted_syn_follows_the_original) {
  const MarkView view = ViewOf({Server(1), Server(2), Server(3)});
  for (uint8_t number = 1; number <= 3; ++number) {
    const MarkedFlow flow{.mark = Server(number).mark, .syn_sequence = 9};
    const MarkDecision decision =
        DecideMarkedPacket(view, Syn(1), &flow, 7, At(0));
    cr_expect(decision.reason == ResultCode::kForwardedKnownOpening);
    cr_expect(NameOf(view, decision.server) == Server(number).name);
  }
}

// The first copy was admitted: a reset would end a flow that a server may have
// accepted.
Test(mark_decision, admission_refuses_only_first_copies_of_a_syn) {
  const MarkView view = ViewOf({Server(1), Server(2)}, SuspectOf(1, true));
  for (auto& share : view.admission[0]->shares) share = 0;
  const MarkDecision refused =
      DecideMarkedPacket(view, Syn(0), nullptr, 7, At(0));
  cr_expect(refused.verdict == MarkVerdict::kReset);
  cr_expect(refused.reason == ResultCode::kResetNoRoom);
  cr_expect(refused.admission_class == kAdmissionClasses - 1);
  const MarkedFlow flow{.mark = Server(1).mark, .syn_sequence = 9};
  cr_expect(DecideMarkedPacket(view, Syn(1), &flow, 7, At(0)).verdict ==
            MarkVerdict::kForward);
  cr_expect(DecideMarkedPacket(view, Syn(1), nullptr, 7, At(0)).verdict ==
                MarkVerdict::kForward,
            "another VM admitted the first copy");
}

Test(mark_decision, retransmitted_syn_avoids_a_suspect) {
  const MarkView view = ViewOf({Server(1), Server(2)}, SuspectOf(1, true));
  const MarkedFlow flow{.mark = Server(1).mark, .syn_sequence = 9};
  const MarkDecision decision =
      DecideMarkedPacket(view, Syn(1), &flow, 7, At(0));
  cr_expect(NameOf(view, decision.server) == Server(2).name);
}

// Guards against a second server that answers a SYN because another VM suspects
// the first one, or because this VM's own link may be at fault (KNOWN-RED 9).
Test(mark_decision, retransmitted_syn_stays_with_a_server_in_doubt) {
  const MarkView view = ViewOf({Server(1), Server(2)}, SuspectOf(1, false));
  cr_assert(view.servers[0].suspect and not view.servers[0].confirmed_down);
  const MarkedFlow flow{.mark = Server(1).mark, .syn_sequence = 9};
  const MarkDecision decision =
      DecideMarkedPacket(view, Syn(1), &flow, 7, At(0));
  cr_expect(decision.reason == ResultCode::kForwardedKnownOpening);
  cr_expect(NameOf(view, decision.server) == Server(1).name);
}

// A copy of a SYN must not go to the former service of a route that has changed
// since the first one, which a full server may have dropped.
Test(mark_decision, retransmitted_syn_leaves_the_former_service_of_its_route) {
  const MarkView view = ViewOf({Server(1, "a", "catalogue"), Server(2)});
  const MarkedFlow flow{.mark = Server(1).mark, .syn_sequence = 9};
  const MarkDecision decision =
      DecideMarkedPacket(view, Syn(2), &flow, 7, At(0));
  cr_expect(decision.reason == ResultCode::kForwardedPlaced);
  cr_expect(NameOf(view, decision.server) == Server(2).name);
}

// With weights, every service of the route is allowed, whichever one the copy
// itself would be placed on.
Test(mark_decision, retransmitted_syn_stays_with_any_service_of_its_route) {
  Registry registry =
      RegistryOf({Server(1, "a", "catalogue"), Server(2), Server(3)});
  registry.routes.begin()->second.fact.shares = {
      {.service = "atelier", .weight = 9},
      {.service = "catalogue", .weight = 1}};
  ViewBuildState state;
  const MarkView view = BuildMarkView(registry, {}, "a", At(300), state);
  for (uint64_t fingerprint = 0; fingerprint < 20; ++fingerprint) {
    const MarkedFlow flow{.mark = Server(1).mark, .syn_sequence = 9};
    const MarkDecision decision =
        DecideMarkedPacket(view, Syn(1), &flow, fingerprint, At(0));
    cr_expect(NameOf(view, decision.server) == Server(1).name);
  }
}

Test(mark_decision, new_flow_is_reset_if_all_servers_are_confirmed_down) {
  const auto decide = [](bool others_answer) {
    const MarkView view = ViewOf({Server(1)}, SuspectOf(1, others_answer));
    return DecideMarkedPacket(view, Syn(0), nullptr, 7, At(300)).reason;
  };
  cr_expect(decide(true) == ResultCode::kResetNoServer);
  cr_expect(decide(false) == ResultCode::kForwardedPlaced,
            "the fault may be with this VM");
}

Test(mark_decision, flows_of_a_suspect_are_reset_once_another_server_answers) {
  MarkedPacket packet = Syn(0);
  packet.syn = false;
  packet.mark = Server(1).mark;
  const auto decide = [&](bool others_answer) {
    const MarkView view =
        ViewOf({Server(1), Server(2)}, SuspectOf(1, others_answer));
    return DecideMarkedPacket(view, packet, nullptr, 7, At(300)).verdict;
  };
  cr_expect(decide(false) == MarkVerdict::kForward);
  cr_expect(decide(true) == MarkVerdict::kReset);
}

Test(mark_decision, packet_without_route_is_reset) {
  const MarkView view = ViewOf({Server(1)});
  MarkedPacket packet = Syn(0);
  packet.key.destination_port = 444;
  cr_expect(DecideMarkedPacket(view, packet, nullptr, 7, At(0)).reason ==
            ResultCode::kResetNoRoute);
}

Test(mark_decision, new_flow_without_servers_is_reset) {
  const MarkView view = ViewOf({});
  const MarkDecision decision =
      DecideMarkedPacket(view, Syn(0), nullptr, 7, At(0));
  cr_expect(decision.verdict == MarkVerdict::kReset);
  cr_expect(decision.reason == ResultCode::kResetNoServer);
}

Test(mark_decision, new_flow_is_reset_if_all_servers_are_evacuated) {
  const MarkView view = EvacuatedView({Server(1), Server(2)}, "a");
  const MarkDecision decision =
      DecideMarkedPacket(view, Syn(0), nullptr, 7, At(0));
  cr_expect(decision.verdict == MarkVerdict::kReset);
  cr_expect(decision.reason == ResultCode::kResetNoServer);
}

Test(mark_decision, flows_of_an_evacuated_server_continue) {
  const MarkView view = EvacuatedView({Server(1), Server(2, "b")}, "a");
  MarkedPacket packet = Syn(0);
  packet.syn = false;
  packet.mark = Server(1).mark;
  const MarkDecision decision =
      DecideMarkedPacket(view, packet, nullptr, 7, At(0));
  cr_expect(decision.reason == ResultCode::kForwardedByMark);
  cr_expect(NameOf(view, decision.server) == Server(1).name);
}

// Guards against a second server that answers a SYN whose first copy an
// evacuated server has answered, which would break the flow, and against
// openings on that server after the caller has given up.
Test(mark_decision, retransmitted_syn_leaves_an_evacuated_server_in_time) {
  const MarkView view = EvacuatedView({Server(1), Server(2, "b")}, "a");
  MarkedFlow flow{.mark = Server(1).mark,
                  .state = MarkedFlowState::kOpening,
                  .syn_sequence = 9,
                  .placement = {.placed_at = At(1'000)}};
  const auto server_at = [&](int64_t ms) {
    return NameOf(view,
                  DecideMarkedPacket(view, Syn(1), &flow, 7, At(ms)).server);
  };
  cr_expect(server_at(1'200) == Server(1).name);
  cr_expect(server_at(1'600) == Server(1).name);
  cr_expect(server_at(2'500) == Server(2).name);
  flow.state = MarkedFlowState::kOpen;
  cr_expect(server_at(2'500) == Server(1).name, "the flow is open there");
}

// Guards against a burst over many servers that is reported only 1.5 s later.
Test(placement, burst_over_many_servers_is_a_significant_change) {
  std::vector<ServerLoad> before;
  std::vector<ServerLoad> after;
  for (Mark mark = 1; mark <= 6; ++mark) {
    before.push_back({.mark = mark, .flows = 1});
    after.push_back({.mark = mark, .flows = 1, .waiting = 1});
  }
  cr_expect(LoadsDifferSignificantly(before, after));
  after.back().waiting = 0;
  cr_expect(not LoadsDifferSignificantly(before, after));
}
