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

Revision ArbitraryRevision(uint64_t era) {
  return {era, *rc::gen::inRange<uint64_t>(0, 1'000'000)};
}

std::vector<RevisionSpan> ArbitrarySpans() {
  std::vector<RevisionSpan> spans;
  const uint64_t count = *rc::gen::inRange<uint64_t>(0, 3);
  for (uint64_t era = 0; era < count; ++era) {
    spans.push_back(
        {.first = ArbitraryRevision(era), .last = ArbitraryRevision(era)});
  }
  return spans;
}

FactDelta ArbitraryDelta() {
  const auto era = *rc::gen::inRange<uint64_t>(0, 3);
  FactDelta delta{.after = ArbitraryRevision(*rc::gen::inRange(0, 3)),
                  .as_of = ArbitraryRevision(era),
                  .is_snapshot = *rc::gen::arbitrary<bool>(),
                  .spans = ArbitrarySpans()};
  const auto numbers =
      *rc::gen::container<std::vector<uint8_t>>(rc::gen::inRange(0, 250));
  for (const uint8_t number : numbers) {
    ServerFact server = Server(number);
    server.draining = number % 3 == 0;
    server.cold_until = At(kNow + number * 10);
    server.started_at_ms = number * 1'000;
    ServerChange change{.name = server.name,
                        .revision = {number % uint64_t{3}, number}};
    if (number % 4 == 0) change.applies_at = At(kNow + number);
    if (number % 5 != 0) change.server = server;
    delta.servers.push_back(change);
    RouteChange route{.address = Route(number).address,
                      .revision = {number % uint64_t{3}, number}};
    if (number % 2 == 0) route.route = Route(number);
    if (number % 4 == 0) route.route->quality = ArbitraryQuality(number);
    delta.routes.push_back(route);
    if (number % 7 != 0) continue;
    delta.evacuations.push_back(
        {.domain = server.name,
         .revision = {number % uint64_t{3}, number},
         .active = number % 2 == 0,
         .applies_at = number % 4 == 0 ? At(kNow + number) : TimePoint{}});
  }
  if (*rc::gen::arbitrary<bool>()) {
    delta.limits = {.revision = ArbitraryRevision(era / 2),
                    .limits = {.version = 9, .idle_timeout = Duration(77)}};
    if (*rc::gen::arbitrary<bool>()) delta.config_base = Revision(1, 3);
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
  const auto era = *rc::gen::inRange<uint64_t>(0, 3);
  const FactsVersion facts{.as_of = ArbitraryRevision(era),
                           .last_change = ArbitraryRevision(era),
                           .horizon = ArbitraryRevision(era),
                           .digest = *rc::gen::arbitrary<FactsDigest>(),
                           .past_spans = ArbitrarySpans(),
                           .knows_eras = era != 0};
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

Test(fleet_codec, preserves_eras) {
  FactsNotice notice{.delta = SnapshotOf({Server(1)}, {4, 10})};
  notice.delta.after = {3, 17};
  notice.delta.is_snapshot = false;
  notice.delta.servers[0].revision = {3, 15};
  notice.delta.servers[0].server->started_at_ms = 1'000;
  notice.delta.servers[0].applies_at = At(kNow + 100);
  notice.delta.limits->revision = {2, 7};
  notice.delta.config_base = Revision(3, 11);
  notice.delta.spans = {{.first = {3, 2}, .last = {3, 17}},
                        {.first = {4, 9}, .last = {4, 10}}};
  const FleetMessage message = notice;
  const auto read = DecodeFleetMessage(
      EncodeFleetMessage({.message = message}, At(kNow)), At(kNow));
  cr_assert(read.has_value());
  notice.delta.servers[0].server->cold_until = At(kNow);
  cr_expect(std::get<FactsNotice>(read->message) == notice);
}

// In a rolling stop the last version of the program runs beside this one.
Test(fleet_codec, tells_a_version_without_eras_from_era_0) {
  for (const bool knows_eras : {false, true}) {
    const WatchLease lease{.watcher = 3,
                           .watching = true,
                           .facts = {.as_of = 5, .knows_eras = knows_eras}};
    const auto read = DecodeFleetMessage(
        EncodeFleetMessage({.message = lease}, At(kNow)), At(kNow));
    cr_expect(std::get<WatchLease>(read->message).facts == lease.facts);
  }
}

Test(fleet_codec, rejects_eras_out_of_range) {
  constexpr uint64_t kTooLarge = 1ULL << 63;
  FactsNotice notice{.delta = SnapshotOf({}, {kTooLarge, 10})};
  cr_expect(not DecodeFleetMessage(
                    EncodeFleetMessage({.message = notice}, At(kNow)), At(kNow))
                    .has_value());
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
