#include "lab/marks/sim_server.h"

#include <sys/socket.h>

#include <utility>

#include "core/packet/bytes.h"
#include "lab/marks/http_message.h"

namespace knapweedlift::lab {
namespace {

constexpr size_t kInstanceHeaderBytes = 8;
constexpr size_t kMaxDatagramBytes = 2'048;
constexpr size_t kResponseBytes = 3'000;
// A server must receive no new flow once it has been draining for longer.
constexpr Duration kNewFlowGracePeriod{3'000};
constexpr int kAcceptBacklog = 128;
// Distance of the first sequence numbers of two servers, so that a sequence
// number tells which server opened a flow.
constexpr uint32_t kServerSequenceSpacing = 2'654'435'761;

uint64_t ParseInstance(std::span<const uint8_t> bytes) {
  return (static_cast<uint64_t>(ReadU32(bytes, 0)) << 32) | ReadU32(bytes, 4);
}

}  // namespace

SimServer::SimServer(std::string id, uint64_t instance, std::string service,
                     const Endpoint& endpoint, uint16_t client_port)
    : id_(std::move(id)),
      instance_(instance),
      service_(std::move(service)),
      endpoint_(endpoint),
      client_port_(client_port),
      next_server_sequence_(static_cast<uint32_t>(instance) *
                            kServerSequenceSpacing),
      batch_(kMaxDatagramBytes) {}

bool SimServer::Open() {
  auto udp = BindUdp(endpoint_, {.nonblocking = true});
  if (!udp.ok()) return false;
  udp_ = *std::move(udp);
  endpoint_ = LocalEndpoint(udp_);
  auto tcp = ListenTcp(endpoint_);
  if (!tcp.ok()) return false;
  tcp_ = *std::move(tcp);
  return true;
}

void SimServer::SetState(SimServerState state, TimePoint now) {
  state_ = state;
  if (state == SimServerState::kDraining) draining_since_ = now;
  if (state == SimServerState::kOverloaded && !flows_.empty()) {
    unanswered_ = &flows_.begin()->second;
  }
  // A crashed machine loses its flows and refuses connections. The UDP socket
  // stays bound, so that no other program gets the port.
  if (state == SimServerState::kUnreachable) flows_.clear();
  UpdateListener(now);
}

void SimServer::UpdateListener(TimePoint now) {
  switch (state_) {
    case SimServerState::kServing:
    case SimServerState::kDraining:
      return SetListener(Listener::kAccepts);
    case SimServerState::kUnreachable:
    case SimServerState::kOverloaded:
      return SetListener(Listener::kRefuses);
    case SimServerState::kSlow:
      return SetListener(queue_.size() < kMaxRequests ? Listener::kAccepts
                                                      : Listener::kRefuses);
    case SimServerState::kCutOff:
      return SetListener(Listener::kSilent);
    case SimServerState::kAcceptsLate:
      return SetListener(now.time_since_epoch() % kAcceptPeriod < kAcceptTime
                             ? Listener::kAccepts
                             : Listener::kSilent);
    case SimServerState::kPaused:
      return;
  }
}

void SimServer::SetListener(Listener listener) {
  if (listener == listener_) return;
  blocker_ = FileDescriptor();
  if (listener == Listener::kRefuses) {
    tcp_ = FileDescriptor();
    listener_ = listener;
    return;
  }
  if (!tcp_.valid()) {
    auto tcp = ListenTcp(endpoint_);
    // Tried again at the next run.
    if (!tcp.ok()) return;
    tcp_ = *std::move(tcp);
  }
  AcceptHealthChecks();
  listener_ = listener;
  if (listener == Listener::kAccepts) {
    listen(tcp_.value(), kAcceptBacklog);
    return;
  }
  // The kernel drops SYNs while the accept queue is full. A queue of length 0
  // holds one connection.
  listen(tcp_.value(), 0);
  const SocketAddress address = ToSocketAddress(endpoint_);
  blocker_ =
      FileDescriptor(socket(address.storage.ss_family,
                            SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  [[maybe_unused]] const int pending = connect(
      blocker_.value(), reinterpret_cast<const sockaddr*>(&address.storage),
      address.size);
}

void SimServer::Run(TimePoint now, ServerTotals& totals,
                    std::set<std::string>& executed_requests) {
  if (state_ == SimServerState::kPaused) return;
  UpdateListener(now);
  AcceptHealthChecks();
  ReceivePackets(now, totals);
  if (state_ == SimServerState::kUnreachable) return;
  if (state_ == SimServerState::kCutOff) {
    RecordWaitingOutput(now);
    return;
  }
  std::erase_if(flows_, [](const auto& item) {
    const auto& endpoint = item.second.endpoint;
    return endpoint != nullptr &&
           (endpoint->timed_out() ||
            (endpoint->peer_closed() && endpoint->fully_acknowledged()));
  });
  for (auto& [id, flow] : flows_) {
    ServeFlow(flow, now, totals, executed_requests);
  }
  ServeQueue(now);
  SendLateAnswers(now);
}

void SimServer::ReceivePackets(TimePoint now, ServerTotals& totals) {
  while (const size_t count = batch_.Receive(udp_)) {
    if (state_ == SimServerState::kUnreachable) continue;
    for (size_t i = 0; i < count; ++i) {
      const std::span<const uint8_t> bytes = batch_.datagram(i);
      if (bytes.size() < kInstanceHeaderBytes) continue;
      const uint64_t instance = ParseInstance(bytes);
      if (instance != 0 && instance != instance_) continue;
      DecodedSegment decoded =
          DecodeSegment(bytes.subspan(kInstanceHeaderBytes));
      if (decoded.invalid) {
        ++totals.invalid_packets;
        continue;
      }
      HandleSegment(*decoded.segment, now, totals);
    }
  }
}

void SimServer::RecordCutContact(const ServedFlowId& id, TimePoint now) {
  std::vector<TimePoint>& contacts = served_flows_[id];
  const bool recent =
      !contacts.empty() && now < contacts.back() + kCutContactInterval;
  if (!recent) contacts.push_back(now);
}

void SimServer::RecordWaitingOutput(TimePoint now) {
  for (const auto& [id, flow] : flows_) {
    const bool waits =
        flow.endpoint != nullptr &&
        (!flow.responses.empty() || !flow.endpoint->fully_acknowledged());
    if (waits) RecordCutContact({id, flow.server_sequence}, now);
  }
  for (const QueuedRequest& request : queue_) {
    RecordCutContact(request.flow, now);
  }
}

void SimServer::AppendFlowRecords(
    std::vector<ServedFlowRecord>& records) const {
  for (const auto& [id, contacts] : served_flows_) {
    records.push_back({.addresses = id.first,
                       .server_sequence = id.second,
                       .server = id_,
                       .cut_contacts = contacts});
  }
}

void SimServer::AcceptHealthChecks() {
  if (!tcp_.valid() || listener_ == Listener::kSilent) return;
  while (true) {
    const FileDescriptor accepted(accept(tcp_.value(), nullptr, nullptr));
    if (!accepted.valid()) return;
  }
}

void SimServer::HandleSegment(const Segment& segment, TimePoint now,
                              ServerTotals& totals) {
  const FlowId id{
      {segment.header.source, segment.header.source_port},
      {segment.header.destination, segment.header.destination_port}};
  const auto found = flows_.find(id);
  if (state_ == SimServerState::kCutOff) {
    if (found == flows_.end()) return;
    RecordCutContact({id, found->second.server_sequence}, now);
    return;
  }
  if (HasFlag(segment, platform::kFlagSyn)) {
    HandleSyn(segment, id, now, totals);
    return;
  }
  if (found == flows_.end()) {
    HandleUnknownFlow(segment, id, now, totals);
    return;
  }
  Flow& flow = found->second;
  flow.last_seen = now;
  if (HasFlag(segment, platform::kFlagRst)) {
    flows_.erase(found);
    return;
  }
  if (flow.endpoint == nullptr) {
    if (segment.header.acknowledged != flow.server_sequence + 1) {
      // The caller opened the flow at another server, which got a copy of the
      // SYN as well.
      foreign_packets_.push_back({.addresses = id, .server = id_, .at = now});
      return;
    }
    flow.endpoint = std::make_unique<FlowEndpoint>(
        flow.header, flow.server_sequence + 1, flow.client_sequence + 1);
  }
  flow.endpoint->HandleSegment(segment, now,
                               [this](const Segment& out) { Send(out); });
}

void SimServer::HandleUnknownFlow(const Segment& segment, const FlowId& id,
                                  TimePoint now, ServerTotals& totals) {
  if (HasFlag(segment, platform::kFlagRst)) return;
  if (!opened_flows_.contains(id)) {
    ++totals.foreign_packets;
    foreign_packets_.push_back({.addresses = id, .server = id_, .at = now});
  }
  Segment reset{.header = MakeReplyHeader(segment.header)};
  reset.header.flags = platform::kFlagRst;
  reset.header.sequence = segment.header.acknowledged;
  Send(reset);
}

void SimServer::HandleSyn(const Segment& segment, const FlowId& id,
                          TimePoint now, ServerTotals& totals) {
  if (syn_filter_ && !syn_filter_(segment.header, *this, now)) return;
  auto found = flows_.find(id);
  if (found == flows_.end() ||
      found->second.client_sequence != segment.header.sequence) {
    const bool late = state_ == SimServerState::kDraining &&
                      now - draining_since_ > kNewFlowGracePeriod;
    if (late) ++totals.late_flows;
    flows_.erase(id);
    opened_flows_.insert(id);
    next_server_sequence_ += 100'000;
    found = flows_
                .emplace(id, Flow{.client_sequence = segment.header.sequence,
                                  .server_sequence = next_server_sequence_,
                                  .header = MakeReplyHeader(segment.header),
                                  .last_seen = now})
                .first;
    served_flows_[{id, next_server_sequence_}];
  }
  Flow& flow = found->second;
  Segment syn_ack{.header = flow.header};
  syn_ack.header.mark = segment.header.mark;
  syn_ack.header.flags = platform::kFlagSyn | platform::kFlagAck;
  syn_ack.header.sequence = flow.server_sequence;
  syn_ack.header.acknowledged = segment.header.sequence + 1;
  if (state_ == SimServerState::kAcceptsLate) {
    late_answers_.push_back({.due = now + kLateAnswer, .syn_ack = syn_ack});
    return;
  }
  Send(syn_ack);
}

void SimServer::SendLateAnswers(TimePoint now) {
  while (!late_answers_.empty() && now >= late_answers_.front().due) {
    Send(late_answers_.front().syn_ack);
    late_answers_.pop_front();
  }
}

void SimServer::ServeFlow(Flow& flow, TimePoint now, ServerTotals& totals,
                          std::set<std::string>& executed_requests) {
  if (flow.endpoint == nullptr || &flow == unanswered_) return;
  flow.input += flow.endpoint->Read();
  while (const auto request = ConsumeHttpMessage(flow.input)) {
    ++totals.executed;
    if (!executed_requests.insert(request->id).second) ++totals.duplicates;
    requests_.insert(request->id);
    if (state_ == SimServerState::kSlow && queue_.size() < kMaxRequests) {
      const FlowId id{{flow.header.destination, flow.header.destination_port},
                      {flow.header.source, flow.header.source_port}};
      queue_.push_back({{id, flow.server_sequence}, request->id});
      continue;
    }
    if (state_ == SimServerState::kSlow) {
      RespondTo(flow, FormatRejection(request->id, service_));
      continue;
    }
    flow.responses.emplace_back(now + response_delay_, request->id);
  }
  while (!flow.responses.empty() && now >= flow.responses.front().first) {
    RespondTo(flow, FormatResponse(flow.responses.front().second, service_,
                                   kResponseBytes));
    flow.responses.pop_front();
  }
  if (flow.endpoint->peer_closed() && flow.responses.empty())
    flow.endpoint->CloseWrite();
  flow.endpoint->Tick(now, [this](const Segment& out) { Send(out); });
}

void SimServer::RespondTo(Flow& flow, const std::string& response) {
  flow.endpoint->Write(response);
  if (state_ == SimServerState::kDraining) flow.endpoint->CloseWrite();
}

void SimServer::ServeQueue(TimePoint now) {
  while (!queue_.empty()) {
    if (state_ == SimServerState::kSlow) {
      if (now < next_service_at_) return;
      next_service_at_ = now + kSlowServiceTime;
    }
    const QueuedRequest request = std::move(queue_.front());
    queue_.pop_front();
    const auto found = flows_.find(request.flow.first);
    const bool open = found != flows_.end() &&
                      found->second.server_sequence == request.flow.second;
    if (!open) continue;
    RespondTo(found->second,
              FormatResponse(request.id, service_, kResponseBytes));
  }
}

void SimServer::Send(const Segment& segment) {
  const std::vector<uint8_t> bytes = EncodeSegment(segment);
  const SocketAddress to = ToSocketAddress(
      {.address = segment.header.destination, .port = client_port_});
  sendto(udp_.value(), bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr*>(&to.storage), to.size);
}

}  // namespace knapweedlift::lab
