#include "lab/caller.h"

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

constexpr Duration kFirstRetransmit{300};
constexpr Duration kMaxRetransmit{3'000};
// A request without an answer for this long is lost.
constexpr Duration kAnswerDeadline{20'000};
constexpr Duration kThinkTime{1'000};
// Requests of a short flow.
constexpr int kShortRequests = 3;
// Long flows are opened over this time.
constexpr Duration kRampTime{4'000};
// No requests are begun in the last part of the run, so that every answer can
// arrive.
constexpr Duration kWindDown{3'000};
constexpr int kReceiveTimeoutMs = 1;
constexpr uint32_t kFirstSequence = 5'000;
constexpr uint16_t kFirstPort = 10'000;
constexpr uint32_t kPortsPerAddress = 50'000;

enum class FlowPhase : uint8_t { kOpening, kIdle, kWaiting, kEnding, kOver };

struct Flow {
  FlowKey key;
  size_t service = 0;
  FlowPhase phase = FlowPhase::kOpening;
  bool long_lived = false;
  uint32_t sequence = kFirstSequence;
  uint32_t acknowledged = 0;
  uint64_t request = 0;
  int requests_left = 0;
  int attempts = 0;
  TimePoint due;
  TimePoint answer_by;
  int64_t sent_ns = 0;
};

// Totals of one service.
struct Totals {
  uint64_t flows = 0;
  uint64_t opened = 0;
  uint64_t broken = 0;
  uint64_t refused = 0;
  uint64_t lost_answers = 0;
  uint64_t wrong_answers = 0;
  uint64_t answers = 0;
  uint64_t retransmits = 0;
  std::vector<double> latency_ms;
};

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  const auto index =
      static_cast<size_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<ptrdiff_t>(index),
                   values.end());
  return values[index];
}

class Caller {
 public:
  Caller(const CallerOptions& options, const Sheet& sheet,
         FileDescriptor socket)
      : options_(options),
        sheet_(sheet),
        socket_(std::move(socket)),
        random_(options.seed),
        totals_(sheet.services.size()) {}

  void Run() {
    start_ = Now();
    const TimePoint end = start_ + std::chrono::seconds(options_.duration_s);
    quiet_from_ = end - kWindDown;
    OpenLongFlows();
    next_short_ = start_ + kRampTime;
    while (Now() < end && !StopRequested()) {
      const TimePoint now = Now();
      OpenShortFlows(now);
      RunTimers(now);
      const size_t count =
          batch_.ReceiveWithTimeout(socket_, kReceiveTimeoutMs);
      for (size_t i = 0; i < count; ++i) TakeDatagram(batch_.datagram(i));
    }
    CountUnanswered();
  }

  nlohmann::json Result() const {
    nlohmann::json result = nlohmann::json::array();
    for (size_t i = 0; i < totals_.size(); ++i) {
      const Totals& totals = totals_[i];
      result.push_back(
          {{"service", sheet_.services[i].name},
           {"tenant", sheet_.services[i].tenant},
           {"flows", totals.flows},
           {"opened", totals.opened},
           {"broken_flows", totals.broken},
           {"refused", totals.refused},
           {"lost_answers", totals.lost_answers},
           {"wrong_answers", totals.wrong_answers},
           {"answers", totals.answers},
           {"retransmits", totals.retransmits},
           {"latency_ms_p50", Percentile(totals.latency_ms, 0.50)},
           {"latency_ms_p99", Percentile(totals.latency_ms, 0.99)},
           {"latency_ms_p999", Percentile(totals.latency_ms, 0.999)}});
    }
    return result;
  }

 private:
  using Timer = std::pair<TimePoint, size_t>;

  FlowKey NextKey(const Service& service) {
    const uint32_t number = next_flow_++;
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
    flow.key = NextKey(service);
    flow.service = service_index;
    flow.long_lived = long_lived;
    flow.requests_left = long_lived ? -1 : kShortRequests;
    flow.answer_by = when + kAnswerDeadline;
    const bool udp = service.protocol == kProtocolUdp;
    if (udp) flow.phase = FlowPhase::kIdle;
    by_key_[Reverse(flow.key)] = index;
    flows_.push_back(flow);
    ++totals_[service_index].flows;
    if (udp) ++totals_[service_index].opened;
    Schedule(index, when);
  }

  void OpenLongFlows() {
    const auto ramp = kRampTime.count();
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
    while (next_short_ <= now && now < quiet_from_) {
      for (size_t s = 0; s < sheet_.services.size(); ++s) {
        OpenFlow(s, false, now);
      }
      next_short_ += gap;
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
      // A flow that was scheduled anew has a later timer.
      if (flows_[index].due == due) Act(index, now);
    }
  }

  void Act(size_t index, TimePoint now) {
    Flow& flow = flows_[index];
    switch (flow.phase) {
      case FlowPhase::kOver:
        return;
      case FlowPhase::kIdle:
        BeginRequest(index, now);
        return;
      case FlowPhase::kOpening:
      case FlowPhase::kWaiting:
      case FlowPhase::kEnding:
        Transmit(index, now);
        return;
    }
  }

  void BeginRequest(size_t index, TimePoint now) {
    Flow& flow = flows_[index];
    if (now >= quiet_from_) return;
    if (flow.requests_left == 0) {
      flow.phase = flow.key.protocol == kProtocolUdp ? FlowPhase::kOver
                                                     : FlowPhase::kEnding;
    } else {
      flow.request = next_request_++;
      if (flow.requests_left > 0) --flow.requests_left;
      flow.phase = FlowPhase::kWaiting;
    }
    flow.attempts = 0;
    flow.answer_by = now + kAnswerDeadline;
    flow.sent_ns = NowNanoseconds();
    if (flow.phase != FlowPhase::kOver) Transmit(index, now);
  }

  // Sends the flow's outstanding packet, again where it was sent before.
  void Transmit(size_t index, TimePoint now) {
    Flow& flow = flows_[index];
    Totals& totals = totals_[flow.service];
    if (flow.attempts > 0 && now >= flow.answer_by) {
      GiveUp(flow, totals);
      return;
    }
    if (flow.attempts > 0) ++totals.retransmits;
    Segment segment{.key = flow.key,
                    .sequence = flow.sequence,
                    .acknowledged = flow.acknowledged,
                    .flags = kAck};
    if (flow.phase == FlowPhase::kOpening) segment.flags = kSyn;
    if (flow.phase == FlowPhase::kEnding) segment.flags = kFin | kAck;
    if (flow.phase == FlowPhase::kWaiting) {
      segment.payload = BuildRequest(flow.request);
    }
    SendDatagram(socket_, options_.fabric, BuildGeneveDatagram(0, segment));
    const Duration wait =
        std::min(kMaxRetransmit, kFirstRetransmit * (1 << flow.attempts));
    flow.attempts = std::min(flow.attempts + 1, 8);
    Schedule(index, now + wait);
  }

  static void GiveUp(Flow& flow, Totals& totals) {
    // An end that is not acknowledged harms nobody.
    if (flow.phase == FlowPhase::kWaiting) ++totals.lost_answers;
    if (flow.phase == FlowPhase::kOpening) ++totals.refused;
    flow.phase = FlowPhase::kOver;
  }

  void TakeDatagram(std::span<const uint8_t> datagram) {
    const GeneveParseResult outer = ParseGeneve(datagram);
    if (!outer.packet.has_value()) return;
    const auto segment = ParsePacket(outer.packet->payload);
    if (!segment.has_value()) return;
    const auto found = by_key_.find(segment->key);
    if (found == by_key_.end()) return;
    TakeSegment(found->second, *segment);
  }

  void TakeSegment(size_t index, const Segment& segment) {
    Flow& flow = flows_[index];
    Totals& totals = totals_[flow.service];
    if (flow.phase == FlowPhase::kOver) return;
    if ((segment.flags & kRst) != 0) {
      ++(flow.phase == FlowPhase::kOpening ? totals.refused : totals.broken);
      flow.phase = FlowPhase::kOver;
      return;
    }
    if ((segment.flags & kSyn) != 0) {
      TakeSynAck(index, segment);
      return;
    }
    if ((segment.flags & kFin) != 0) {
      flow.phase = FlowPhase::kOver;
      return;
    }
    if (!segment.payload.empty()) TakeAnswer(index, segment);
  }

  void TakeSynAck(size_t index, const Segment& segment) {
    Flow& flow = flows_[index];
    if (flow.phase != FlowPhase::kOpening) return;
    ++totals_[flow.service].opened;
    flow.sequence += 1;
    flow.acknowledged = segment.sequence + 1;
    flow.phase = FlowPhase::kIdle;
    flow.attempts = 0;
    Schedule(index, Now());
  }

  void TakeAnswer(size_t index, const Segment& segment) {
    Flow& flow = flows_[index];
    Totals& totals = totals_[flow.service];
    const uint64_t id = ParseResponseId(segment.payload);
    const bool earlier = id != 0 && id < flow.request;
    if (flow.phase != FlowPhase::kWaiting || earlier) return;
    if (id != flow.request) {
      ++totals.wrong_answers;
      return;
    }
    constexpr double kNanosecondsPerMillisecond = 1e6;
    totals.latency_ms.push_back(
        static_cast<double>(NowNanoseconds() - flow.sent_ns) /
        kNanosecondsPerMillisecond);
    ++totals.answers;
    if (flow.key.protocol == kProtocolTcp) {
      flow.sequence += static_cast<uint32_t>(BuildRequest(id).size());
    }
    flow.phase = FlowPhase::kIdle;
    std::uniform_int_distribution<int64_t> think(1, 2 * kThinkTime.count());
    const Duration pause(flow.long_lived ? think(random_) : 1);
    Schedule(index, Now() + pause);
  }

  void CountUnanswered() {
    for (const Flow& flow : flows_) {
      if (flow.phase == FlowPhase::kWaiting) {
        ++totals_[flow.service].lost_answers;
      }
    }
  }

  const CallerOptions& options_;
  const Sheet& sheet_;
  FileDescriptor socket_;
  std::mt19937_64 random_;
  std::vector<Totals> totals_;
  std::vector<Flow> flows_;
  std::unordered_map<FlowKey, size_t, FlowKeyHash> by_key_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  ReceiveBatch batch_{kMaxGeneveDatagramBytes};
  TimePoint start_;
  TimePoint quiet_from_;
  TimePoint next_short_;
  uint32_t next_flow_ = 0;
  uint64_t next_request_ = 1;
};

}  // namespace

int RunCaller(const CallerOptions& options) {
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
  Caller caller(options, *sheet, *std::move(socket));
  caller.Run();
  WriteTextFile(options.result_path, caller.Result().dump(2) + "\n");
  return 0;
}

}  // namespace knapweedlift::lab
