#include "clients.h"

#include <sys/socket.h>

#include <utility>

namespace {

constexpr Millis kSynCopiesMs[] = {200, 600};
constexpr Millis kSynTimeoutMs = 1400;
constexpr Millis kFirstRetransmitMs = 200;
constexpr Millis kMaxRetransmitMs = 1600;
constexpr Millis kDeadlineMs = 3000;
constexpr int64_t kResetWindow = 76'800;

}  // namespace

Client::Client(Loop& loop, Platform& platform, std::string zone, uint32_t ip,
               OnReset on_reset)
    : loop_(loop),
      platform_(platform),
      zone_(std::move(zone)),
      ip_(ip),
      fd_(OpenUdp({ip, platform.ports().data})),
      on_reset_(std::move(on_reset)) {
  if (fd_ >= 0) loop_.OnReadable(fd_, [this] { Receive(); });
}

FlowId Client::Open(const Address& route, Done opened, Done failed) {
  const FlowId id{.client = ip_,
                  .client_port = next_port_++,
                  .host = route.ip,
                  .host_port = route.port};
  Flow& flow = flows_[id];
  flow.first = static_cast<uint32_t>(Random()) | 1;
  flow.sent = flow.first + 1;
  flow.opened = std::move(opened);
  flow.failed = std::move(failed);
  flow.last_used = NowMs();
  SendSyn(id);
  for (const Millis delay : kSynCopiesMs) {
    loop_.After(delay, [this, id] {
      const auto found = flows_.find(id);
      if (found == flows_.end() || found->second.open) return;
      ++found->second.copies;
      SendSyn(id);
    });
  }
  loop_.After(kSynTimeoutMs, [this, id] {
    const auto found = flows_.find(id);
    if (found != flows_.end() && !found->second.open) {
      Fail(id, "no answer to its SYN");
    }
  });
  return id;
}

void Client::Request(const FlowId& id, Done answered) {
  Flow& flow = flows_.at(id);
  char attempt[17];
  std::snprintf(attempt, sizeof(attempt), "%016lx",
                static_cast<unsigned long>(Random()));
  flow.attempt = attempt;
  flow.request = "POST /confirm HTTP/1.1\r\nX-Attempt-Id: " + flow.attempt +
                 "\r\nContent-Length: 0\r\n\r\n";
  flow.answered = std::move(answered);
  flow.retransmits = 0;
  flow.sent += static_cast<uint32_t>(flow.request.size());
  Record("client     %s:%u sends %s", Text(ip_).c_str(), id.client_port,
         flow.attempt.c_str());
  SendRequest(id);
  loop_.After(kDeadlineMs, [this, id, attempt = flow.attempt] {
    const auto found = flows_.find(id);
    const bool late = found != flows_.end() && found->second.answered &&
                      found->second.attempt == attempt;
    if (late) Fail(id, "the deadline has passed");
  });
}

bool Client::IsOpen(const FlowId& id) const {
  const auto found = flows_.find(id);
  return found != flows_.end() && found->second.open;
}

void Client::CloseFlow(const FlowId& id) {
  const auto found = flows_.find(id);
  if (found == flows_.end()) return;
  Flow& flow = found->second;
  Send(id, flow, kFin | kAck, flow.sent, flow.next, "");
  flows_.erase(found);
}

Millis Client::last_used(const FlowId& id) const {
  return flows_.at(id).last_used;
}

Millis Client::opened_at(const FlowId& id) const {
  return flows_.at(id).opened_at;
}

void Client::Receive() {
  while (true) {
    uint8_t bytes[2048];
    const ssize_t size = recv(fd_, bytes, sizeof(bytes), MSG_DONTWAIT);
    if (size < 0) return;
    const auto packet = Decode(bytes, static_cast<size_t>(size));
    if (!packet.has_value()) continue;
    if (!IsIntact(*packet) && !IsSystemReset(*packet)) {
      Record("MIXED      %s got a packet that no endpoint wrote so",
             Text(ip_).c_str());
      continue;
    }
    Handle(*packet);
  }
}

void Client::Handle(const Packet& packet) {
  const FlowId id{.client = packet.dst,
                  .client_port = packet.dport,
                  .host = packet.src,
                  .host_port = packet.sport};
  const auto found = flows_.find(id);
  if (found == flows_.end()) return;
  Flow& flow = found->second;
  if ((packet.flags & kRst) != 0) {
    const auto distance = static_cast<int32_t>(packet.seq - flow.next);
    if (flow.open && std::abs(int64_t{distance}) > kResetWindow) return;
    const bool system = IsSystemReset(packet);
    if (flow.open) on_reset_(id, system, flow.taken_by);
    return Fail(id, system ? "reset by the system" : "reset by an endpoint");
  }
  if ((packet.flags & kSyn) != 0) {
    flow.echo = packet.echo;
    if (flow.open && packet.seq != flow.server_first) {
      Record("client     %s:%u is open and gets a SYN+ACK of another endpoint",
             Text(ip_).c_str(), id.client_port);
      return;
    }
    flow.server_first = packet.seq;
    flow.next = packet.seq + 1;
    const bool first = !std::exchange(flow.open, true);
    if (first) flow.opened_at = NowMs();
    Send(id, flow, kAck, flow.sent, flow.next, "");
    if (first && flow.opened) flow.opened();
    return;
  }
  if (!flow.open) return;
  flow.echo = packet.echo;
  if (!packet.data.empty()) HandleData(id, flow, packet);
}

void Client::HandleData(const FlowId& id, Flow& flow, const Packet& packet) {
  const bool in_order = packet.seq == flow.next;
  if (in_order) {
    flow.next += static_cast<uint32_t>(packet.data.size());
    flow.input += packet.data;
  }
  Send(id, flow, kAck, flow.sent, flow.next, "");
  if (!in_order || !flow.answered) return;
  // Endpoints answer in one packet here.
  const bool own =
      flow.input.find("/" + flow.attempt + "\r\n") != std::string::npos &&
      flow.input.starts_with("HTTP/1.1 ");
  Record("%s %s is answered", own ? "client    " : "MIXED     ",
         flow.attempt.c_str());
  flow.input.clear();
  const Done answered = std::exchange(flow.answered, {});
  ++flow.timer;
  answered();
}

void Client::SendSyn(const FlowId& id) {
  Flow& flow = flows_.at(id);
  Send(id, flow, kSyn, flow.first, flow.copies, "");
}

void Client::SendRequest(const FlowId& id) {
  Flow& flow = flows_.at(id);
  const auto size = static_cast<uint32_t>(flow.request.size());
  Send(id, flow, kAck, flow.sent - size, flow.next, flow.request);
  const uint64_t timer = ++flow.timer;
  const Millis delay =
      std::min(kFirstRetransmitMs << flow.retransmits, kMaxRetransmitMs);
  loop_.After(delay, [this, id, timer] {
    const auto found = flows_.find(id);
    const bool due = found != flows_.end() && found->second.timer == timer &&
                     found->second.answered;
    if (!due) return;
    ++found->second.retransmits;
    SendRequest(id);
  });
}

void Client::Send(const FlowId& id, Flow& flow, uint8_t flags, uint32_t seq,
                  uint32_t ack, const std::string& data) {
  const Vm* vm = platform_.Route(id, zone_);
  if (vm == nullptr) return;
  flow.last_used = NowMs();
  flow.taken_by = vm;
  SendTo(fd_, {vm->ip, platform_.ports().data},
         Encode({.flags = flags,
                 .echo = flags == kSyn ? 0 : flow.echo,
                 .seq = seq,
                 .ack = ack,
                 .src = id.client,
                 .sport = id.client_port,
                 .dst = id.host,
                 .dport = id.host_port,
                 .data = data}));
}

void Client::Fail(const FlowId& id, const char* reason) {
  const auto found = flows_.find(id);
  if (found == flows_.end()) return;
  Flow& flow = found->second;
  if (flow.answered) {
    Record("client     %s gets no answer: %s", flow.attempt.c_str(), reason);
  } else if (flow.open) {
    Record("client     %s:%u ends: %s", Text(ip_).c_str(), id.client_port,
           reason);
  }
  const Done failed = std::move(flow.failed);
  flows_.erase(found);
  if (failed) failed();
}
