#include "lab/bench_forward.h"

#include <algorithm>
#include <atomic>
#include <cstring>
#include <iostream>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "core/packet/geneve.h"
#include "core/packet/inner_packet.h"
#include "core/sheet/sheet_parser.h"
#include "drivers/clock.h"
#include "drivers/packet_batch.h"
#include "lab/packet_codec.h"
#include "servers/tables/forwarder.h"

namespace knapweedlift::lab {
namespace {

constexpr int kReceiveTimeoutMs = 50;
constexpr size_t kFlowCapacity = 600'000;
constexpr size_t kFlowShards = 1'024;
constexpr uint64_t kHashKey = 5;
constexpr int64_t kNanosecondsPerSecond = 1'000'000'000;
// The last bytes of each packet hold its send time in nanoseconds.
constexpr size_t kTimestampBytes = 8;
// Latencies beyond this number are not recorded, to bound the memory.
constexpr size_t kMaxSamples = 2'000'000;

Endpoint Loopback() {
  return {.address = *ParseIpAddress("127.0.0.1"), .port = 0};
}

// Receives the forwarded packets, counts them and records their latency.
class Sink {
 public:
  Sink() : socket_(*BindUdp(Loopback(), {})) {
    thread_ = std::thread([this] { Run(); });
  }
  ~Sink() {
    stopping_ = true;
    thread_.join();
  }

  Endpoint endpoint() const { return LocalEndpoint(socket_); }
  uint64_t count() const { return count_; }

  // Returns the latencies in nanoseconds since the previous call and clears
  // them.
  std::vector<int64_t> TakeLatencies() {
    const std::lock_guard lock(mutex_);
    return std::exchange(latencies_, {});
  }

 private:
  void Run() {
    while (!stopping_) {
      const size_t received =
          batch_.ReceiveWithTimeout(socket_, kReceiveTimeoutMs);
      const int64_t now = NowNanoseconds();
      const std::lock_guard lock(mutex_);
      for (size_t i = 0; i < received; ++i) {
        const auto datagram = batch_.datagram(i);
        if (datagram.size() < kTimestampBytes) continue;
        int64_t sent = 0;
        std::memcpy(&sent, datagram.data() + datagram.size() - kTimestampBytes,
                    kTimestampBytes);
        if (latencies_.size() < kMaxSamples) latencies_.push_back(now - sent);
      }
      count_ += received;
    }
  }

  FileDescriptor socket_;
  std::atomic<bool> stopping_{false};
  std::atomic<uint64_t> count_{0};
  ReceiveBatch batch_{kMaxGeneveDatagramBytes};
  // A std::mutex, because the packaged absl::Mutex is not instrumented for the
  // thread sanitizer, which reported a data race for each latency.
  std::mutex mutex_;
  std::vector<int64_t> latencies_;
  std::thread thread_;
};

// Baseline with the sockets and batches of a forwarder worker, but without a
// forwarding decision: sends every payload to one address with a fixed header.
class Relay {
 public:
  explicit Relay(const Endpoint& destination)
      : socket_(*BindUdp(Loopback(), {.reuse_port = true})),
        destination_(ToSocketAddress(destination)) {
    thread_ = std::thread([this] {
      while (!stopping_) RelayBatch();
    });
  }
  ~Relay() {
    stopping_ = true;
    thread_.join();
  }

  Endpoint endpoint() const { return LocalEndpoint(socket_); }

 private:
  void RelayBatch() {
    const size_t received =
        receive_batch_.ReceiveWithTimeout(socket_, kReceiveTimeoutMs);
    for (size_t i = 0; i < received; ++i) {
      const auto datagram = receive_batch_.datagram(i);
      const size_t size = WriteGeneveHeader(
          1, kGeneveProtocolIpv4, std::nullopt, send_batch_.NextHeader());
      send_batch_.Add(destination_, size, datagram.subspan(kGeneveHeaderSize));
    }
    send_batch_.Flush(socket_);
  }

  FileDescriptor socket_;
  SocketAddress destination_;
  std::atomic<bool> stopping_{false};
  ReceiveBatch receive_batch_{kMaxGeneveDatagramBytes};
  SendBatch send_batch_;
  std::thread thread_;
};

std::string BenchSheetJson(const Endpoint& server) {
  return nlohmann::json({{"format", 1},
                         {"revision", 1},
                         {"failure_domains", {"a"}},
                         {"services",
                          {{{"number", 1},
                            {"name", "bench"},
                            {"tenant", "bench"},
                            {"address", "10.0.0.1"},
                            {"port", 443},
                            {"protocol", "tcp"},
                            {"vni", 1},
                            {"servers",
                             {{{"number", 1},
                               {"address", "127.0.0.1"},
                               {"geneve_port", server.port},
                               {"domain", "a"},
                               {"slots", 2},
                               {"state", "active"}}}}}}}})
      .dump();
}

ViewPtr MakeBenchView(const Endpoint& server) {
  auto view = std::make_shared<View>();
  view->self = 1;
  view->sheet =
      std::make_shared<const Sheet>(*ParseSheet({BenchSheetJson(server)}));
  IndexServices(*view, {});
  view->services[0].table = std::make_shared<const BucketTable>(
      InitialTable(view->sheet->services[0], 1));
  view->homes = {1};
  return view;
}

// Builds one datagram for each flow, with a payload that has room for the send
// time.
std::vector<std::vector<uint8_t>> BuildTraffic(uint32_t flows) {
  std::vector<std::vector<uint8_t>> datagrams;
  for (uint32_t i = 0; i < flows; ++i) {
    const std::string source =
        absl::StrCat("10.9.", (i >> 8) & 0xFF, ".", i & 0xFF);
    const Segment segment{
        .key = {.source = *ParseIpAddress(source),
                .destination = *ParseIpAddress("10.0.0.1"),
                .source_port = static_cast<uint16_t>(1'024 + (i >> 16)),
                .destination_port = 443,
                .protocol = kProtocolTcp},
        .flags = kAck,
        .payload = std::string(64, 'x')};
    datagrams.push_back(BuildGeneveDatagram(0, segment));
  }
  return datagrams;
}

// Sends the datagrams cyclically for the given time. `rate` is in packets per
// second; 0 sends as fast as possible.
void SendTraffic(std::vector<std::vector<uint8_t>>& traffic,
                 const Endpoint& destination, uint32_t seconds, double rate) {
  const auto socket = BindUdp(Loopback(), {});
  const SocketAddress address = ToSocketAddress(destination);
  SendBatch batch;
  constexpr size_t kPacedBatchSize = 8;
  const size_t batch_size = rate > 0 ? kPacedBatchSize : kBatchSize;
  const int64_t start = NowNanoseconds();
  const int64_t end = start + seconds * kNanosecondsPerSecond;
  uint64_t sent = 0;
  while (NowNanoseconds() < end) {
    const int64_t now = NowNanoseconds();
    const double packets_due = rate * static_cast<double>(now - start) /
                               static_cast<double>(kNanosecondsPerSecond);
    if (rate > 0 && static_cast<double>(sent) > packets_due) continue;
    for (size_t i = 0; i < batch_size; ++i) {
      auto& datagram = traffic[sent++ % traffic.size()];
      std::memcpy(datagram.data() + datagram.size() - kTimestampBytes, &now,
                  kTimestampBytes);
      batch.Add(address, 0, datagram);
    }
    batch.Flush(*socket);
  }
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values.empty() ? 0 : values[values.size() / 2];
}

double P99Microseconds(std::vector<int64_t> nanoseconds) {
  if (nanoseconds.empty()) return 0;
  std::sort(nanoseconds.begin(), nanoseconds.end());
  constexpr double kFraction = 0.99;
  constexpr double kNanosecondsPerMicrosecond = 1'000;
  const auto index = static_cast<size_t>(
      kFraction * static_cast<double>(nanoseconds.size() - 1));
  return static_cast<double>(nanoseconds[index]) / kNanosecondsPerMicrosecond;
}

// Returns the packets per second that reach the sink when sent to `target`.
double MeasureRate(Sink& sink, std::vector<std::vector<uint8_t>>& traffic,
                   const Endpoint& target, uint32_t seconds) {
  const uint64_t before = sink.count();
  SendTraffic(traffic, target, seconds, 0);
  return static_cast<double>(sink.count() - before) / seconds;
}

// Returns the p99 latency in microseconds of packets sent to `target` at
// `rate` packets per second. Waits first, so that late packets of the
// previous measurement arrive and are discarded.
double MeasureP99LatencyUs(Sink& sink,
                           std::vector<std::vector<uint8_t>>& traffic,
                           const Endpoint& target, uint32_t seconds,
                           double rate) {
  std::this_thread::sleep_for(std::chrono::milliseconds(kReceiveTimeoutMs));
  sink.TakeLatencies();
  SendTraffic(traffic, target, seconds, rate);
  return P99Microseconds(sink.TakeLatencies());
}

}  // namespace

int RunForwardBench(const ForwardBenchOptions& options) {
  DisableMutexDeadlockDetection();
  Sink sink;
  Relay relay(sink.endpoint());
  SharedView view;
  FlowTable flows(kFlowShards, kFlowCapacity);
  FlowAssignmentQueue pending_assignments;
  EventHistory history;
  Forwarder forwarder({.data = Loopback(), .workers = 1, .hash_key = kHashKey},
                      view, flows, pending_assignments, history);
  view.Publish(MakeBenchView(sink.endpoint()));
  view.SetFreshUntil(TimePoint::max());
  const absl::Status status = forwarder.Start();
  if (!status.ok()) {
    std::cerr << status.message() << "\n";
    return 1;
  }
  auto traffic = BuildTraffic(options.flows);
  // Fills the flow table, so that the measurements see known flows only.
  MeasureRate(sink, traffic, forwarder.data_endpoint(), 1);
  std::vector<double> relay_rates;
  std::vector<double> ratios;
  for (uint32_t i = 0; i < options.rounds; ++i) {
    const double baseline =
        MeasureRate(sink, traffic, relay.endpoint(), options.seconds);
    const double measured =
        MeasureRate(sink, traffic, forwarder.data_endpoint(), options.seconds);
    relay_rates.push_back(baseline);
    ratios.push_back(measured / baseline);
  }
  const double half_load = Median(relay_rates) / 2;
  std::vector<double> added_latencies_us;
  for (uint32_t i = 0; i < options.rounds; ++i) {
    const double baseline = MeasureP99LatencyUs(sink, traffic, relay.endpoint(),
                                                options.seconds, half_load);
    const double measured = MeasureP99LatencyUs(
        sink, traffic, forwarder.data_endpoint(), options.seconds, half_load);
    added_latencies_us.push_back(measured - baseline);
  }
  std::cout << nlohmann::json({{"relay_packets_per_s", Median(relay_rates)},
                               {"ratio", Median(ratios)},
                               {"half_load_packets_per_s", half_load},
                               {"added_p99_us", Median(added_latencies_us)}})
                   .dump()
            << "\n";
  return 0;
}

}  // namespace knapweedlift::lab
