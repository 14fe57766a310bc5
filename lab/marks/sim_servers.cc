#include "lab/marks/sim_servers.h"

#include <array>
#include <utility>

#include "core/packet/bytes.h"
#include "lab/marks/http_message.h"

namespace knapweedlift::lab {
namespace {

constexpr size_t kAddresseeBytes = 8;
constexpr size_t kMaxBytes = 2'048;
constexpr size_t kAnswerBytes = 3'000;
// A leaving server must get no new flow this long after it said so.
constexpr Duration kNewWorkLimit{3'000};

uint64_t InstanceOf(std::span<const uint8_t> bytes) {
  return (static_cast<uint64_t>(ReadU32(bytes, 0)) << 32) | ReadU32(bytes, 4);
}

}  // namespace

SimServer::SimServer(std::string id, uint64_t instance, std::string service,
                     const Endpoint& endpoint, uint16_t caller_port)
    : id_(std::move(id)),
      instance_(instance),
      service_(std::move(service)),
      endpoint_(endpoint),
      caller_port_(caller_port),
      batch_(kMaxBytes) {}

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

void SimServer::SetState(SimState state, TimePoint now) {
  state_ = state;
  if (state == SimState::kLeaving) leaving_since_ = now;
  if (state != SimState::kDark) return;
  // A machine that is gone answers nothing, and knows nothing afterwards. Its
  // UDP socket stays, so that no other program gets the port.
  flows_.clear();
  tcp_ = FileDescriptor();
}

void SimServer::Run(TimePoint now, ServerTotals& totals,
                    std::set<std::string>& ran) {
  AcceptChecks();
  while (const size_t count = batch_.Receive(udp_)) {
    if (state_ == SimState::kDark) continue;
    for (size_t i = 0; i < count; ++i) {
      const std::span<const uint8_t> bytes = batch_.datagram(i);
      if (bytes.size() < kAddresseeBytes) continue;
      const uint64_t addressee = InstanceOf(bytes);
      if (addressee != 0 && addressee != instance_) continue;
      DecodedSegment decoded = DecodeSegment(bytes.subspan(kAddresseeBytes));
      if (decoded.invalid) {
        ++totals.forged;
        continue;
      }
      HandleSegment(*decoded.segment, now, totals);
    }
  }
  if (state_ == SimState::kDark) return;
  std::erase_if(flows_, [](const auto& item) {
    const auto& endpoint = item.second.endpoint;
    return endpoint != nullptr &&
           (endpoint->timed_out() ||
            (endpoint->peer_closed() && endpoint->fully_acknowledged()));
  });
  for (auto& [id, flow] : flows_) Serve(flow, now, totals, ran);
}

void SimServer::AcceptChecks() {
  if (!tcp_.valid()) return;
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
  if (HasFlag(segment, platform::kFlagSyn)) {
    TakeSyn(segment, id, now, totals);
    return;
  }
  const auto found = flows_.find(id);
  if (found == flows_.end()) {
    if (HasFlag(segment, platform::kFlagRst)) return;
    Segment reset{.header = MakeReplyHeader(segment.header)};
    reset.header.flags = platform::kFlagRst;
    reset.header.sequence = segment.header.acknowledged;
    Send(reset);
    return;
  }
  Flow& flow = found->second;
  flow.last_seen = now;
  if (HasFlag(segment, platform::kFlagRst)) {
    flows_.erase(found);
    return;
  }
  if (flow.endpoint == nullptr) {
    if (segment.header.acknowledged != flow.first_sequence + 1) return;
    flow.endpoint = std::make_unique<FlowEndpoint>(
        flow.header, flow.first_sequence + 1, flow.opening_sequence + 1);
  }
  flow.endpoint->HandleSegment(segment, now,
                               [this](const Segment& out) { Send(out); });
}

void SimServer::TakeSyn(const Segment& segment, const FlowId& id, TimePoint now,
                        ServerTotals& totals) {
  auto found = flows_.find(id);
  if (found == flows_.end() ||
      found->second.opening_sequence != segment.header.sequence) {
    const bool late =
        state_ == SimState::kLeaving && now - leaving_since_ > kNewWorkLimit;
    if (late) ++totals.late_new_work;
    flows_.erase(id);
    next_sequence_ += 100'000;
    found = flows_
                .emplace(id, Flow{.opening_sequence = segment.header.sequence,
                                  .first_sequence = next_sequence_,
                                  .header = MakeReplyHeader(segment.header),
                                  .last_seen = now})
                .first;
  }
  Flow& flow = found->second;
  Segment answer{.header = flow.header};
  answer.header.mark = segment.header.mark;
  answer.header.flags = platform::kFlagSyn | platform::kFlagAck;
  answer.header.sequence = flow.first_sequence;
  answer.header.acknowledged = segment.header.sequence + 1;
  Send(answer);
}

void SimServer::Serve(Flow& flow, TimePoint now, ServerTotals& totals,
                      std::set<std::string>& ran) {
  if (flow.endpoint == nullptr) return;
  flow.input += flow.endpoint->Read();
  while (const auto request = ConsumeHttpMessage(flow.input)) {
    ++totals.runs;
    if (!ran.insert(request->id).second) ++totals.doubled;
    requests_.insert(request->id);
    flow.endpoint->Write(FormatResponse(request->id, service_, kAnswerBytes));
    if (state_ == SimState::kLeaving) flow.endpoint->CloseWrite();
  }
  if (flow.endpoint->peer_closed()) flow.endpoint->CloseWrite();
  flow.endpoint->Tick(now, [this](const Segment& out) { Send(out); });
}

void SimServer::Send(const Segment& segment) {
  const std::vector<uint8_t> bytes = EncodeSegment(segment);
  const SocketAddress to = ToSocketAddress(
      {.address = segment.header.destination, .port = caller_port_});
  sendto(udp_.value(), bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr*>(&to.storage), to.size);
}

}  // namespace knapweedlift::lab
