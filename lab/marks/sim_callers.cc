#include "lab/marks/sim_callers.h"

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/str_cat.h"
#include "lab/marks/http_message.h"

namespace knapweedlift::lab {
namespace {

constexpr size_t kMaxDatagramBytes = 2'048;
// When copies of a SYN are sent, after the first one, and when it is given up.
constexpr std::array<Duration, 2> kCopyTimes = {Duration(200), Duration(400)};
constexpr Duration kLastCopyWait{800};
constexpr Duration kPause{150};
constexpr Duration kRequestDeadline{8'000};

}  // namespace

void AddTotals(CallerTotals& sum, const CallerTotals& totals) {
  sum.flows += totals.flows;
  sum.opened += totals.opened;
  sum.answers += totals.answers;
  sum.broken += totals.broken;
  sum.refused += totals.refused;
  sum.lost += totals.lost;
  sum.wrong_service += totals.wrong_service;
  sum.wrong_answers += totals.wrong_answers;
  sum.latency_ms.insert(sum.latency_ms.end(), totals.latency_ms.begin(),
                        totals.latency_ms.end());
}

SimCallers::SimCallers(std::string domain, const IpAddress& address,
                       uint16_t port,
                       const std::vector<CalledService>& services,
                       uint64_t seed)
    : domain_(std::move(domain)),
      address_(address),
      port_(port),
      services_(services),
      random_(seed),
      totals_(services.size()),
      batch_(kMaxDatagramBytes) {}

bool SimCallers::Open() {
  auto socket =
      BindUdp({.address = address_, .port = port_}, {.nonblocking = true});
  if (!socket.ok()) return false;
  socket_ = *std::move(socket);
  return true;
}

void SimCallers::StartLongFlows(int for_each_service) {
  for (size_t service = 0; service < services_.size(); ++service) {
    for (int i = 0; i < for_each_service; ++i) {
      StartFlow(service, true, TimePoint{});
    }
  }
}

void SimCallers::SetShortRate(double per_second, TimePoint now) {
  short_rate_ = per_second;
  next_short_at_ = now;
}

void SimCallers::StartFlow(size_t service, bool long_lived, TimePoint now) {
  while (flows_.contains(next_port_)) ++next_port_;
  Flow& flow = flows_[next_port_];
  flow.service = service;
  flow.key = {.source = address_,
              .destination = services_[service].address.address,
              .source_port = next_port_,
              .destination_port = services_[service].address.port};
  flow.long_lived = long_lived;
  flow.sequence = static_cast<uint32_t>(random_());
  flow.next_copy_at = now;
  ++next_port_;
  ++totals_[service].flows;
}

void SimCallers::Run(TimePoint now, const SimRouter& router) {
  while (const size_t count = batch_.Receive(socket_)) {
    for (size_t i = 0; i < count; ++i) {
      const DecodedSegment decoded = DecodeSegment(batch_.datagram(i));
      if (decoded.segment.has_value() && !decoded.invalid) {
        HandleSegment(*decoded.segment, now, router);
      }
    }
  }
  while (!finishing_ && now >= next_short_at_) {
    next_short_at_ += Duration(static_cast<int64_t>(1'000 / short_rate_) + 1);
    StartFlow(random_() % services_.size(), false, now);
  }
  for (auto& [port, flow] : flows_) RunFlow(flow, now, router);
  std::erase_if(flows_, [](const auto& item) { return item.second.over; });
  // Whoever lost a long flow opens another.
  for (const size_t service : std::exchange(lost_long_flows_, {})) {
    if (!finishing_) StartFlow(service, true, now);
  }
}

void SimCallers::HandleSegment(const Segment& segment, TimePoint now,
                               const SimRouter& router) {
  const auto found = flows_.find(segment.header.destination_port);
  if (found == flows_.end() || found->second.over) return;
  Flow& flow = found->second;
  const bool theirs = segment.header.source == flow.key.destination &&
                      segment.header.source_port == flow.key.destination_port;
  if (!theirs) return;
  if (HasFlag(segment, platform::kFlagRst)) {
    TakeReset(flow);
    return;
  }
  if (HasFlag(segment, platform::kFlagSyn)) {
    if (flow.endpoint != nullptr) return;
    platform::PacketHeader header = MakeReplyHeader(segment.header);
    flow.endpoint = std::make_unique<FlowEndpoint>(header, flow.sequence + 1,
                                                   segment.header.sequence + 1);
    ++totals_[flow.service].opened;
    flow.next_request_at = now;
    return;
  }
  if (flow.endpoint == nullptr) return;
  flow.endpoint->HandleSegment(segment, now,
                               [&](const Segment& out) { Send(out, router); });
}

void SimCallers::TakeReset(Flow& flow) {
  if (flow.endpoint == nullptr) {
    GiveUp(flow, &CallerTotals::refused);
    return;
  }
  if (flow.endpoint->peer_closed()) {
    flow.over = true;
    return;
  }
  GiveUp(flow, &CallerTotals::broken);
}

void SimCallers::GiveUp(Flow& flow, uint64_t CallerTotals::*counter) {
  ++(totals_[flow.service].*counter);
  flow.over = true;
  if (flow.long_lived) lost_long_flows_.push_back(flow.service);
}

void SimCallers::RunFlow(Flow& flow, TimePoint now, const SimRouter& router) {
  if (flow.over) return;
  if (flow.endpoint == nullptr) {
    if (now >= flow.next_copy_at) SendSyn(flow, now, router);
    return;
  }
  TakeAnswers(flow, now);
  const bool ended = flow.endpoint->peer_closed() ||
                     (finishing_ && flow.request.empty()) ||
                     (!flow.long_lived && flow.asked_at != TimePoint{} &&
                      flow.request.empty());
  if (ended) flow.endpoint->CloseWrite();
  if (!ended && flow.request.empty() && now >= flow.next_request_at) {
    Ask(flow, now);
  }
  flow.endpoint->Tick(now, [&](const Segment& out) { Send(out, router); });
  if (flow.endpoint->peer_closed() && flow.endpoint->fully_acknowledged())
    flow.over = true;
  const bool late =
      !flow.request.empty() && now - flow.asked_at > kRequestDeadline;
  if (late || flow.endpoint->timed_out()) GiveUp(flow, &CallerTotals::lost);
}

void SimCallers::SendSyn(Flow& flow, TimePoint now, const SimRouter& router) {
  const auto copies = static_cast<size_t>(flow.copies);
  if (copies > kCopyTimes.size()) {
    GiveUp(flow, &CallerTotals::lost);
    return;
  }
  flow.next_copy_at =
      now + (copies < kCopyTimes.size() ? kCopyTimes[copies] : kLastCopyWait);
  Segment syn;
  syn.header = {.flags = platform::kFlagSyn,
                .sequence = flow.sequence,
                .acknowledged = static_cast<uint32_t>(flow.copies),
                .source = flow.key.source,
                .source_port = flow.key.source_port,
                .destination = flow.key.destination,
                .destination_port = flow.key.destination_port};
  ++flow.copies;
  Send(syn, router);
}

void SimCallers::Ask(Flow& flow, TimePoint now) {
  flow.request = absl::StrCat(domain_, "-", next_request_++);
  flow.asked_at = now;
  flow.endpoint->Write(FormatRequest(flow.request));
}

void SimCallers::TakeAnswers(Flow& flow, TimePoint now) {
  flow.input += flow.endpoint->Read();
  while (const auto answer = ConsumeHttpMessage(flow.input)) {
    CallerTotals& totals = totals_[flow.service];
    if (answer->service != services_[flow.service].name) ++totals.wrong_service;
    if (answer->id != flow.request || !answer->body_valid)
      ++totals.wrong_answers;
    ++totals.answers;
    totals.latency_ms.push_back(
        static_cast<double>((now - flow.asked_at).count()));
    flow.request.clear();
    flow.next_request_at =
        now + Duration(static_cast<int64_t>(random_() % (2 * kPause.count())));
  }
}

void SimCallers::Send(const Segment& segment, const SimRouter& router) {
  const FlowKey key{.source = segment.header.source,
                    .destination = segment.header.destination,
                    .source_port = segment.header.source_port,
                    .destination_port = segment.header.destination_port};
  const auto target = router.SelectVm(domain_, key);
  if (!target.has_value()) return;
  const std::vector<uint8_t> bytes = EncodeSegment(segment);
  const SocketAddress to = ToSocketAddress(*target);
  sendto(socket_.value(), bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr*>(&to.storage), to.size);
}

bool SimCallers::idle() const {
  return std::all_of(flows_.begin(), flows_.end(), [](const auto& item) {
    return item.second.request.empty() && item.second.endpoint != nullptr;
  });
}

}  // namespace knapweedlift::lab
