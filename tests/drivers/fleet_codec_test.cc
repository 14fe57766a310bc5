#include "drivers/fleet_codec.h"

#include <cmath>
#include <limits>

#include "tests/support/facts.h"
#include "tests/support/properties.h"

using namespace knapweedlift;
using namespace knapweedlift::testing;

namespace {

constexpr int64_t kNow = 5'000;

RouteQuality ArbitraryQuality(uint8_t number) {
  return {.priority = number,
          .repeatable = number % 8 == 0,
          .target_latency = Duration(number * 100),
          .timeout = Duration(number * 1'000)};
}

FactDelta ArbitraryDelta() {
  FactDelta delta{.after = *rc::gen::inRange<Revision>(0, 1'000'000),
                  .as_of = *rc::gen::inRange<Revision>(0, 1'000'000),
                  .is_snapshot = *rc::gen::arbitrary<bool>()};
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
    if (number % 4 == 0) route.route->quality = ArbitraryQuality(number);
    delta.routes.push_back(route);
    if (number % 7 != 0) continue;
    delta.evacuations.push_back(
        {.domain = server.name, .revision = number, .active = number % 2 == 0});
  }
  if (*rc::gen::arbitrary<bool>()) {
    delta.limits = {.revision = 4,
                    .limits = {.version = 9, .idle_timeout = Duration(77)}};
    if (*rc::gen::arbitrary<bool>()) delta.config_base = 3;
    if (*rc::gen::arbitrary<bool>()) {
      delta.limits->limits.services = {
          {.service = "atelier", .cold_time = Duration(900), .cold_rate = 2.5},
          {.service = "catalogue"}};
    }
  }
  return delta;
}

Opening ArbitraryOpening() {
  return {.id = {.flow = *rc::gen::arbitrary<uint64_t>(),
                 .syn_sequence = *rc::gen::arbitrary<uint32_t>()},
          .mark = *rc::gen::arbitrary<Mark>(),
          .placed_at = At(kNow - *rc::gen::inRange<int64_t>(0, 2'000))};
}

FleetMessage ArbitraryMessage() {
  const FactsVersion facts{.as_of = *rc::gen::inRange<Revision>(0, 99),
                           .last_change = *rc::gen::inRange<Revision>(0, 99),
                           .digest = *rc::gen::arbitrary<FactsDigest>()};
  const auto id = *rc::gen::inRange<VmId>(1, 0xFFFFFFFF);
  switch (*rc::gen::inRange(0, 11)) {
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
      return FactsNotice{.root = id,
                         .delta = ArbitraryDelta(),
                         .confirmed_at = At(kNow - 250)};
    case 2:
      return FactsRequest{
          .after = facts.as_of,
          .requester =
              VmAddress{.id = id, .control = Address(3), .domain = "a"},
          .confirmed_only = *rc::gen::arbitrary<bool>(),
          .may_wait = *rc::gen::arbitrary<bool>()};
    case 3:
      return WatchLease{.root = id,
                        .watcher = 3,
                        .watching = *rc::gen::arbitrary<bool>(),
                        .facts = facts};
    case 4:
      return SuspicionNotice{.root = id, .marks = {0xFFFFFFF0, 7}};
    case 6:
      return AnswerNotice{
          .root = id, .marks = {0xFFFFFFF0, 7}, .answered_at = At(kNow - 30)};
    case 8:
      return OpeningNotice{.openings = {ArbitraryOpening()}};
    case 9:
      return OpeningQuery{
          .id = ArbitraryOpening().id,
          .requester = {.id = id, .control = Address(3), .domain = "a"},
          .forwarded = *rc::gen::arbitrary<bool>()};
    case 10: {
      OpeningReply reply{
          .id = ArbitraryOpening().id,
          .sender = {.id = id, .control = Address(3), .domain = "a"},
          .forwarded = *rc::gen::arbitrary<bool>()};
      if (*rc::gen::arbitrary<bool>()) reply.opening = ArbitraryOpening();
      return reply;
    }
    case 5: {
      FactsReferral referral{
          .sender = {.id = id, .control = Address(4), .domain = "b"},
          .may_wait = *rc::gen::arbitrary<bool>()};
      if (*rc::gen::arbitrary<bool>()) referral.peer = Address(5);
      return referral;
    }
    default:
      return LoadNotice{
          .servers = {{.mark = id, .flows = 3, .waiting = 1},
                      {.mark = id + 1,
                       .wait_ms = *rc::gen::inRange<uint32_t>(0, 3'000),
                       .wait_measured_at =
                           At(kNow - *rc::gen::inRange<int64_t>(0, 100'000))}}};
  }
}

}  // namespace

Test(fleet_codec, round_trip_preserves_messages) {
  ExpectProperty("round trip", [] {
    const SentFleetMessage message{
        .deployment = 1, .sender = 0xFFFFFFFF, .message = ArbitraryMessage()};
    const auto read =
        DecodeFleetMessage(EncodeFleetMessage(message, At(kNow)), At(kNow));
    RC_ASSERT(read.has_value());
    // Compares encoded messages, because deadlines in the past are not encoded.
    RC_ASSERT(EncodeFleetMessage(*read, At(kNow)) ==
              EncodeFleetMessage(message, At(kNow)));
  });
}

Test(fleet_codec, encodes_deadlines_as_remaining_time) {
  FactsNotice notice{.delta = SnapshotOf({Server(1)})};
  notice.delta.servers[0].server->cold_until = At(kNow + 700);
  notice.delta.removals_held_until = At(kNow + 900);
  const std::string bytes = EncodeFleetMessage({.message = notice}, At(kNow));
  // The receiver's clock differs from the sender's.
  const auto read = DecodeFleetMessage(bytes, At(90'000));
  const auto& facts = std::get<FactsNotice>(read->message);
  cr_expect(facts.delta.servers[0].server->cold_until == At(90'700));
  cr_expect(facts.delta.removals_held_until == At(90'900));
}

Test(fleet_codec, preserves_evacuations_quality_and_limits_of_services) {
  FactsNotice notice{.delta = SnapshotOf({})};
  notice.delta.routes[0].route->quality = ArbitraryQuality(8);
  notice.delta.limits->limits.services = {
      {.service = "atelier", .cold_time = Duration(900), .cold_rate = 2.5},
      {.service = "catalogue"}};
  notice.delta.evacuations = {
      {.domain = "coimbra-a", .revision = 7, .active = true},
      {.domain = "coimbra-b", .revision = 9}};
  const auto read = DecodeFleetMessage(
      EncodeFleetMessage({.message = notice}, At(kNow)), At(kNow));
  cr_assert(read.has_value());
  cr_expect(std::get<FactsNotice>(read->message) == notice);
}

// The control traffic of deployments without these facts must not grow.
Test(fleet_codec, default_quality_and_limits_take_no_bytes) {
  FactsNotice notice{.delta = SnapshotOf({Server(1)})};
  const auto size = [&notice] {
    return EncodeFleetMessage({.message = notice}, At(kNow)).size();
  };
  const size_t plain = size();
  notice.delta.routes[0].route->quality.priority = 1;
  cr_expect(size() == plain + 2);
  notice.delta.routes[0].route->quality.repeatable = true;
  cr_expect(size() == plain + 3);
}

Test(fleet_codec, an_evacuation_takes_few_bytes) {
  FactsNotice notice{.delta = SnapshotOf({Server(1)})};
  const auto size = [&notice] {
    return EncodeFleetMessage({.message = notice}, At(kNow)).size();
  };
  const size_t plain = size();
  const std::string domain = "coimbra-a";
  notice.delta.evacuations = {
      {.domain = domain, .revision = 1'000'000'000'000, .active = true}};
  cr_expect(size() <= plain + domain.size() + 20);
}

Test(fleet_codec, rejects_a_cold_rate_that_is_no_number) {
  for (const double rate : {std::numeric_limits<double>::infinity(), 1e300}) {
    FactsNotice notice{.delta = SnapshotOf({})};
    notice.delta.limits->limits.services = {
        {.service = "atelier", .cold_rate = rate}};
    const auto read = DecodeFleetMessage(
        EncodeFleetMessage({.message = notice}, At(kNow)), At(kNow));
    cr_expect(read.has_value() == std::isfinite(rate));
  }
}

Test(fleet_codec, does_not_crash_on_malformed_bytes) {
  ExpectProperty("arbitrary bytes", [](const std::string& bytes) {
    (void)DecodeFleetMessage(bytes, At(0));
  });
  ExpectProperty("altered messages", [] {
    std::string bytes = EncodeFleetMessage(
        {.sender = 1, .message = ArbitraryMessage()}, At(kNow));
    const auto at = *rc::gen::inRange<size_t>(0, bytes.size());
    bytes[at] = *rc::gen::arbitrary<char>();
    (void)DecodeFleetMessage(bytes, At(kNow));
    bytes.resize(at);
    RC_ASSERT(!DecodeFleetMessage(bytes, At(kNow)).has_value() || at > 0);
  });
}

Test(fleet_codec, rejects_gossip_without_peers) {
  const std::string bytes =
      EncodeFleetMessage({.sender = 1, .message = FleetGossip{}}, At(0));
  cr_expect(not DecodeFleetMessage(bytes, At(0)).has_value());
}

// An age that shrinks from hop to hop would let a report that returns to its
// sender pass for a new measurement.
Test(fleet_codec, reported_waits_never_become_newer) {
  ExpectProperty("age", [] {
    const TimePoint measured_at =
        At(kNow - *rc::gen::inRange<int64_t>(0, 100'000));
    const SentFleetMessage message{
        .deployment = 1,
        .sender = 2,
        .message = LoadNotice{
            .servers = {
                {.mark = 5, .wait_ms = 176, .wait_measured_at = measured_at}}}};
    const auto read =
        DecodeFleetMessage(EncodeFleetMessage(message, At(kNow)), At(kNow));
    RC_ASSERT(read.has_value());
    const ServerLoad& load = std::get<LoadNotice>(read->message).servers.at(0);
    RC_ASSERT(load.wait_ms == 176u);
    RC_ASSERT(load.wait_measured_at <= measured_at);
    RC_ASSERT(measured_at - load.wait_measured_at < Duration(100));
  });
}
