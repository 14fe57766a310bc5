#include "endpoints.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <utility>

namespace {

constexpr Millis kFirstRetransmitMs = 200;
constexpr int kMaxRetransmits = 8;
constexpr size_t kBodyBytes = 400;
constexpr size_t kInstanceBytes = 8;

std::string AttemptId(const std::string& request) {
  constexpr char kName[] = "X-Attempt-Id: ";
  const size_t begin = request.find(kName) + sizeof(kName) - 1;
  return request.substr(begin, request.find('\r', begin) - begin);
}

}  // namespace

Endpoint::Endpoint(Loop& loop, Store& store, EndpointSettings settings)
    : loop_(loop), store_(store), settings_(std::move(settings)) {
  const size_t digits = settings_.id.rfind('-') + 1;
  instance_ = std::strtoull(settings_.id.c_str() + digits, nullptr, 16);
}

bool Endpoint::Start() {
  if (!OpenPorts()) return false;
  running_ = true;
  ++incarnation_;
  born_ = UnixMs();
  sequence_ = 0;
  disturbed_at_ = NowMs();
  Record("endpoint   %s starts, born %ld", settings_.id.c_str(),
         static_cast<long>(born_));
  loop_.After(settings_.first_entry_ms,
              [this, number = incarnation_] { WriteEntry(number); });
  return true;
}

void Endpoint::Crash() {
  Record("endpoint   %s crashes", settings_.id.c_str());
  running_ = false;
  ++incarnation_;
  flows_.clear();
  waiting_.clear();
  running_requests_ = 0;
  disturbed_at_ = NowMs();
  ClosePorts();
}

void Endpoint::Cut() {
  Record("endpoint   %s is cut off", settings_.id.c_str());
  disturbed_at_ = NowMs();
  ClosePorts();
}

void Endpoint::Heal() {
  Record("endpoint   %s is reached again", settings_.id.c_str());
  disturbed_at_ = NowMs();
  OpenPorts();
}

bool Endpoint::Holds(const FlowId& flow) const {
  const auto found = flows_.find(flow);
  return running_ && found != flows_.end() && found->second.open;
}

bool Endpoint::OpenPorts() {
  udp_ = OpenUdp(settings_.address);
  if (udp_ < 0 || !Listen()) return false;
  loop_.OnReadable(udp_, [this] { Receive(); });
  return true;
}

bool Endpoint::Listen() {
  tcp_ = OpenListener(settings_.address);
  if (tcp_ < 0) return false;
  // Health is asked for by a connection or a GET; both are answered.
  loop_.OnReadable(tcp_, [this] {
    while (true) {
      const int fd =
          accept4(tcp_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) return;
      loop_.OnReadable(fd, [this, fd] {
        char buffer[1024];
        if (recv(fd, buffer, sizeof(buffer), 0) > 0) {
          constexpr char kAnswer[] =
              "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: "
              "close\r\n\r\n";
          send(fd, kAnswer, sizeof(kAnswer) - 1, MSG_NOSIGNAL);
        }
        loop_.Close(fd);
      });
    }
  });
  return true;
}

void Endpoint::ClosePorts() {
  if (udp_ >= 0) loop_.Close(udp_);
  if (tcp_ >= 0) loop_.Close(tcp_);
  udp_ = tcp_ = -1;
}

void Endpoint::Receive() {
  while (udp_ >= 0) {
    uint8_t bytes[2048];
    const ssize_t size = recv(udp_, bytes, sizeof(bytes), MSG_DONTWAIT);
    if (size < 0) return;
    if (static_cast<size_t>(size) < kInstanceBytes) continue;
    uint64_t intended = 0;
    for (size_t i = 0; i < kInstanceBytes; ++i) {
      intended = (intended << 8) | bytes[i];
    }
    if (intended != 0 && intended != instance_) continue;
    const auto packet = Decode(bytes + kInstanceBytes,
                               static_cast<size_t>(size) - kInstanceBytes);
    if (!packet.has_value() || !IsIntact(*packet)) {
      Record("UNASKED    %s got a packet that no client wrote so",
             settings_.id.c_str());
      continue;
    }
    Handle(*packet);
  }
}

void Endpoint::Handle(const Packet& packet) {
  const FlowId id{.client = packet.src,
                  .client_port = packet.sport,
                  .host = packet.dst,
                  .host_port = packet.dport};
  if ((packet.flags & kSyn) != 0) return HandleSyn(id, packet);
  const auto found = flows_.find(id);
  if ((packet.flags & kRst) != 0) {
    if (found != flows_.end()) flows_.erase(found);
    return;
  }
  if (found == flows_.end()) return Reset(id, packet);
  Flow& flow = found->second;
  flow.echo = packet.echo;
  if (!flow.open) {
    if (packet.ack != flow.first + 1) return Reset(id, packet);
    flow.open = true;
    Record("endpoint   %s has the flow %s:%u, echo %08x", settings_.id.c_str(),
           Text(id.client).c_str(), id.client_port, flow.echo);
  }
  if (packet.ack == flow.sent && !flow.unacknowledged.empty()) {
    flow.unacknowledged.clear();
    ++flow.timer;
  }
  if ((packet.flags & kFin) != 0) {
    SendPacket(id, flow, kFin | kAck, flow.sent, "");
    flows_.erase(id);
    return;
  }
  if (!packet.data.empty()) HandleData(id, flow, packet);
}

void Endpoint::HandleSyn(const FlowId& id, const Packet& packet) {
  Flow& flow = flows_[id];
  if (flow.open) return;
  if (flow.first == 0 || flow.client_seq != packet.seq) {
    flow = {.client_seq = packet.seq,
            .next = packet.seq + 1,
            .first = static_cast<uint32_t>(Random()) | 1};
    flow.sent = flow.first + 1;
    RepeatSynAck(id, flow.first, 0);
  }
  flow.echo = packet.echo;
  SendPacket(id, flow, kSyn | kAck, flow.first, "");
}

void Endpoint::RepeatSynAck(const FlowId& id, uint32_t first, int retransmits) {
  const Millis delay =
      std::min<Millis>(kFirstRetransmitMs << retransmits, 1600);
  loop_.After(delay, [this, id, first, retransmits, number = incarnation_] {
    const auto found = flows_.find(id);
    const bool due = number == incarnation_ && found != flows_.end() &&
                     found->second.first == first && !found->second.open;
    if (!due) return;
    if (retransmits == kMaxRetransmits) {
      flows_.erase(found);
      return;
    }
    SendPacket(id, found->second, kSyn | kAck, first, "");
    RepeatSynAck(id, first, retransmits + 1);
  });
}

void Endpoint::HandleData(const FlowId& id, Flow& flow, const Packet& packet) {
  if (packet.seq != flow.next) {
    // A copy of what is here already.
    SendPacket(id, flow, kAck, flow.sent, "");
    if (!flow.unacknowledged.empty()) SendResponse(id, flow);
    return;
  }
  flow.next += static_cast<uint32_t>(packet.data.size());
  flow.input += packet.data;
  SendPacket(id, flow, kAck, flow.sent, "");
  if (flow.input.find("\r\n\r\n") != std::string::npos) TakeRequest(id);
}

bool Endpoint::IsFull() const {
  return settings_.slots > 0 && running_requests_ + waiting_.size() >=
                                    settings_.slots + settings_.queue;
}

void Endpoint::TakeRequest(const FlowId& id) {
  std::string request = std::exchange(flows_[id].input, {});
  if (IsFull()) {
    Record("rejected   %s at %s", AttemptId(request).c_str(),
           settings_.id.c_str());
    return Answer(id, "503 Busy\r\nX-Not-Executed: 1", request);
  }
  waiting_.emplace_back(id, std::move(request));
  StartWaiting();
}

void Endpoint::StartWaiting() {
  while (!waiting_.empty() &&
         (settings_.slots == 0 || running_requests_ < settings_.slots)) {
    const auto [id, request] = std::move(waiting_.front());
    waiting_.pop_front();
    ++running_requests_;
    Record("run        %s at %s", AttemptId(request).c_str(),
           settings_.id.c_str());
    loop_.After(settings_.work_ms,
                [this, id = id, request = request, number = incarnation_] {
                  Respond(id, number, request);
                });
  }
  UpdateListener();
}

void Endpoint::UpdateListener() {
  if (settings_.slots == 0 || udp_ < 0) return;
  if (IsFull() && tcp_ >= 0) {
    loop_.Close(std::exchange(tcp_, -1));
  } else if (!IsFull() && tcp_ < 0) {
    Listen();
  }
}

void Endpoint::Respond(const FlowId& id, uint64_t incarnation,
                       const std::string& request) {
  if (incarnation != incarnation_) return;
  --running_requests_;
  Answer(id, "200 OK", request);
  StartWaiting();
}

void Endpoint::Answer(const FlowId& id, const std::string& status,
                      const std::string& request) {
  const auto found = flows_.find(id);
  if (found == flows_.end()) return;
  Flow& flow = found->second;
  const std::string body(kBodyBytes, 'x');
  flow.unacknowledged =
      "HTTP/1.1 " + status + "\r\nX-Server-Seal: " + settings_.id + "/" +
      AttemptId(request) +
      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  flow.sent += static_cast<uint32_t>(flow.unacknowledged.size());
  flow.retransmits = 0;
  SendResponse(id, flow);
  ScheduleRetransmit(id, flow);
}

void Endpoint::SendResponse(const FlowId& id, Flow& flow) {
  SendPacket(id, flow, kAck,
             flow.sent - static_cast<uint32_t>(flow.unacknowledged.size()),
             flow.unacknowledged);
}

void Endpoint::ScheduleRetransmit(const FlowId& id, Flow& flow) {
  const uint64_t timer = ++flow.timer;
  const Millis delay =
      std::min<Millis>(kFirstRetransmitMs << flow.retransmits, 1600);
  loop_.After(delay, [this, id, timer, number = incarnation_] {
    const auto found = flows_.find(id);
    const bool due = number == incarnation_ && found != flows_.end() &&
                     found->second.timer == timer &&
                     !found->second.unacknowledged.empty();
    if (!due || ++found->second.retransmits > kMaxRetransmits) return;
    SendResponse(id, found->second);
    ScheduleRetransmit(id, found->second);
  });
}

void Endpoint::Reset(const FlowId& id, const Packet& packet) {
  const Flow flow{.next = packet.seq, .echo = packet.echo};
  SendPacket(id, flow, kRst, packet.ack, "");
}

void Endpoint::SendPacket(const FlowId& id, const Flow& flow, uint8_t flags,
                          uint32_t seq, const std::string& data) {
  if (udp_ < 0) return;
  SendTo(udp_, {id.client, settings_.client_port},
         Encode({.flags = flags,
                 .echo = flow.echo,
                 .seq = seq,
                 .ack = flow.next,
                 .src = id.host,
                 .sport = id.host_port,
                 .dst = id.client,
                 .dport = id.client_port,
                 .data = data}));
}

void Endpoint::WriteEntry(uint64_t incarnation) {
  if (incarnation != incarnation_ || !running_) return;
  store_.Write("servers/" + settings_.id,
               "{\"service\":\"" + settings_.service + "\",\"address\":\"" +
                   Text(settings_.address) + "\",\"zone\":\"" + settings_.zone +
                   "\",\"version\":\"v1\",\"slots\":2,\"state\":\"ready\","
                   "\"coldLeftMs\":0,\"sequence\":" +
                   std::to_string(++sequence_) +
                   ",\"born\":" + std::to_string(born_) + "}");
}
