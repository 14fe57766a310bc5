#include "core/mark/mark.h"

#include <set>

#include "core/placement/mark_decision.h"
#include "tests/support/facts.h"
#include "tests/support/properties.h"

using namespace knapweedlift;
using namespace knapweedlift::testing;

namespace {

MarkedPacket PacketWith(Mark mark) {
  return {.key = {.source = Address(77).address,
                  .destination = Address(200).address,
                  .source_port = 5000,
                  .destination_port = 443},
          .ack = true,
          .mark = mark};
}

MarkDecision Decide(const Registry& registry, const MarkedPacket& packet) {
  ViewBuildState state;
  const MarkView view = BuildMarkView(registry, {}, "a", At(300), state);
  return DecideMarkedPacket(view, packet, nullptr, 7, At(0));
}

}  // namespace

Test(mark, computed_mark_is_never_the_mark_of_unmarked_packets) {
  ExpectProperty("never kNoMark",
                 [](const std::string& name, int64_t started_at_ms) {
                   RC_ASSERT(ComputeMark(name, started_at_ms) != kNoMark);
                   RC_ASSERT(ComputeMark(name, started_at_ms) ==
                             ComputeMark(name, started_at_ms));
                 });
}

Test(mark, incarnations_of_a_server_have_distinct_marks) {
  std::set<Mark> marks;
  for (int64_t started_at_ms = 0; started_at_ms < 1'000; ++started_at_ms) {
    marks.insert(ComputeMark("i-7f3a91c2", started_at_ms));
  }
  cr_expect(marks.size() == 1'000);
}

Test(mark, identifies_exactly_one_server) {
  ExpectProperty("packets only reach the server of their mark", [] {
    const auto numbers = *rc::gen::container<std::set<uint8_t>>(
        rc::gen::inRange<uint8_t>(1, 100));
    std::vector<ServerFact> servers;
    for (const uint8_t number : numbers) {
      servers.push_back(Server(number));
      // Few distinct marks, so that servers share them.
      servers.back().mark = 1 + number % 8;
    }
    const Mark mark = *rc::gen::inRange<Mark>(1, 9);
    const auto holders = std::count_if(
        servers.begin(), servers.end(),
        [mark](const auto& server) { return server.mark == mark; });
    ViewBuildState state;
    const MarkView view =
        BuildMarkView(RegistryOf(servers), {}, "a", At(300), state);
    const MarkDecision decision =
        DecideMarkedPacket(view, PacketWith(mark), nullptr, 7, At(0));
    RC_ASSERT((decision.verdict == MarkVerdict::kForward) == (holders == 1));
    if (holders != 1) return;
    RC_ASSERT(view.servers[decision.server].fact.mark == mark);
  });
}

Test(mark, servers_with_colliding_marks_get_no_new_flows) {
  ServerFact duplicate = Server(2);
  duplicate.mark = Server(1).mark;
  MarkedPacket syn = PacketWith(kNoMark);
  syn.syn = true;
  const MarkDecision decision =
      Decide(RegistryOf({Server(1), duplicate, Server(3)}), syn);
  cr_assert(decision.verdict == MarkVerdict::kForward);
  ViewBuildState state;
  const MarkView view = BuildMarkView(
      RegistryOf({Server(1), duplicate, Server(3)}), {}, "a", At(300), state);
  cr_expect(view.servers[decision.server].fact.name == Server(3).name);
}

Test(mark, of_a_previous_incarnation_at_another_address_resets_the_flow) {
  Registry registry = RegistryOf({Server(1)});
  FactDelta restart = ServerRestartDelta();
  restart.servers[0].server->endpoint = Address(9);
  MergeDelta(registry, restart, At(0));
  const MarkDecision decision = Decide(registry, PacketWith(Server(1).mark));
  cr_expect(decision.verdict == MarkVerdict::kReset);
  cr_expect(decision.reason == ResultCode::kResetServerRestarted);
}

Test(mark, unknown_mark_is_dropped_and_not_reset) {
  const MarkDecision decision = Decide(RegistryOf({Server(1)}), PacketWith(99));
  cr_expect(decision.verdict == MarkVerdict::kDrop);
  cr_expect(decision.reason == ResultCode::kDropUnknownMark);
}

Test(mark, of_an_unlisted_server_is_still_forwarded) {
  Registry registry = RegistryOf({Server(1), Server(2)});
  FactDelta delta{.after = 10, .as_of = 11};
  delta.servers.push_back({.name = Server(1).name, .revision = 11});
  MergeDelta(registry, delta, At(0));
  const MarkDecision decision = Decide(registry, PacketWith(Server(1).mark));
  cr_expect(decision.verdict == MarkVerdict::kForward,
            "its entry may have expired during an outage of the store");
}

Test(mark, old_marks_do_not_reach_a_new_server_at_a_reused_address) {
  // Server 1 of one service is unlisted; server 2 of another has its address.
  Registry registry = RegistryOf({Server(1)});
  ServerFact successor = Server(2, "a", "catalogue");
  successor.endpoint = Server(1).endpoint;
  FactDelta delta{.after = 10, .as_of = 12};
  delta.servers.push_back({.name = Server(1).name, .revision = 11});
  delta.servers.push_back(
      {.name = successor.name, .revision = 12, .server = successor});
  MergeDelta(registry, delta, At(0));
  ViewBuildState state;
  const MarkView view = BuildMarkView(registry, {}, "a", At(300), state);
  const MarkDecision decision =
      DecideMarkedPacket(view, PacketWith(Server(1).mark), nullptr, 7, At(0));
  cr_assert(decision.verdict == MarkVerdict::kForward);
  cr_expect(view.servers[decision.server].fact.instance == 1,
            "the instance number before the packet is that of the old "
            "server, and the new one ignores it");
}

Test(mark, views_share_routes_until_one_changes) {
  Registry registry = RegistryOf({Server(1)});
  ViewBuildState state;
  const MarkView first = BuildMarkView(registry, {}, "a", At(300), state);
  FactDelta server{.after = 10, .as_of = 11};
  server.servers.push_back({.name = Server(1).name, .revision = 11});
  MergeDelta(registry, server, At(0));
  cr_expect(BuildMarkView(registry, {}, "a", At(300), state).routes ==
            first.routes);
  FactDelta route{.after = 11, .as_of = 12};
  route.routes.push_back({.address = Route(200).address, .revision = 12});
  MergeDelta(registry, route, At(0));
  cr_expect(BuildMarkView(registry, {}, "a", At(300), state)
                .routes->by_address.empty());
  cr_expect(first.routes->by_address.size() == 1,
            "published views are immutable");
}

Test(mark, address_belongs_to_the_most_recently_listed_server) {
  Registry registry = RegistryOf({Server(1), Server(3)});
  ServerFact successor = Server(2);
  successor.endpoint = Server(1).endpoint;
  // An entry of an unrelated writer: no route leads to its service.
  ServerFact foreign = Server(4, "a", "unheard-of");
  foreign.endpoint = Server(3).endpoint;
  FactDelta delta{.after = 10, .as_of = 12};
  delta.servers.push_back(
      {.name = successor.name, .revision = 11, .server = successor});
  delta.servers.push_back(
      {.name = foreign.name, .revision = 12, .server = foreign});
  MergeDelta(registry, delta, At(0));
  ViewBuildState state;
  const MarkView view = BuildMarkView(registry, {}, "a", At(300), state);
  const auto replaced = [&view](uint8_t number) {
    return view.servers[FindServerByMark(view, Server(number).mark)].replaced;
  };
  cr_expect(replaced(1));
  cr_expect(not replaced(2));
  cr_expect(not replaced(3));
}
