#include "lab/clients.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

#include "core/packet/geneve.h"
#include "core/packet/inner_packet.h"
#include "core/sheet/sheet_parser.h"
#include "drivers/clock.h"
#include "drivers/packet_batch.h"
#include "lab/datagrams.h"
#include "lab/packet_codec.h"
#include "lab/request.h"
#include "lab/stop_signal.h"
#include "lab/text_file.h"

namespace knapweedlift::lab {
namespace {

constexpr Duration kInitialRetransmitTimeout{300};
constexpr Duration kMaxRetransmitTimeout{3'000};
// Requests and connection attempts without a response fail after this time.
constexpr Duration kResponseTimeout{20'000};
constexpr Duration kMeanThinkTime{1'000};
constexpr int kRequestsPerShortFlow = 3;
// The openings of long flows are spread over this time.
constexpr Duration kRampUpTime{4'000};
// No requests are started in this last part of the run, so that the responses
// to earlier ones can arrive.
constexpr Duration kWindDownTime{3'000};
constexpr int kReceiveTimeoutMs = 1;
constexpr uint32_t kInitialSequence = 5'000;
constexpr uint16_t kFirstPort = 10'000;
constexpr uint32_t kPortsPerAddress = 50'000;

enum class FlowPhase : uint8_t {
  kOpening,
  kIdle,
  kAwaitingResponse,
  kClosing,
  kClosed
};

struct Flow {
  FlowKey key;
  size_t service = 0;
  FlowPhase phase = FlowPhase::kOpening;
  bool long_lived = false;
  uint32_t sequence = kInitialSequence;
  uint32_t acknowledged = 0;
  uint64_t request_id = 0;
  int remaining_requests = 0;
  int attempts = 0;
  TimePoint due;
  TimePoint response_deadline;
  int64_t request_started_ns = 0;
};

// Counters of one service.
struct ServiceTotals {
  uint64_t flows = 0;
  uint64_t opened = 0;
  uint64_t broken = 0;
  uint64_t refused = 0;
  uint64_t lost_responses = 0;
  uint64_t wrong_responses = 0;
  uint64_t responses = 0;
  uint64_t retransmits = 0;
  std::vector<double> latency_ms;
};

double Percentile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  const auto index =
      static_cast<size_t>(fraction * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<ptrdiff_t>(index),
                   values.end());
  return values[index];
}

class Clients {
 public:
  Clients(const ClientOptions& options, const Sheet& sheet,
          FileDescriptor socket)
      : options_(options),
        sheet_(sheet),
        socket_(std::move(socket)),
        random_(options.seed),
        totals_(sheet.services.size()) {}

  void Run() {
    start_ = Now();
    const TimePoint end = start_ + std::chrono::seconds(options_.duration_s);
    wind_down_start_ = end - kWindDownTime;
    OpenLongFlows();
    next_short_flow_at_ = start_ + kRampUpTime;
    while (Now() < end && !StopRequested()) {
      const TimePoint now = Now();
      OpenShortFlows(now);
      RunTimers(now);
      const size_t count =
          batch_.ReceiveWithTimeout(socket_, kReceiveTimeoutMs);
      for (size_t i = 0; i < count; ++i) HandleDatagram(batch_.datagram(i));
    }
    CountOutstandingAsLost();
  }

  nlohmann::json Result() const {
    nlohmann::json result = nlohmann::json::array();
    for (size_t i = 0; i < totals_.size(); ++i) {
      const ServiceTotals& totals = totals_[i];
      result.push_back(
          {{"service", sheet_.services[i].name},
           {"tenant", sheet_.services[i].tenant},
           {"flows", totals.flows},
           {"opened", totals.opened},
           {"broken_flows", totals.broken},
           {"refused", totals.refused},
           {"lost_answers", totals.lost_responses},
           {"wrong_answers", totals.wrong_responses},
           {"answers", totals.responses},
           {"retransmits", totals.retransmits},
           {"latency_ms_p50", Percentile(totals.latency_ms, 0.50)},
           {"latency_ms_p99", Percentile(totals.latency_ms, 0.99)},
           {"latency_ms_p999", Percentile(totals.latency_ms, 0.999)}});
    }
    return result;
  }

 private:
  using Timer = std::pair<TimePoint, size_t>;

  FlowKey NextFlowKey(const Service& service) {
    const uint32_t number = next_flow_number_++;
    const uint32_t host = number / kPortsPerAddress + 1;
    const std::string source = IsV4(service.address.address)
                                   ? "10.99.0." + std::to_string(host)
                                   : "2001:db8:99::" + std::to_string(host);
    return {.source = *ParseIpAddress(source),
            .destination = service.address.address,
            .source_port =
                static_cast<uint16_t>(kFirstPort + number % kPortsPerAddress),
            .destination_port = service.address.port,
            .protocol = service.protocol};
  }

  void OpenFlow(size_t service_index, bool long_lived, TimePoint when) {
    const Service& service = sheet_.services[service_index];
    const size_t index = flows_.size();
    Flow flow;
    flow.key = NextFlowKey(service);
    flow.service = service_index;
    flow.long_lived = long_lived;
    flow.remaining_requests = long_lived ? -1 : kRequestsPerShortFlow;
    flow.response_deadline = when + kResponseTimeout;
    const bool udp = service.protocol == kProtocolUdp;
    if (udp) flow.phase = FlowPhase::kIdle;
    flow_by_response_key_[Reverse(flow.key)] = index;
    flows_.push_back(flow);
    ++totals_[service_index].flows;
    if (udp) ++totals_[service_index].opened;
    Schedule(index, when);
  }

  void OpenLongFlows() {
    const auto ramp = kRampUpTime.count();
    std::uniform_int_distribution<int64_t> delay(0, ramp);
    for (size_t s = 0; s < sheet_.services.size(); ++s) {
      for (uint32_t i = 0; i < options_.long_flows; ++i) {
        OpenFlow(s, true, start_ + Duration(delay(random_)));
      }
    }
  }

  void OpenShortFlows(TimePoint now) {
    if (options_.short_flows_per_second == 0) return;
    const Duration gap(1'000 / options_.short_flows_per_second);
    while (next_short_flow_at_ <= now && now < wind_down_start_) {
      for (size_t s = 0; s < sheet_.services.size(); ++s) {
        OpenFlow(s, false, now);
      }
      next_short_flow_at_ += gap;
    }
  }

  void Schedule(size_t index, TimePoint when) {
    flows_[index].due = when;
    timers_.push({when, index});
  }

  void RunTimers(TimePoint now) {
    while (!timers_.empty() && timers_.top().first <= now) {
      const auto [due, index] = timers_.top();
      timers_.pop();
      // The timer is obsolete if the flow has been rescheduled since.
      if (flows_[index].due == due) HandleTimer(index, now);
    }
  }

  void HandleTimer(size_t index, TimePoint now) {
    Flow& flow = flows_[index];
    switch (flow.phase) {
      case FlowPhase::kClosed:
        return;
      case FlowPhase::kIdle:
        StartNextRequest(index, now);
        return;
      case FlowPhase::kOpening:
      case FlowPhase::kAwaitingResponse:
      case FlowPhase::kClosing:
        Transmit(index, now);
        return;
    }
  }

  void StartNextRequest(size_t index, TimePoint now) {
    Flow& flow = flows_[index];
    if (now >= wind_down_start_) return;
    if (flow.remaining_requests == 0) {
      flow.phase = flow.key.protocol == kProtocolUdp ? FlowPhase::kClosed
                                                     : FlowPhase::kClosing;
    } else {
      flow.request_id = next_request_id_++;
      if (flow.remaining_requests > 0) --flow.remaining_requests;
      flow.phase = FlowPhase::kAwaitingResponse;
    }
    flow.attempts = 0;
    flow.response_deadline = now + kResponseTimeout;
    flow.request_started_ns = NowNanoseconds();
    if (flow.phase != FlowPhase::kClosed) Transmit(index, now);
  }

  // Sends or retransmits the flow's outstanding packet and schedules the next
  // retransmission with exponential backoff.
  void Transmit(size_t index, TimePoint now) {
    Flow& flow = flows_[index];
    ServiceTotals& totals = totals_[flow.service];
    if (flow.attempts > 0 && now >= flow.response_deadline) {
      HandleTimeout(flow, totals);
      return;
    }
    if (flow.attempts > 0) ++totals.retransmits;
    Segment segment{.key = flow.key,
                    .sequence = flow.sequence,
                    .acknowledged = flow.acknowledged,
                    .flags = kAck};
    if (flow.phase == FlowPhase::kOpening) segment.flags = kSyn;
    if (flow.phase == FlowPhase::kClosing) segment.flags = kFin | kAck;
    if (flow.phase == FlowPhase::kAwaitingResponse) {
      segment.payload = BuildRequest(flow.request_id);
    }
    SendDatagram(socket_, options_.fabric, BuildGeneveDatagram(0, segment));
    const Duration timeout =
        std::min(kMaxRetransmitTimeout,
                 kInitialRetransmitTimeout * (1 << flow.attempts));
    flow.attempts = std::min(flow.attempts + 1, 8);
    Schedule(index, now + timeout);
  }

  static void HandleTimeout(Flow& flow, ServiceTotals& totals) {
    // An unacknowledged FIN is not counted: all requests of the flow have been
    // answered.
    if (flow.phase == FlowPhase::kAwaitingResponse) ++totals.lost_responses;
    if (flow.phase == FlowPhase::kOpening) ++totals.refused;
    flow.phase = FlowPhase::kClosed;
  }

  void HandleDatagram(std::span<const uint8_t> datagram) {
    const GeneveParseResult outer = ParseGeneve(datagram);
    if (!outer.packet.has_value()) return;
    const auto segment = ParsePacket(outer.packet->payload);
    if (!segment.has_value()) return;
    const auto found = flow_by_response_key_.find(segment->key);
    if (found == flow_by_response_key_.end()) return;
    HandleSegment(found->second, *segment);
  }

  void HandleSegment(size_t index, const Segment& segment) {
    Flow& flow = flows_[index];
    ServiceTotals& totals = totals_[flow.service];
    if (flow.phase == FlowPhase::kClosed) return;
    if ((segment.flags & kRst) != 0) {
      ++(flow.phase == FlowPhase::kOpening ? totals.refused : totals.broken);
      flow.phase = FlowPhase::kClosed;
      return;
    }
    if ((segment.flags & kSyn) != 0) {
      HandleSynAck(index, segment);
      return;
    }
    if ((segment.flags & kFin) != 0) {
      flow.phase = FlowPhase::kClosed;
      return;
    }
    if (!segment.payload.empty()) HandleResponse(index, segment);
  }

  void HandleSynAck(size_t index, const Segment& segment) {
    Flow& flow = flows_[index];
    if (flow.phase != FlowPhase::kOpening) return;
    ++totals_[flow.service].opened;
    flow.sequence += 1;
    flow.acknowledged = segment.sequence + 1;
    flow.phase = FlowPhase::kIdle;
    flow.attempts = 0;
    Schedule(index, Now());
  }

  void HandleResponse(size_t index, const Segment& segment) {
    Flow& flow = flows_[index];
    ServiceTotals& totals = totals_[flow.service];
    const uint64_t id = ParseResponseId(segment.payload);
    const bool stale = id != 0 && id < flow.request_id;
    if (flow.phase != FlowPhase::kAwaitingResponse || stale) return;
    if (id != flow.request_id) {
      ++totals.wrong_responses;
      return;
    }
    constexpr double kNanosecondsPerMillisecond = 1e6;
    totals.latency_ms.push_back(
        static_cast<double>(NowNanoseconds() - flow.request_started_ns) /
        kNanosecondsPerMillisecond);
    ++totals.responses;
    if (flow.key.protocol == kProtocolTcp) {
      flow.sequence += static_cast<uint32_t>(BuildRequest(id).size());
    }
    flow.phase = FlowPhase::kIdle;
    std::uniform_int_distribution<int64_t> think_time(
        1, 2 * kMeanThinkTime.count());
    const Duration pause(flow.long_lived ? think_time(random_) : 1);
    Schedule(index, Now() + pause);
  }

  void CountOutstandingAsLost() {
    for (const Flow& flow : flows_) {
      if (flow.phase == FlowPhase::kAwaitingResponse) {
        ++totals_[flow.service].lost_responses;
      }
    }
  }

  const ClientOptions& options_;
  const Sheet& sheet_;
  FileDescriptor socket_;
  std::mt19937_64 random_;
  std::vector<ServiceTotals> totals_;
  std::vector<Flow> flows_;
  std::unordered_map<FlowKey, size_t, FlowKeyHash> flow_by_response_key_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  ReceiveBatch batch_{kMaxGeneveDatagramBytes};
  TimePoint start_;
  TimePoint wind_down_start_;
  TimePoint next_short_flow_at_;
  uint32_t next_flow_number_ = 0;
  uint64_t next_request_id_ = 1;
};

}  // namespace

int RunClients(const ClientOptions& options) {
  const auto sheet = ParseSheet({ReadTextFile(options.sheet_path)});
  if (!sheet.ok()) {
    std::cerr << sheet.status().message() << "\n";
    return 1;
  }
  auto socket = BindUdp(options.listen, {});
  if (!socket.ok()) {
    std::cerr << socket.status().message() << "\n";
    return 1;
  }
  Clients clients(options, *sheet, *std::move(socket));
  clients.Run();
  WriteTextFile(options.result_path, clients.Result().dump(2) + "\n");
  return 0;
}

}  // namespace knapweedlift::lab
