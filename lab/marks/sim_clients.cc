#include "lab/marks/sim_clients.h"

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/str_cat.h"
#include "lab/marks/http_message.h"

namespace knapweedlift::lab {
namespace {

constexpr size_t kMaxDatagramBytes = 2'048;
// Delays after the first SYN and its first retransmission, and how long to wait
// after the last retransmission before the flow times out.
constexpr std::array<Duration, 2> kSynRetransmitTimeouts = {Duration(200),
                                                            Duration(400)};
constexpr Duration kFinalSynTimeout{800};
constexpr Duration kMeanThinkTime{150};
constexpr Duration kRequestDeadline{8'000};

}  // namespace

void AddTotals(ClientTotals& sum, const ClientTotals& totals) {
  sum.flows += totals.flows;
  sum.established += totals.established;
  sum.responses += totals.responses;
  sum.reset_flows += totals.reset_flows;
  sum.flows_reset_by_vms += totals.flows_reset_by_vms;
  sum.refused_flows += totals.refused_flows;
  sum.timeouts += totals.timeouts;
  sum.wrong_service += totals.wrong_service;
  sum.wrong_responses += totals.wrong_responses;
  sum.latency_ms.insert(sum.latency_ms.end(), totals.latency_ms.begin(),
                        totals.latency_ms.end());
}

SimClients::SimClients(std::string domain, const IpAddress& address,
                       uint16_t port,
                       const std::vector<ServiceAddress>& services,
                       uint64_t seed)
    : domain_(std::move(domain)),
      address_(address),
      port_(port),
      services_(services),
      random_(seed),
      totals_(services.size()),
      batch_(kMaxDatagramBytes) {}

bool SimClients::Open() {
  auto socket =
      BindUdp({.address = address_, .port = port_}, {.nonblocking = true});
  if (!socket.ok()) return false;
  socket_ = *std::move(socket);
  return true;
}

void SimClients::StartLongFlows(int flows_per_service) {
  for (size_t service = 0; service < services_.size(); ++service) {
    for (int i = 0; i < flows_per_service; ++i) {
      StartFlow(service, true, TimePoint{});
    }
  }
}

void SimClients::SetShortFlowRate(double per_second, TimePoint now) {
  short_flow_rate_ = per_second;
  next_short_flow_at_ = now;
}

void SimClients::StartFlow(size_t service, bool long_lived, TimePoint now) {
  while (flows_.contains(next_port_)) ++next_port_;
  Flow& flow = flows_[next_port_];
  flow.service = service;
  flow.key = {.source = address_,
              .destination = services_[service].address.address,
              .source_port = next_port_,
              .destination_port = services_[service].address.port};
  flow.long_lived = long_lived;
  flow.sequence = static_cast<uint32_t>(random_());
  flow.next_syn_at = now;
  ++next_port_;
  ++totals_[service].flows;
}

void SimClients::Run(TimePoint now, const SimRouter& router) {
  while (const size_t count = batch_.Receive(socket_)) {
    for (size_t i = 0; i < count; ++i) {
      const DecodedSegment decoded = DecodeSegment(batch_.datagram(i));
      if (decoded.segment.has_value() && !decoded.invalid) {
        HandleSegment(*decoded.segment, now, router);
      }
    }
  }
  while (!finishing_ && now >= next_short_flow_at_) {
    next_short_flow_at_ +=
        Duration(static_cast<int64_t>(1'000 / short_flow_rate_) + 1);
    StartFlow(random_() % services_.size(), false, now);
  }
  for (auto& [port, flow] : flows_) RunFlow(flow, now, router);
  std::erase_if(flows_, [this, now](const auto& item) {
    const Flow& flow = item.second;
    if (flow.closed && flow.endpoint != nullptr) {
      ended_flows_.push_back(RecordOf(flow, flow.end, now));
    }
    return flow.closed;
  });
  // Replaces long flows that failed.
  for (const size_t service : std::exchange(failed_long_flows_, {})) {
    if (!finishing_) StartFlow(service, true, now);
  }
}

void SimClients::HandleSegment(const Segment& segment, TimePoint now,
                               const SimRouter& router) {
  const auto found = flows_.find(segment.header.destination_port);
  if (found == flows_.end() || found->second.closed) return;
  Flow& flow = found->second;
  const bool from_service =
      segment.header.source == flow.key.destination &&
      segment.header.source_port == flow.key.destination_port;
  if (!from_service) return;
  if (HasFlag(segment, platform::kFlagRst)) {
    // VMs do not know the key of the checksum.
    HandleReset(flow, segment.header.checksum == 0);
    return;
  }
  if (HasFlag(segment, platform::kFlagSyn)) {
    if (flow.endpoint != nullptr) {
      // Also a late SYN+ACK of another server sets the mark that is echoed.
      flow.endpoint->SetMark(segment.header.mark);
      return;
    }
    platform::PacketHeader header = MakeReplyHeader(segment.header);
    flow.endpoint = std::make_unique<FlowEndpoint>(header, flow.sequence + 1,
                                                   segment.header.sequence + 1);
    flow.server_sequence = segment.header.sequence;
    flow.opened_at = now;
    ++totals_[flow.service].established;
    flow.next_request_at = now;
    return;
  }
  if (flow.endpoint == nullptr) return;
  flow.endpoint->HandleSegment(segment, now,
                               [&](const Segment& out) { Send(out, router); });
}

void SimClients::HandleReset(Flow& flow, bool sent_by_vm) {
  if (flow.endpoint == nullptr) {
    FailFlow(flow, &ClientTotals::refused_flows);
    return;
  }
  if (flow.endpoint->peer_closed()) {
    flow.closed = true;
    return;
  }
  if (sent_by_vm) ++totals_[flow.service].flows_reset_by_vms;
  flow.end = sent_by_vm ? FlowEnd::kResetByVm : FlowEnd::kResetByServer;
  FailFlow(flow, &ClientTotals::reset_flows);
}

void SimClients::FailFlow(Flow& flow, uint64_t ClientTotals::*counter) {
  ++(totals_[flow.service].*counter);
  flow.closed = true;
  if (flow.long_lived) failed_long_flows_.push_back(flow.service);
}

void SimClients::RunFlow(Flow& flow, TimePoint now, const SimRouter& router) {
  if (flow.closed) return;
  if (flow.endpoint == nullptr) {
    if (now >= flow.next_syn_at) SendSyn(flow, now, router);
    return;
  }
  HandleResponses(flow, now);
  const bool ended = flow.endpoint->peer_closed() ||
                     (finishing_ && flow.request.empty()) ||
                     (!flow.long_lived && flow.request_sent_at != TimePoint{} &&
                      flow.request.empty());
  if (ended) flow.endpoint->CloseWrite();
  if (!ended && flow.request.empty() && now >= flow.next_request_at) {
    SendRequest(flow, now);
  }
  flow.endpoint->Tick(now, [&](const Segment& out) { Send(out, router); });
  if (flow.endpoint->peer_closed() && flow.endpoint->fully_acknowledged()) {
    flow.closed = true;
  }
  const bool overdue =
      !flow.request.empty() && now - flow.request_sent_at > kRequestDeadline;
  if (overdue || flow.endpoint->timed_out()) {
    flow.end = FlowEnd::kTimedOut;
    FailFlow(flow, &ClientTotals::timeouts);
  }
}

void SimClients::SendSyn(Flow& flow, TimePoint now, const SimRouter& router) {
  const auto syn_count = static_cast<size_t>(flow.syn_count);
  if (syn_count > kSynRetransmitTimeouts.size()) {
    FailFlow(flow, &ClientTotals::timeouts);
    return;
  }
  flow.next_syn_at = now + (syn_count < kSynRetransmitTimeouts.size()
                                ? kSynRetransmitTimeouts[syn_count]
                                : kFinalSynTimeout);
  Segment syn;
  syn.header = {.flags = platform::kFlagSyn,
                .sequence = flow.sequence,
                .acknowledged = static_cast<uint32_t>(flow.syn_count),
                .source = flow.key.source,
                .source_port = flow.key.source_port,
                .destination = flow.key.destination,
                .destination_port = flow.key.destination_port};
  ++flow.syn_count;
  Send(syn, router);
}

void SimClients::SendRequest(Flow& flow, TimePoint now) {
  flow.request = absl::StrCat(domain_, "-", next_request_++);
  flow.request_sent_at = now;
  flow.endpoint->Write(FormatRequest(flow.request));
}

void SimClients::HandleResponses(Flow& flow, TimePoint now) {
  flow.received += flow.endpoint->Read();
  while (const auto response = ConsumeHttpMessage(flow.received)) {
    ClientTotals& totals = totals_[flow.service];
    if (response->service != services_[flow.service].name) {
      ++totals.wrong_service;
    }
    if (response->id != flow.request || !response->body_valid) {
      ++totals.wrong_responses;
    }
    ++totals.responses;
    totals.latency_ms.push_back(
        static_cast<double>((now - flow.request_sent_at).count()));
    flow.request.clear();
    flow.next_request_at = now + Duration(static_cast<int64_t>(
                                     random_() % (2 * kMeanThinkTime.count())));
  }
}

ClientFlowRecord SimClients::RecordOf(const Flow& flow, FlowEnd end,
                                      TimePoint now) {
  return {.addresses = {{flow.key.source, flow.key.source_port},
                        {flow.key.destination, flow.key.destination_port}},
          .server_sequence = flow.server_sequence,
          .opened_at = flow.opened_at,
          .end = end,
          .ended_at = now,
          .waiting_since =
              flow.request.empty() ? TimePoint::max() : flow.request_sent_at};
}

void SimClients::AppendFlowRecords(
    TimePoint now, std::vector<ClientFlowRecord>& records) const {
  records.insert(records.end(), ended_flows_.begin(), ended_flows_.end());
  for (const auto& [port, flow] : flows_) {
    if (flow.endpoint == nullptr) continue;
    records.push_back(RecordOf(flow, FlowEnd::kOpen, now));
  }
}

void SimClients::Send(const Segment& segment, const SimRouter& router) {
  const FlowKey key{.source = segment.header.source,
                    .destination = segment.header.destination,
                    .source_port = segment.header.source_port,
                    .destination_port = segment.header.destination_port};
  const auto vm = router.SelectVm(domain_, key);
  if (!vm.has_value()) return;
  const std::vector<uint8_t> bytes = EncodeSegment(segment);
  const SocketAddress to = ToSocketAddress(*vm);
  sendto(socket_.value(), bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr*>(&to.storage), to.size);
}

bool SimClients::idle() const {
  return std::all_of(flows_.begin(), flows_.end(), [](const auto& item) {
    return item.second.request.empty() && item.second.endpoint != nullptr;
  });
}

}  // namespace knapweedlift::lab
