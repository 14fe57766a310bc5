#include "drivers/fleet_codec.h"

#include "tests/support/facts.h"
#include "tests/support/properties.h"

using namespace knapweedlift;
using namespace knapweedlift::testing;

namespace {

constexpr int64_t kNow = 5'000;

FactDelta AnyDelta() {
  FactDelta delta{.after = *rc::gen::inRange<Revision>(0, 1'000'000),
                  .as_of = *rc::gen::inRange<Revision>(0, 1'000'000),
                  .whole = *rc::gen::arbitrary<bool>()};
  const auto numbers =
      *rc::gen::container<std::vector<uint8_t>>(rc::gen::inRange(0, 250));
  for (const uint8_t number : numbers) {
    ServerFact server = Server(number);
    server.draining = number % 3 == 0;
    server.cold_until = At(kNow + number * 10);
    ServerChange change{.name = server.name, .revision = number};
    if (number % 5 != 0) change.server = server;
    delta.servers.push_back(change);
    RouteChange route{.address = Route(number).address, .revision = number};
    if (number % 2 == 0) route.route = Route(number);
    delta.routes.push_back(route);
  }
  if (*rc::gen::arbitrary<bool>()) {
    delta.limits = {.revision = 4,
                    .limits = {.version = 9, .idle_timeout = Duration(77)}};
  }
  return delta;
}

FleetMessage AnyMessage() {
  const FactsVersion facts{.as_of = *rc::gen::inRange<Revision>(0, 99),
                           .last_change = *rc::gen::inRange<Revision>(0, 99)};
  const auto id = *rc::gen::inRange<VmId>(1, 0xFFFFFFFF);
  switch (*rc::gen::inRange(0, 6)) {
    case 0: {
      FleetGossip gossip{.reply_wanted = *rc::gen::arbitrary<bool>(),
                         .facts = facts};
      gossip.peers.push_back(
          {.address = {.id = id, .control = Address(3), .domain = "a"},
           .heartbeat = {.vm = id,
                         .incarnation = 1'700'000'000'000,
                         .count = 5,
                         .phase = MemberPhase::kServing}});
      gossip.loads.push_back({.domain = "b",
                              .service = "s",
                              .flows = 4,
                              .waiting = 1,
                              .slots = 8,
                              .measured_at = At(kNow - 300)});
      return gossip;
    }
    case 1:
      return FactsNotice{.root = id, .delta = AnyDelta()};
    case 2:
      return FactsRequest{.after = facts.as_of};
    case 3:
      return WatchLease{.root = id,
                        .watcher = 3,
                        .watching = *rc::gen::arbitrary<bool>(),
                        .facts = facts};
    case 4:
      return SuspicionNotice{.root = id, .marks = {0xFFFFFFF0, 7}};
    default:
      return LoadNotice{.servers = {{.mark = id, .flows = 3, .waiting = 1}}};
  }
}

}  // namespace

Test(fleet_codec, messages_come_back_as_they_were) {
  ExpectProperty("round trip", [] {
    const SentFleetMessage message{
        .deployment = 1, .sender = 0xFFFFFFFF, .message = AnyMessage()};
    const auto read =
        DecodeFleetMessage(EncodeFleetMessage(message, At(kNow)), At(kNow));
    RC_ASSERT(read.has_value());
    // A deadline that has passed needs not travel.
    RC_ASSERT(EncodeFleetMessage(*read, At(kNow)) ==
              EncodeFleetMessage(message, At(kNow)));
  });
}

Test(fleet_codec, a_deadline_travels_as_what_is_left_of_it) {
  FactsNotice notice{.delta = WholeFacts({Server(1)})};
  notice.delta.servers[0].server->cold_until = At(kNow + 700);
  notice.delta.removals_held_until = At(kNow + 900);
  const std::string bytes = EncodeFleetMessage({.message = notice}, At(kNow));
  // The receiver's clock shows another time.
  const auto read = DecodeFleetMessage(bytes, At(90'000));
  const auto& facts = std::get<FactsNotice>(read->message);
  cr_expect(facts.delta.servers[0].server->cold_until == At(90'700));
  cr_expect(facts.delta.removals_held_until == At(90'900));
}

Test(fleet_codec, survives_any_bytes) {
  ExpectProperty("noise", [](const std::string& bytes) {
    (void)DecodeFleetMessage(bytes, At(0));
  });
  ExpectProperty("altered messages", [] {
    std::string bytes =
        EncodeFleetMessage({.sender = 1, .message = AnyMessage()}, At(kNow));
    const auto at = *rc::gen::inRange<size_t>(0, bytes.size());
    bytes[at] = *rc::gen::arbitrary<char>();
    (void)DecodeFleetMessage(bytes, At(kNow));
    bytes.resize(at);
    RC_ASSERT(!DecodeFleetMessage(bytes, At(kNow)).has_value() || at > 0);
  });
}

Test(fleet_codec, gossip_of_nobody_is_refused) {
  const std::string bytes =
      EncodeFleetMessage({.sender = 1, .message = FleetGossip{}}, At(0));
  cr_expect(not DecodeFleetMessage(bytes, At(0)).has_value());
}
