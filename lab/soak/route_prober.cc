#include "lab/soak/route_prober.h"

#include <utility>

namespace knapweedlift::lab {
namespace {

constexpr size_t kMaxDatagramBytes = 2'048;
constexpr uint16_t kFirstSourcePort = 10'000;
constexpr uint16_t kLastSourcePort = 60'000;
// A SYN is repeated after these times; the attempt ends after the last one.
constexpr std::array<Duration, 3> kSynTimeouts = {Duration(200), Duration(400),
                                                  Duration(800)};
constexpr uint32_t kSequenceStep = 1'000;

}  // namespace

RouteProber::RouteProber(const IpAddress& address, uint16_t port)
    : address_(address),
      port_(port),
      batch_(kMaxDatagramBytes),
      next_source_port_(kFirstSourcePort) {}

bool RouteProber::Open() {
  auto socket =
      BindUdp({.address = address_, .port = port_}, {.nonblocking = true});
  if (!socket.ok()) return false;
  socket_ = *std::move(socket);
  return true;
}

void RouteProber::Probe(size_t vm, uint32_t incarnation, const Endpoint& data,
                        const Endpoint& route, TimePoint now) {
  const uint16_t port = next_source_port_;
  next_source_port_ = port == kLastSourcePort ? kFirstSourcePort : port + 1;
  next_sequence_ += kSequenceStep;
  PendingProbe& probe = pending_[port];
  probe = {.flow = {.vm = vm, .incarnation = incarnation, .route = route},
           .data = data,
           .source_port = port,
           .sequence = next_sequence_};
  SendSyn(probe, now);
}

void RouteProber::SendSyn(PendingProbe& probe, TimePoint now) {
  probe.sent_at[probe.syn_count] = now;
  Send({.flags = platform::kFlagSyn,
        .sequence = probe.sequence,
        .acknowledged = static_cast<uint32_t>(probe.syn_count),
        .source = address_,
        .source_port = probe.source_port,
        .destination = probe.flow.route.address,
        .destination_port = probe.flow.route.port},
       probe.data);
  ++probe.syn_count;
}

bool RouteProber::HandleServerSyn(const platform::PacketHeader& syn,
                                  const std::string& service, TimePoint now) {
  if (syn.source != address_) return false;
  const auto found = pending_.find(syn.source_port);
  const bool known = found != pending_.end() && !found->second.decided &&
                     found->second.sequence == syn.sequence &&
                     syn.acknowledged < found->second.syn_count;
  if (!known) return true;
  PendingProbe& probe = found->second;
  probe.decided = true;
  probe.flow.syn_copy = syn.acknowledged;
  probe.flow.sent_at = probe.sent_at[syn.acknowledged];
  probe.flow.handled_at = now;
  probe.flow.service = service;
  flows_.push_back(probe.flow);
  return true;
}

void RouteProber::Run(TimePoint now) {
  while (const size_t count = batch_.Receive(socket_)) {
    for (size_t i = 0; i < count; ++i) {
      const DecodedSegment decoded = DecodeSegment(batch_.datagram(i));
      if (decoded.segment.has_value() && !decoded.invalid) {
        HandleSegment(*decoded.segment, now);
      }
    }
  }
  for (auto& [port, probe] : pending_) RepeatSyn(probe, now);
  std::erase_if(pending_, [&](const auto& item) {
    const PendingProbe& probe = item.second;
    if (!IsOverdue(probe, now)) return false;
    if (!probe.decided) ++unanswered_;
    return true;
  });
}

bool RouteProber::IsOverdue(const PendingProbe& probe, TimePoint now) {
  const size_t last = probe.syn_count - 1;
  return now >= probe.sent_at[last] + kSynTimeouts[last];
}

void RouteProber::RepeatSyn(PendingProbe& probe, TimePoint now) {
  if (probe.decided || probe.syn_count == kMaxSyns) return;
  if (IsOverdue(probe, now)) SendSyn(probe, now);
}

void RouteProber::ForgetPending(size_t vm) {
  std::erase_if(pending_,
                [vm](const auto& item) { return item.second.flow.vm == vm; });
}

void RouteProber::HandleSegment(const Segment& segment, TimePoint now) {
  const auto found = pending_.find(segment.header.destination_port);
  if (found == pending_.end()) return;
  PendingProbe& probe = found->second;
  const Endpoint from{.address = segment.header.source,
                      .port = segment.header.source_port};
  if (from != probe.flow.route) return;
  if (HasFlag(segment, platform::kFlagSyn)) {
    CloseFlow(probe, segment);
    pending_.erase(found);
    return;
  }
  if (!HasFlag(segment, platform::kFlagRst) || probe.decided) return;
  // Which copy was rejected is unknown; the first one is the cautious answer.
  probe.flow.sent_at = probe.sent_at.front();
  probe.flow.handled_at = now;
  flows_.push_back(probe.flow);
  pending_.erase(found);
}

// Completes the handshake, so that the VM sees the server answer, and resets
// the flow.
void RouteProber::CloseFlow(const PendingProbe& probe, const Segment& syn_ack) {
  platform::PacketHeader header = MakeReplyHeader(syn_ack.header);
  header.flags = platform::kFlagAck;
  header.sequence = probe.sequence + 1;
  header.acknowledged = syn_ack.header.sequence + 1;
  Send(header, probe.data);
  header.flags = platform::kFlagRst;
  Send(header, probe.data);
}

void RouteProber::Send(const platform::PacketHeader& header,
                       const Endpoint& to) {
  const std::vector<uint8_t> bytes = EncodeSegment({.header = header});
  const SocketAddress address = ToSocketAddress(to);
  sendto(socket_.value(), bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr*>(&address.storage), address.size);
}

}  // namespace knapweedlift::lab
