#include "drivers/peer_codec.h"

#include <algorithm>
#include <utility>

#include "drivers/gen/peer_types.h"
#include "drivers/thrift_wire.h"

namespace knapweedlift {
namespace {

gen::EndpointT ToWire(const Endpoint& endpoint) {
  gen::EndpointT wire;
  wire.address.assign(endpoint.address.bytes.begin(),
                      endpoint.address.bytes.end());
  wire.port = endpoint.port;
  return wire;
}

Endpoint FromWire(const gen::EndpointT& wire) {
  Endpoint endpoint;
  if (wire.address.size() != endpoint.address.bytes.size()) {
    throw InvalidMessage{};
  }
  std::copy(wire.address.begin(), wire.address.end(),
            endpoint.address.bytes.begin());
  endpoint.port = Narrow<uint16_t>(wire.port);
  return endpoint;
}

gen::OrderT ToWire(const GenerationId& generation) {
  gen::OrderT wire;
  wire.revision = static_cast<int64_t>(generation.revision);
  wire.sequence = generation.sequence;
  wire.maker = generation.coordinator;
  return wire;
}

GenerationId FromWire(const gen::OrderT& wire) {
  return {.revision = Narrow<uint64_t>(wire.revision),
          .sequence = Narrow<uint32_t>(wire.sequence),
          .coordinator = Narrow<VmId>(wire.maker)};
}

gen::VersionT ToWire(const TableVersion& version) {
  gen::VersionT wire;
  wire.service_number = version.service;
  wire.order = ToWire(version.generation);
  return wire;
}

TableVersion FromWire(const gen::VersionT& wire) {
  return {.service = Narrow<ServiceNumber>(wire.service_number),
          .generation = FromWire(wire.order)};
}

gen::GossipT ToWire(const Gossip& gossip) {
  gen::GossipT wire;
  wire.sender.id = gossip.sender.id;
  wire.sender.control = ToWire(gossip.sender.control);
  wire.sender.data = ToWire(gossip.sender.data);
  wire.sender.domain = gossip.sender.domain;
  wire.sheet_revision = static_cast<int64_t>(gossip.sheet_revision);
  wire.reply_wanted = gossip.reply_wanted;
  wire.echo = gossip.echo;
  for (const Heartbeat& heartbeat : gossip.heartbeats) {
    gen::HeartbeatT& entry = wire.heartbeats.emplace_back();
    entry.vm = heartbeat.vm;
    entry.incarnation = static_cast<int64_t>(heartbeat.incarnation);
    entry.count = heartbeat.count;
    entry.phase = static_cast<int32_t>(heartbeat.phase);
  }
  for (const TableVersion& version : gossip.tables) {
    wire.tables.push_back(ToWire(version));
  }
  return wire;
}

MemberPhase PhaseFromWire(int32_t phase) {
  if (phase < 0 || phase > static_cast<int32_t>(MemberPhase::kLeaving)) {
    throw InvalidMessage{};
  }
  return static_cast<MemberPhase>(phase);
}

Gossip FromWire(const gen::GossipT& wire) {
  Gossip gossip;
  gossip.sender.id = Narrow<VmId>(wire.sender.id);
  gossip.sender.control = FromWire(wire.sender.control);
  gossip.sender.data = FromWire(wire.sender.data);
  gossip.sender.domain = wire.sender.domain;
  gossip.sheet_revision = Narrow<uint64_t>(wire.sheet_revision);
  gossip.reply_wanted = wire.reply_wanted;
  gossip.echo = Narrow<uint32_t>(wire.echo);
  for (const gen::HeartbeatT& entry : wire.heartbeats) {
    gossip.heartbeats.push_back(
        {.vm = Narrow<VmId>(entry.vm),
         .incarnation = Narrow<uint64_t>(entry.incarnation),
         .count = Narrow<uint32_t>(entry.count),
         .phase = PhaseFromWire(entry.phase)});
  }
  for (const gen::VersionT& version : wire.tables) {
    gossip.tables.push_back(FromWire(version));
  }
  return gossip;
}

gen::StepT ToWire(const TableStep& step) {
  gen::StepT wire;
  wire.service_number = step.service;
  wire.base = ToWire(step.base);
  wire.order = ToWire(step.generation);
  wire.kind = static_cast<int32_t>(step.kind);
  wire.forced = step.forced;
  wire.first = step.range.first;
  wire.last = step.range.last;
  wire.vetoes = step.vetoes;
  for (const VmIncarnation& queried : step.queried_vms) {
    gen::VmLifeT& entry = wire.asked.emplace_back();
    entry.vm = queried.vm;
    entry.incarnation = static_cast<int64_t>(queried.incarnation);
  }
  return wire;
}

TableStep FromWire(const gen::StepT& wire) {
  const bool known_kind =
      wire.kind >= 0 && wire.kind <= static_cast<int32_t>(StepKind::kSettle);
  if (!known_kind) throw InvalidMessage{};
  std::vector<VmIncarnation> queried_vms;
  for (const gen::VmLifeT& entry : wire.asked) {
    queried_vms.push_back({.vm = Narrow<VmId>(entry.vm),
                           .incarnation = Narrow<uint64_t>(entry.incarnation)});
  }
  return {.service = Narrow<ServiceNumber>(wire.service_number),
          .base = FromWire(wire.base),
          .generation = FromWire(wire.order),
          .kind = static_cast<StepKind>(wire.kind),
          .forced = wire.forced,
          .range = {Narrow<uint32_t>(wire.first), Narrow<uint32_t>(wire.last)},
          .vetoes = wire.vetoes,
          .queried_vms = std::move(queried_vms)};
}

gen::OwnerNoticeT ToWire(const FlowAssignmentNotice& notice) {
  gen::OwnerNoticeT wire;
  wire.service_number = notice.service;
  for (const FlowAssignment& assignment : notice.assignments) {
    gen::OwnerT& entry = wire.owners.emplace_back();
    entry.fingerprint = static_cast<int64_t>(assignment.fingerprint);
    entry.server = assignment.server;
    if (assignment.opening) entry.__set_opening(true);
  }
  return wire;
}

FlowAssignmentNotice FromWire(const gen::OwnerNoticeT& wire) {
  FlowAssignmentNotice notice{.service =
                                  Narrow<ServiceNumber>(wire.service_number)};
  for (const gen::OwnerT& entry : wire.owners) {
    notice.assignments.push_back(
        {.fingerprint = static_cast<uint64_t>(entry.fingerprint),
         .server = Narrow<ServerId>(entry.server),
         .opening = entry.__isset.opening && entry.opening});
  }
  return notice;
}

// Encodes a message of each type into its field of the union.
struct BodyEncoder {
  gen::BodyT& body;

  void operator()(const Gossip& gossip) { body.__set_gossip(ToWire(gossip)); }
  void operator()(const SheetRequest&) { body.__set_sheet_request({}); }
  void operator()(const SheetReply& reply) {
    gen::SheetReplyT wire;
    wire.chunks = reply.chunks;
    body.__set_sheet_reply(wire);
  }
  void operator()(const TableRequest& request) {
    gen::TableRequestT wire;
    wire.service_number = request.service;
    body.__set_table_request(wire);
  }
  void operator()(const TableReply& reply) {
    gen::TableReplyT wire;
    wire.version = ToWire(reply.version);
    wire.sheet_revision = static_cast<int64_t>(reply.sheet_revision);
    wire.delta = reply.delta;
    body.__set_table_reply(wire);
  }
  void operator()(const StepMessage& message) {
    body.__set_step(ToWire(message.step));
  }
  void operator()(const StepReply& reply) {
    gen::AnswerT wire;
    wire.version = ToWire(reply.version);
    wire.occupied = reply.occupied;
    wire.incarnation = static_cast<int64_t>(reply.incarnation);
    body.__set_answer(wire);
  }
  void operator()(const FlowAssignmentNotice& notice) {
    body.__set_owner_notice(ToWire(notice));
  }
  void operator()(const OccupancyNotice& notice) {
    gen::OccupancyT wire;
    wire.service_number = notice.service;
    wire.restart = notice.replaces_earlier;
    wire.occupied = notice.occupied;
    wire.origin = notice.origin;
    wire.incarnation = static_cast<int64_t>(notice.incarnation);
    wire.lifetime_s = notice.lifetime_s;
    body.__set_occupancy(wire);
  }
};

Message BodyFromWire(const gen::BodyT& body) {
  if (body.__isset.gossip) return FromWire(body.gossip);
  if (body.__isset.sheet_request) return SheetRequest{};
  if (body.__isset.sheet_reply) return SheetReply{body.sheet_reply.chunks};
  if (body.__isset.table_request) {
    return TableRequest{
        Narrow<ServiceNumber>(body.table_request.service_number)};
  }
  if (body.__isset.table_reply) {
    return TableReply{
        .version = FromWire(body.table_reply.version),
        .sheet_revision = Narrow<uint64_t>(body.table_reply.sheet_revision),
        .delta = body.table_reply.delta};
  }
  if (body.__isset.step) return StepMessage{FromWire(body.step)};
  if (body.__isset.answer) {
    return StepReply{.version = FromWire(body.answer.version),
                     .incarnation = Narrow<uint64_t>(body.answer.incarnation),
                     .occupied = body.answer.occupied};
  }
  if (body.__isset.owner_notice) return FromWire(body.owner_notice);
  if (body.__isset.occupancy) {
    return OccupancyNotice{
        .service = Narrow<ServiceNumber>(body.occupancy.service_number),
        .origin = Narrow<VmId>(body.occupancy.origin),
        .incarnation = Narrow<uint64_t>(body.occupancy.incarnation),
        .lifetime_s = Narrow<uint32_t>(body.occupancy.lifetime_s),
        .replaces_earlier = body.occupancy.restart,
        .occupied = body.occupancy.occupied};
  }
  throw InvalidMessage{};
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  gen::PeerMessageT wire;
  wire.deployment = static_cast<int64_t>(message.deployment);
  wire.sender = message.sender;
  std::visit(BodyEncoder{wire.body}, message.message);
  return EncodeThrift(wire);
}

std::optional<PeerMessage> DecodePeerMessage(const std::string& bytes) {
  return DecodeThrift<gen::PeerMessageT>(
      bytes, [](const gen::PeerMessageT& wire) {
        return PeerMessage{.deployment = static_cast<uint64_t>(wire.deployment),
                           .sender = Narrow<VmId>(wire.sender),
                           .message = BodyFromWire(wire.body)};
      });
}

}  // namespace knapweedlift
