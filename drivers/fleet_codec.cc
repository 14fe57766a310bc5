#include "drivers/fleet_codec.h"

#include <algorithm>

#include "core/fleet/watcher_election.h"
#include "drivers/facts_codec.h"
#include "drivers/gen/fleet_types.h"
#include "drivers/thrift_wire.h"

namespace knapweedlift {
namespace {

// Unit of the age of a reported wait.
constexpr Duration kWaitAgeUnit{100};

gen::FactsVersionT ToWire(const FactsVersion& version) {
  gen::FactsVersionT wire;
  wire.as_of = static_cast<int64_t>(version.as_of.number);
  wire.last_change = static_cast<int64_t>(version.last_change.number);
  wire.horizon = static_cast<int64_t>(version.horizon.number);
  if (version.knows_eras) {
    wire.__set_era(static_cast<int64_t>(version.as_of.era));
  }
  if (!version.past_spans.empty()) {
    wire.__set_past_spans(SpansToWire(version.past_spans));
  }
  if (version.digest != kNoDigest) {
    wire.__set_digest(static_cast<int32_t>(version.digest));
  }
  return wire;
}

FactsVersion FromWire(const gen::FactsVersionT& wire) {
  const uint64_t era = wire.__isset.era ? Narrow<uint64_t>(wire.era) : 0;
  FactsVersion version{.as_of = {era, Narrow<uint64_t>(wire.as_of)},
                       .last_change = {era, Narrow<uint64_t>(wire.last_change)},
                       .horizon = {era, Narrow<uint64_t>(wire.horizon)},
                       .digest = wire.__isset.digest
                                     ? static_cast<FactsDigest>(wire.digest)
                                     : kNoDigest,
                       .knows_eras = wire.__isset.era};
  if (wire.__isset.past_spans) {
    version.past_spans = SpansFromWire(wire.past_spans);
  }
  return version;
}

gen::FleetVmT ToWire(const VmAddress& address) {
  gen::FleetVmT wire;
  wire.vm = address.id;
  wire.control = EndpointToWire(address.control);
  wire.failure_domain = address.domain;
  return wire;
}

VmAddress FromWire(const gen::FleetVmT& wire) {
  return {.id = Narrow<VmId>(wire.vm),
          .control = EndpointFromWire(wire.control),
          .domain = wire.failure_domain};
}

gen::FleetPeerT ToWire(const FleetPeer& peer) {
  gen::FleetPeerT wire;
  wire.vm = peer.address.id;
  wire.control = EndpointToWire(peer.address.control);
  wire.failure_domain = peer.address.domain;
  wire.incarnation = static_cast<int64_t>(peer.heartbeat.incarnation);
  wire.heartbeat = peer.heartbeat.count;
  wire.phase = static_cast<int32_t>(peer.heartbeat.phase);
  return wire;
}

FleetPeer FromWire(const gen::FleetPeerT& wire) {
  const auto vm = Narrow<VmId>(wire.vm);
  const auto phase = Narrow<uint8_t>(wire.phase);
  if (phase > static_cast<uint8_t>(MemberPhase::kLeaving)) {
    throw InvalidMessage{};
  }
  return {.address = {.id = vm,
                      .control = EndpointFromWire(wire.control),
                      .domain = wire.failure_domain},
          .heartbeat = {.vm = vm,
                        .incarnation = Narrow<uint64_t>(wire.incarnation),
                        .count = Narrow<uint32_t>(wire.heartbeat),
                        .phase = static_cast<MemberPhase>(phase)}};
}

gen::DomainLoadT ToWire(const DomainLoad& load, TimePoint now) {
  gen::DomainLoadT wire;
  wire.failure_domain = load.domain;
  wire.service_name = load.service;
  wire.flows = static_cast<int32_t>(load.flows);
  wire.waiting = static_cast<int32_t>(load.waiting);
  wire.slots = static_cast<int32_t>(load.slots);
  wire.age_ms = (now - load.measured_at).count();
  return wire;
}

DomainLoad FromWire(const gen::DomainLoadT& wire, TimePoint now) {
  return {.domain = wire.failure_domain,
          .service = wire.service_name,
          .flows = Narrow<uint32_t>(wire.flows),
          .waiting = Narrow<uint32_t>(wire.waiting),
          .slots = Narrow<uint32_t>(wire.slots),
          .measured_at = now - Duration(Narrow<uint32_t>(wire.age_ms))};
}

FactsRequest FromWire(const gen::FactsRequestT& wire) {
  FactsRequest request{
      .after = {wire.__isset.era ? Narrow<uint64_t>(wire.era) : 0,
                Narrow<uint64_t>(wire.after)},
      .confirmed_only = wire.__isset.confirmed_only && wire.confirmed_only,
      .may_wait = wire.__isset.may_wait && wire.may_wait,
      .knows_eras = wire.__isset.era};
  if (wire.__isset.requester) request.requester = FromWire(wire.requester);
  return request;
}

FactsReferral FromWire(const gen::FactsReferralT& wire) {
  FactsReferral referral{.sender = FromWire(wire.sender),
                         .may_wait = wire.__isset.may_wait && wire.may_wait};
  if (wire.__isset.peer) {
    referral.peer = EndpointFromWire(wire.peer);
  }
  return referral;
}

gen::OpeningIdT ToWire(const OpeningId& id) {
  gen::OpeningIdT wire;
  wire.flow = static_cast<int64_t>(id.flow);
  wire.syn_sequence = static_cast<int32_t>(id.syn_sequence);
  return wire;
}

OpeningId FromWire(const gen::OpeningIdT& wire) {
  return {.flow = static_cast<uint64_t>(wire.flow),
          .syn_sequence = static_cast<uint32_t>(wire.syn_sequence)};
}

gen::OpeningT ToWire(const Opening& opening, TimePoint now) {
  gen::OpeningT wire;
  wire.id = ToWire(opening.id);
  wire.mark = static_cast<int32_t>(opening.mark);
  wire.placed_ms_ago = (now - opening.placed_at).count();
  return wire;
}

Opening FromWire(const gen::OpeningT& wire, TimePoint now) {
  return {.id = FromWire(wire.id),
          .mark = static_cast<Mark>(wire.mark),
          .placed_at = now - Duration(Narrow<uint32_t>(wire.placed_ms_ago))};
}

OpeningNotice FromWire(const gen::OpeningNoticeT& wire, TimePoint now) {
  OpeningNotice notice;
  for (const gen::OpeningT& entry : wire.openings) {
    notice.openings.push_back(FromWire(entry, now));
  }
  return notice;
}

OpeningQuery FromWire(const gen::OpeningQueryT& wire) {
  return {.id = FromWire(wire.id),
          .requester = FromWire(wire.requester),
          .forwarded = wire.__isset.forwarded && wire.forwarded};
}

OpeningReply FromWire(const gen::OpeningReplyT& wire, TimePoint now) {
  OpeningReply reply{.id = FromWire(wire.id),
                     .sender = FromWire(wire.sender),
                     .forwarded = wire.__isset.forwarded && wire.forwarded};
  if (wire.__isset.opening) reply.opening = FromWire(wire.opening, now);
  return reply;
}

WatchLease FromWire(const gen::WatchLeaseT& wire) {
  return {.root = Narrow<VmId>(wire.root),
          .watcher = Narrow<VmId>(wire.watcher),
          .watching = wire.watching,
          .facts = FromWire(wire.facts)};
}

SuspicionNotice FromWire(const gen::SuspicionNoticeT& wire) {
  SuspicionNotice notice{.root = Narrow<VmId>(wire.root)};
  for (const int32_t mark : wire.marks) {
    notice.marks.push_back(static_cast<Mark>(mark));
  }
  return notice;
}

AnswerNotice FromWire(const gen::AnswerNoticeT& wire, TimePoint now) {
  AnswerNotice notice{
      .root = Narrow<VmId>(wire.root),
      .answered_at = now - Duration(Narrow<uint32_t>(wire.answered_ms_ago))};
  for (const int32_t mark : wire.marks) {
    notice.marks.push_back(static_cast<Mark>(mark));
  }
  return notice;
}

// Encodes a message of each type into its field of the union.
struct BodyEncoder {
  gen::FleetBodyT& body;
  TimePoint now;

  void operator()(const FleetGossip& gossip) const {
    gen::FleetGossipT wire;
    if (gossip.reply_wanted) wire.__set_reply_wanted(true);
    wire.facts = ToWire(gossip.facts);
    if (gossip.lease_expires_at > now) {
      wire.__set_watcher(gossip.watcher);
      wire.__set_lease_left_ms((gossip.lease_expires_at - now).count());
    }
    for (const FleetPeer& peer : gossip.peers) {
      wire.peers.push_back(ToWire(peer));
    }
    for (const DomainLoad& load : gossip.loads) {
      wire.loads.push_back(ToWire(load, now));
    }
    body.__set_gossip(wire);
  }
  void operator()(const FactsNotice& notice) const {
    body.__set_facts_notice(FactsNoticeToWire(notice, now));
  }
  void operator()(const FactsRequest& request) const {
    gen::FactsRequestT wire;
    wire.after = static_cast<int64_t>(request.after.number);
    wire.__set_era(static_cast<int64_t>(request.after.era));
    if (request.confirmed_only) wire.__set_confirmed_only(true);
    if (request.may_wait) wire.__set_may_wait(true);
    if (request.requester.has_value()) {
      wire.__set_requester(ToWire(*request.requester));
    }
    body.__set_facts_request(wire);
  }
  void operator()(const FactsReferral& referral) const {
    gen::FactsReferralT wire;
    wire.sender = ToWire(referral.sender);
    if (referral.may_wait) wire.__set_may_wait(true);
    if (referral.peer.has_value())
      wire.__set_peer(EndpointToWire(*referral.peer));
    body.__set_facts_referral(wire);
  }
  void operator()(const WatchLease& lease) const {
    gen::WatchLeaseT wire;
    wire.root = lease.root;
    wire.watcher = lease.watcher;
    wire.watching = lease.watching;
    wire.facts = ToWire(lease.facts);
    body.__set_watch_lease(wire);
  }
  void operator()(const SuspicionNotice& notice) const {
    gen::SuspicionNoticeT wire;
    wire.root = notice.root;
    for (const Mark mark : notice.marks) {
      wire.marks.push_back(static_cast<int32_t>(mark));
    }
    body.__set_suspicion_notice(wire);
  }
  void operator()(const AnswerNotice& notice) const {
    gen::AnswerNoticeT wire;
    wire.root = notice.root;
    for (const Mark mark : notice.marks) {
      wire.marks.push_back(static_cast<int32_t>(mark));
    }
    wire.answered_ms_ago = (now - notice.answered_at).count();
    body.__set_answer_notice(wire);
  }
  void operator()(const LoadNotice& notice) const {
    gen::LoadNoticeT wire;
    for (const ServerLoad& load : notice.servers) {
      gen::ServerLoadT& entry = wire.servers.emplace_back();
      entry.mark = static_cast<int32_t>(load.mark);
      entry.flows = static_cast<int32_t>(load.flows);
      entry.waiting = static_cast<int32_t>(load.waiting);
      if (load.wait_ms == 0) continue;
      entry.__set_wait_ms(static_cast<int32_t>(load.wait_ms));
      const Duration age = std::max(Duration(0), now - load.wait_measured_at);
      entry.__set_wait_age(static_cast<int32_t>(
          (age + kWaitAgeUnit - Duration(1)) / kWaitAgeUnit));
    }
    body.__set_load_notice(wire);
  }
  void operator()(const OpeningNotice& notice) const {
    gen::OpeningNoticeT wire;
    for (const Opening& opening : notice.openings) {
      wire.openings.push_back(ToWire(opening, now));
    }
    body.__set_opening_notice(wire);
  }
  void operator()(const OpeningQuery& query) const {
    gen::OpeningQueryT wire;
    wire.id = ToWire(query.id);
    wire.requester = ToWire(query.requester);
    if (query.forwarded) wire.__set_forwarded(true);
    body.__set_opening_query(wire);
  }
  void operator()(const OpeningReply& reply) const {
    gen::OpeningReplyT wire;
    wire.id = ToWire(reply.id);
    wire.sender = ToWire(reply.sender);
    if (reply.forwarded) wire.__set_forwarded(true);
    if (reply.opening.has_value()) {
      wire.__set_opening(ToWire(*reply.opening, now));
    }
    body.__set_opening_reply(wire);
  }
};

FleetMessage BodyFromWire(const gen::FleetBodyT& body, TimePoint now) {
  if (body.__isset.gossip) {
    FleetGossip gossip{.reply_wanted = body.gossip.__isset.reply_wanted &&
                                       body.gossip.reply_wanted,
                       .facts = FromWire(body.gossip.facts)};
    if (body.gossip.__isset.lease_left_ms) {
      gossip.watcher = Narrow<VmId>(body.gossip.watcher);
      gossip.lease_expires_at =
          now + std::min(kWatchLeaseDuration,
                         Duration(Narrow<uint32_t>(body.gossip.lease_left_ms)));
    }
    for (const gen::FleetPeerT& entry : body.gossip.peers) {
      gossip.peers.push_back(FromWire(entry));
    }
    if (gossip.peers.empty()) throw InvalidMessage{};
    for (const gen::DomainLoadT& entry : body.gossip.loads) {
      gossip.loads.push_back(FromWire(entry, now));
    }
    return gossip;
  }
  if (body.__isset.facts_notice)
    return FactsNoticeFromWire(body.facts_notice, now);
  if (body.__isset.facts_request) {
    return FromWire(body.facts_request);
  }
  if (body.__isset.facts_referral) {
    return FromWire(body.facts_referral);
  }
  if (body.__isset.watch_lease) {
    return FromWire(body.watch_lease);
  }
  if (body.__isset.suspicion_notice) {
    return FromWire(body.suspicion_notice);
  }
  if (body.__isset.answer_notice) return FromWire(body.answer_notice, now);
  if (body.__isset.load_notice) {
    LoadNotice notice;
    for (const gen::ServerLoadT& entry : body.load_notice.servers) {
      notice.servers.push_back({.mark = static_cast<Mark>(entry.mark),
                                .flows = Narrow<uint32_t>(entry.flows),
                                .waiting = Narrow<uint32_t>(entry.waiting)});
      if (!entry.__isset.wait_ms || !entry.__isset.wait_age) continue;
      ServerLoad& load = notice.servers.back();
      load.wait_ms = Narrow<uint32_t>(entry.wait_ms);
      load.wait_measured_at =
          now - Narrow<uint32_t>(entry.wait_age) * kWaitAgeUnit;
    }
    return notice;
  }
  if (body.__isset.opening_notice) {
    return FromWire(body.opening_notice, now);
  }
  if (body.__isset.opening_query) {
    return FromWire(body.opening_query);
  }
  if (body.__isset.opening_reply) {
    return FromWire(body.opening_reply, now);
  }
  throw InvalidMessage{};
}

}  // namespace

std::string EncodeFleetMessage(const SentFleetMessage& message, TimePoint now) {
  gen::FleetMessageT wire;
  wire.deployment = static_cast<int64_t>(message.deployment);
  wire.sender = message.sender;
  std::visit(BodyEncoder{wire.body, now}, message.message);
  return EncodeThrift(wire);
}

std::optional<SentFleetMessage> DecodeFleetMessage(const std::string& bytes,
                                                   TimePoint now) {
  return DecodeThrift<gen::FleetMessageT>(
      bytes, [now](const gen::FleetMessageT& wire) {
        return SentFleetMessage{
            .deployment = static_cast<uint64_t>(wire.deployment),
            .sender = Narrow<VmId>(wire.sender),
            .message = BodyFromWire(wire.body, now)};
      });
}

}  // namespace knapweedlift
