#include "drivers/facts_codec.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "drivers/thrift_wire.h"

namespace knapweedlift {
namespace {

// Upper bound for decoded removal holds, longer than any real one.
constexpr int64_t kMaxRemovalHoldMs = 60'000;
// Upper bound for decoded cold times, longer than any real one.
constexpr int64_t kMaxColdTimeMs = 3'600'000;

// Upper bound for the decoded times until changes apply, longer than any real
// one.
constexpr int64_t kMaxDeferralMs = 60'000;

// Sets the revision of one change in a notice of era `notice_era`.
template <typename Wire>
void SetRevision(Wire& wire, Revision revision, uint64_t notice_era) {
  wire.revision = static_cast<int64_t>(revision.number);
  if (revision.era != notice_era) {
    wire.__set_era(static_cast<int64_t>(revision.era));
  }
}

template <typename Wire>
Revision RevisionOf(const Wire& wire, uint64_t notice_era) {
  return {wire.__isset.era ? Narrow<uint64_t>(wire.era) : notice_era,
          Narrow<uint64_t>(wire.revision)};
}

template <typename Wire>
void SetAppliesAt(Wire& wire, TimePoint applies_at, TimePoint now) {
  if (applies_at > now) wire.__set_applies_in_ms((applies_at - now).count());
}

template <typename Wire>
TimePoint AppliesAt(const Wire& wire, TimePoint now) {
  if (!wire.__isset.applies_in_ms) return {};
  return now +
         Duration(std::clamp<int64_t>(wire.applies_in_ms, 0, kMaxDeferralMs));
}

gen::ServerFactT ToWire(const ServerFact& fact, TimePoint now) {
  gen::ServerFactT wire;
  wire.instance = static_cast<int64_t>(fact.instance);
  wire.mark = static_cast<int32_t>(fact.mark);
  wire.service_name = fact.service;
  wire.endpoint = EndpointToWire(fact.endpoint);
  wire.failure_domain = fact.domain;
  wire.slots = static_cast<int32_t>(fact.slots);
  if (fact.draining) wire.__set_draining(true);
  if (fact.cold_until > now) {
    wire.__set_cold_left_ms((fact.cold_until - now).count());
  }
  if (fact.started_at_ms != 0) {
    wire.__set_started_at_ms(static_cast<int64_t>(fact.started_at_ms));
  }
  return wire;
}

ServerFact FromWire(const std::string& name, const gen::ServerFactT& wire,
                    TimePoint now) {
  const int64_t cold_left_ms =
      wire.__isset.cold_left_ms ? wire.cold_left_ms : 0;
  return {
      .name = name,
      .instance = static_cast<uint64_t>(wire.instance),
      .mark = static_cast<Mark>(wire.mark),
      .started_at_ms =
          wire.__isset.started_at_ms ? Narrow<uint64_t>(wire.started_at_ms) : 0,
      .service = wire.service_name,
      .endpoint = EndpointFromWire(wire.endpoint),
      .domain = wire.failure_domain,
      .slots = Narrow<uint32_t>(wire.slots),
      .draining = wire.__isset.draining && wire.draining,
      .cold_until =
          now + Duration(std::clamp<int64_t>(cold_left_ms, 0, kMaxColdTimeMs))};
}

gen::RouteChangeT ToWire(const RouteChange& change, uint64_t notice_era) {
  gen::RouteChangeT wire;
  wire.address = EndpointToWire(change.address);
  SetRevision(wire, change.revision, notice_era);
  if (!change.route.has_value()) return wire;
  std::vector<gen::RouteShareT> shares;
  for (const RouteShare& share : change.route->shares) {
    gen::RouteShareT& entry = shares.emplace_back();
    entry.service_name = share.service;
    entry.weight = share.weight;
  }
  wire.__set_shares(shares);
  const RouteQuality& quality = change.route->quality;
  if (quality.priority != kDefaultPriority) {
    wire.__set_priority(quality.priority);
  }
  if (quality.repeatable) wire.__set_repeatable(true);
  if (quality.target_latency != Duration(0)) {
    wire.__set_target_latency_ms(quality.target_latency.count());
  }
  if (quality.timeout != Duration(0)) {
    wire.__set_timeout_ms(quality.timeout.count());
  }
  return wire;
}

RouteQuality QualityFromWire(const gen::RouteChangeT& wire) {
  RouteQuality quality{.repeatable =
                           wire.__isset.repeatable && wire.repeatable};
  if (wire.__isset.priority) quality.priority = Narrow<uint8_t>(wire.priority);
  if (wire.__isset.target_latency_ms) {
    quality.target_latency = Duration(Narrow<uint32_t>(wire.target_latency_ms));
  }
  if (wire.__isset.timeout_ms) {
    quality.timeout = Duration(Narrow<uint32_t>(wire.timeout_ms));
  }
  return quality;
}

RouteChange FromWire(const gen::RouteChangeT& wire, uint64_t notice_era) {
  RouteChange change{.address = EndpointFromWire(wire.address),
                     .revision = RevisionOf(wire, notice_era)};
  if (!wire.__isset.shares) return change;
  change.route = {.address = change.address, .quality = QualityFromWire(wire)};
  for (const gen::RouteShareT& entry : wire.shares) {
    change.route->shares.push_back({.service = entry.service_name,
                                    .weight = Narrow<uint32_t>(entry.weight)});
  }
  return change;
}

gen::LimitsChangeT ToWire(const LimitsChange& change, uint64_t notice_era) {
  gen::LimitsChangeT wire;
  SetRevision(wire, change.revision, notice_era);
  wire.version = static_cast<int64_t>(change.limits.version);
  wire.idle_timeout_ms = change.limits.idle_timeout.count();
  if (change.limits.services.empty()) return wire;
  std::vector<gen::ServiceLimitsT> services;
  for (const ServiceLimits& limits : change.limits.services) {
    gen::ServiceLimitsT& entry = services.emplace_back();
    entry.service_name = limits.service;
    if (limits.cold_time != Duration(0)) {
      entry.__set_cold_ms(limits.cold_time.count());
    }
    if (limits.cold_rate > 0) entry.__set_cold_rate(limits.cold_rate);
  }
  wire.__set_services(services);
  return wire;
}

LimitsChange FromWire(const gen::LimitsChangeT& wire, uint64_t notice_era) {
  LimitsChange change{.revision = RevisionOf(wire, notice_era),
                      .limits = {.version = Narrow<uint64_t>(wire.version),
                                 .idle_timeout = Duration(
                                     Narrow<uint32_t>(wire.idle_timeout_ms))}};
  if (!wire.__isset.services) return change;
  for (const gen::ServiceLimitsT& entry : wire.services) {
    ServiceLimits& limits = change.limits.services.emplace_back();
    limits.service = entry.service_name;
    if (entry.__isset.cold_ms) {
      limits.cold_time = Duration(Narrow<uint32_t>(entry.cold_ms));
    }
    if (!entry.__isset.cold_rate) continue;
    const bool valid = std::isfinite(entry.cold_rate) && entry.cold_rate >= 0;
    if (!valid) throw InvalidMessage{};
    limits.cold_rate = entry.cold_rate;
  }
  return change;
}

std::vector<gen::EvacuationChangeT> ToWire(
    const std::vector<EvacuationChange>& changes, uint64_t notice_era,
    TimePoint now) {
  std::vector<gen::EvacuationChangeT> wire;
  for (const EvacuationChange& change : changes) {
    gen::EvacuationChangeT& entry = wire.emplace_back();
    entry.failure_domain = change.domain;
    SetRevision(entry, change.revision, notice_era);
    SetAppliesAt(entry, change.applies_at, now);
    if (change.active) entry.__set_active(true);
  }
  return wire;
}

FactDelta DeltaHeadFromWire(const gen::FactsNoticeT& wire) {
  const uint64_t era = wire.__isset.era ? Narrow<uint64_t>(wire.era) : 0;
  const uint64_t after_era =
      wire.__isset.after_era ? Narrow<uint64_t>(wire.after_era) : era;
  FactDelta delta{.after = {after_era, Narrow<uint64_t>(wire.after)},
                  .as_of = {era, Narrow<uint64_t>(wire.as_of)},
                  .is_snapshot = wire.__isset.whole && wire.whole};
  if (wire.__isset.spans) delta.spans = SpansFromWire(wire.spans);
  return delta;
}

}  // namespace

std::vector<gen::RevisionSpanT> SpansToWire(
    const std::vector<RevisionSpan>& spans) {
  std::vector<gen::RevisionSpanT> wire;
  for (const RevisionSpan& span : spans) {
    gen::RevisionSpanT& entry = wire.emplace_back();
    entry.era = static_cast<int64_t>(span.last.era);
    entry.first = static_cast<int64_t>(span.first.number);
    entry.last = static_cast<int64_t>(span.last.number);
  }
  return wire;
}

std::vector<RevisionSpan> SpansFromWire(
    const std::vector<gen::RevisionSpanT>& wire) {
  std::vector<RevisionSpan> spans;
  for (const gen::RevisionSpanT& entry : wire) {
    const auto era = Narrow<uint64_t>(entry.era);
    spans.push_back({.first = {era, Narrow<uint64_t>(entry.first)},
                     .last = {era, Narrow<uint64_t>(entry.last)}});
  }
  return spans;
}

gen::FleetEndpointT EndpointToWire(const Endpoint& endpoint) {
  gen::FleetEndpointT wire;
  const auto& bytes = endpoint.address.bytes;
  constexpr size_t kMappedV4Offset = 12;
  const size_t offset = IsV4(endpoint.address) ? kMappedV4Offset : 0;
  wire.address.assign(bytes.begin() + offset, bytes.end());
  wire.port = endpoint.port;
  return wire;
}

Endpoint EndpointFromWire(const gen::FleetEndpointT& wire) {
  constexpr size_t kV4Size = 4;
  constexpr size_t kV6Size = 16;
  const auto* bytes = reinterpret_cast<const uint8_t*>(wire.address.data());
  Endpoint endpoint{.port = Narrow<uint16_t>(wire.port)};
  if (wire.address.size() == kV4Size) {
    endpoint.address = IpAddressFromV4(bytes);
  } else if (wire.address.size() == kV6Size) {
    endpoint.address = IpAddressFromV6(bytes);
  } else {
    throw InvalidMessage{};
  }
  return endpoint;
}

gen::FactsNoticeT FactsNoticeToWire(const FactsNotice& notice, TimePoint now) {
  gen::FactsNoticeT wire;
  const FactDelta& delta = notice.delta;
  const uint64_t era = delta.as_of.era;
  wire.root = notice.root;
  wire.after = static_cast<int64_t>(delta.after.number);
  wire.as_of = static_cast<int64_t>(delta.as_of.number);
  wire.__set_era(static_cast<int64_t>(era));
  if (delta.after.era != era) {
    wire.__set_after_era(static_cast<int64_t>(delta.after.era));
  }
  if (!delta.spans.empty()) wire.__set_spans(SpansToWire(delta.spans));
  if (delta.is_snapshot) wire.__set_whole(true);
  for (const ServerChange& change : delta.servers) {
    gen::ServerChangeT& entry = wire.servers.emplace_back();
    entry.name = change.name;
    SetRevision(entry, change.revision, era);
    SetAppliesAt(entry, change.applies_at, now);
    if (change.server.has_value()) {
      entry.__set_server(ToWire(*change.server, now));
    }
  }
  for (const RouteChange& change : delta.routes) {
    wire.routes.push_back(ToWire(change, era));
  }
  if (delta.limits.has_value()) {
    gen::LimitsChangeT limits = ToWire(*delta.limits, era);
    if (delta.config_base.has_value()) {
      limits.__set_base_revision(
          static_cast<int64_t>(delta.config_base->number));
      if (delta.config_base->era != era) {
        limits.__set_base_era(static_cast<int64_t>(delta.config_base->era));
      }
    }
    wire.__set_limits(limits);
  }
  if (!delta.evacuations.empty()) {
    wire.__set_evacuations(ToWire(delta.evacuations, era, now));
  }
  if (notice.confirmed_at != TimePoint{}) {
    wire.__set_confirmed_ms_ago((now - notice.confirmed_at).count());
  }
  if (delta.removals_held_until > now) {
    wire.__set_removals_held_ms((delta.removals_held_until - now).count());
  }
  return wire;
}

FactsNotice FactsNoticeFromWire(const gen::FactsNoticeT& wire, TimePoint now) {
  FactsNotice notice{.root = Narrow<VmId>(wire.root),
                     .delta = DeltaHeadFromWire(wire)};
  const uint64_t era = notice.delta.as_of.era;
  for (const gen::ServerChangeT& entry : wire.servers) {
    ServerChange& change = notice.delta.servers.emplace_back();
    change.name = entry.name;
    change.revision = RevisionOf(entry, era);
    change.applies_at = AppliesAt(entry, now);
    if (entry.__isset.server) {
      change.server = FromWire(entry.name, entry.server, now);
    }
  }
  for (const gen::RouteChangeT& entry : wire.routes) {
    notice.delta.routes.push_back(FromWire(entry, era));
  }
  if (wire.__isset.evacuations) {
    for (const gen::EvacuationChangeT& entry : wire.evacuations) {
      notice.delta.evacuations.push_back(
          {.domain = entry.failure_domain,
           .revision = RevisionOf(entry, era),
           .active = entry.__isset.active && entry.active,
           .applies_at = AppliesAt(entry, now)});
    }
  }
  if (wire.__isset.removals_held_ms) {
    notice.delta.removals_held_until =
        now + Duration(std::clamp<int64_t>(wire.removals_held_ms, 0,
                                           kMaxRemovalHoldMs));
  }
  if (wire.__isset.confirmed_ms_ago) {
    notice.confirmed_at =
        now - Duration(Narrow<uint32_t>(wire.confirmed_ms_ago));
  }
  if (wire.__isset.limits) {
    const gen::LimitsChangeT& limits = wire.limits;
    notice.delta.limits = FromWire(limits, era);
    if (limits.__isset.base_revision) {
      notice.delta.config_base = {
          limits.__isset.base_era ? Narrow<uint64_t>(limits.base_era) : era,
          Narrow<uint64_t>(limits.base_revision)};
    }
  }
  return notice;
}

}  // namespace knapweedlift
