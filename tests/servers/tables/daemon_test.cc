#include "servers/tables/daemon.h"

#include <nlohmann/json.hpp>
#include <thread>

#include "drivers/clock.h"
#include "drivers/packet_batch.h"
#include "tests/support/properties.h"
#include "tests/support/sheets.h"

using namespace knapweedlift;

namespace {

constexpr Duration kWaitTimeout{30'000};

Endpoint Loopback() { return {.address = *ParseIpAddress("127.0.0.1")}; }

// Serves the same sheet response until it is given another one.
class FakePlatform {
 public:
  FakePlatform() : listener_(*ListenTcp(Loopback())) {
    thread_ = std::thread([this] {
      Reactor reactor;
      reactor.StopWhen([this] { return stopping_.load(); });
      ServeHttp(reactor, listener_, [this](const HttpRequest& request) {
        absl::MutexLock lock(&mutex_);
        if (RequestPath(request.target) == "/v1/sheet") return sheet_;
        return HttpResponse{.body = R"({"revision": 1, "vms": []})"};
      });
    });
  }
  ~FakePlatform() {
    stopping_ = true;
    thread_.join();
  }

  void SetSheet(const std::string& body, unsigned status = 200) {
    absl::MutexLock lock(&mutex_);
    sheet_ = {.status = status, .body = body};
  }
  Endpoint endpoint() const { return LocalEndpoint(listener_); }

 private:
  FileDescriptor listener_;
  absl::Mutex mutex_;
  HttpResponse sheet_{.status = 503};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

// Runs a daemon in its own thread until the end of the test.
class RunningDaemon {
 public:
  explicit RunningDaemon(const Endpoint& platform,
                         Duration drain = Duration(1'000),
                         Duration idle_time = Duration(100),
                         const Endpoint& admin = Loopback(),
                         const Endpoint& data = Loopback())
      : daemon_({.self = {.id = 1,
                          .control = Loopback(),
                          .data = data,
                          .domain = "a"},
                 .admin = admin,
                 .platform = platform,
                 .deployment = 1,
                 .hash_key = 7,
                 .max_flows = 100'000,
                 .control_bytes_per_second = 5'000,
                 .control_burst_bytes = 1'000,
                 .drain_timeout = drain,
                 .idle_time = idle_time}) {
    cr_assert(daemon_.Open().ok());
    thread_ = std::thread([this] { daemon_.Run(); });
  }
  ~RunningDaemon() {
    daemon_.Stop();
    if (thread_.joinable()) thread_.join();
  }

  void Stop() { daemon_.Stop(); }
  void Join() { thread_.join(); }
  Endpoint admin() const { return daemon_.admin_endpoint(); }

  nlohmann::json Status() { return nlohmann::json::parse(Get("/v1/status")); }
  std::string Metrics() { return Get("/metrics"); }

  // Waits until a field of the status has the value. Fails the test on timeout.
  template <typename Value>
  void WaitFor(const char* field, const Value& value) {
    const TimePoint deadline = Now() + kWaitTimeout;
    while (Status()[field] != value) {
      cr_assert(Now() < deadline,
                "status field %s did not get the expected value", field);
      std::this_thread::sleep_for(Duration(20));
    }
  }

  Endpoint data() const { return daemon_.data_endpoint(); }
  Endpoint control() const { return daemon_.control_endpoint(); }

 private:
  std::string Get(const std::string& target) {
    Reactor reactor;
    const auto answer =
        HttpCall(reactor, daemon_.admin_endpoint(),
                 {.method = "GET", .target = target}, Now() + kWaitTimeout);
    cr_assert(answer.ok());
    return answer->body;
  }

  Daemon daemon_;
  std::thread thread_;
};

// Waits until the platform status starts with the code. Fails the test on
// timeout.
void WaitForCode(RunningDaemon& daemon, const std::string& code) {
  const TimePoint deadline = Now() + kWaitTimeout;
  while (daemon.Status()["platform"].get<std::string>().rfind(code, 0) != 0) {
    cr_assert(Now() < deadline, "platform status did not get code %s",
              code.c_str());
    std::this_thread::sleep_for(Duration(20));
  }
}

// A SYN from 10.9.0.1 to the service, in a Geneve datagram.
std::vector<uint8_t> SynDatagram() {
  std::vector<uint8_t> bytes(48, 0);
  bytes[2] = 0x08;
  uint8_t* ip = &bytes[8];
  ip[0] = 0x45;
  ip[3] = 40;
  ip[9] = kProtocolTcp;
  const uint8_t addresses[] = {10, 9, 0, 1, 10, 0, 0, 1};
  std::copy(std::begin(addresses), std::end(addresses), ip + 12);
  ip[21] = 99;
  ip[22] = 0x01;
  ip[23] = 0xBB;
  ip[32] = 0x50;
  ip[33] = 0x02;
  return bytes;
}

}  // namespace

Test(daemon, a_bad_platform_response_keeps_the_valid_sheet) {
  FakePlatform platform;
  RunningDaemon daemon(platform.endpoint());
  WaitForCode(daemon, "511");
  platform.SetSheet(SheetJson(5, 2).dump());
  daemon.WaitFor("sheet_revision", 5);
  platform.SetSheet(SheetJson(4, 2).dump());
  WaitForCode(daemon, "404");
  platform.SetSheet(SheetJson(6, 2).dump().substr(0, 100));
  WaitForCode(daemon, "401");
  nlohmann::json zero_slots = SheetJson(6, 2);
  zero_slots["services"][0]["servers"][0]["slots"] = 0;
  platform.SetSheet(zero_slots.dump());
  WaitForCode(daemon, "410");
  cr_expect(daemon.Status()["sheet_revision"] == 5);
  platform.SetSheet(SheetJson(7, 2).dump());
  daemon.WaitFor("sheet_revision", 7);
}

// Guards against an exception that ended the process.
Test(daemon, a_number_out_of_range_keeps_the_valid_sheet) {
  FakePlatform platform;
  platform.SetSheet(SheetJson(5, 2).dump());
  RunningDaemon daemon(platform.endpoint());
  daemon.WaitFor("sheet_revision", 5);
  platform.SetSheet(R"({"format": 1e999})");
  WaitForCode(daemon, "401");
  cr_expect(daemon.Status()["sheet_revision"] == 5);
  platform.SetSheet(SheetJson(7, 2).dump());
  daemon.WaitFor("sheet_revision", 7);
}

// Guards against the overflow of a fiber's stack.
Test(daemon, deeply_nested_text_keeps_the_valid_sheet) {
  constexpr size_t kDepth = 100'000;
  const std::string nested =
      std::string(kDepth, '[') + std::string(kDepth, ']');
  FakePlatform platform;
  platform.SetSheet(SheetJson(5, 2).dump());
  RunningDaemon daemon(platform.endpoint());
  daemon.WaitFor("sheet_revision", 5);
  platform.SetSheet(R"({"format": )" + nested + "}");
  WaitForCode(daemon, "401");
  cr_expect(daemon.Status()["sheet_revision"] == 5);
  platform.SetSheet(SheetJson(7, 2).dump());
  daemon.WaitFor("sheet_revision", 7);
}

Test(daemon, a_syn_reaches_a_backend_server_under_its_vni) {
  const FileDescriptor server = *BindUdp(Loopback(), {});
  nlohmann::json sheet = SheetJson(1, 1);
  auto& json = sheet["services"][0]["servers"][0];
  json["address"] = "127.0.0.1";
  json["geneve_port"] = LocalEndpoint(server).port;
  FakePlatform platform;
  platform.SetSheet(sheet.dump());
  RunningDaemon daemon(platform.endpoint());
  daemon.WaitFor("fresh", true);
  const FileDescriptor client = *BindUdp(Loopback(), {});
  const SocketAddress to = ToSocketAddress(daemon.data());
  const auto datagram = SynDatagram();
  const std::vector<uint8_t> garbage(5, 0xFF);
  for (const auto& bytes : {garbage, datagram}) {
    sendto(client.value(), bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&to.storage), to.size);
  }
  ReceiveBatch batch(kMaxGeneveDatagramBytes);
  cr_assert(batch.ReceiveWithTimeout(server, kWaitTimeout.count()) == 1);
  const auto packet = ParseGeneve(batch.datagram(0)).packet;
  cr_assert(packet.has_value());
  cr_expect(packet->vni == 101);
  cr_expect(
      std::ranges::equal(packet->payload, std::span(datagram).subspan(8)));
  daemon.WaitFor("flows", 1);
}

Test(daemon, a_message_that_is_not_from_a_peer_is_counted) {
  FakePlatform platform;
  RunningDaemon daemon(platform.endpoint());
  const FileDescriptor sender = *BindUdp(Loopback(), {});
  const SocketAddress to = ToSocketAddress(daemon.control());
  const std::string bytes = "not a peer";
  sendto(sender.value(), bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr*>(&to.storage), to.size);
  const TimePoint deadline = Now() + kWaitTimeout;
  while (daemon.Metrics().find("code=\"520\",name=\"peer_message\"} 1") ==
         std::string::npos) {
    cr_assert(Now() < deadline, "the message was not counted");
    std::this_thread::sleep_for(Duration(20));
  }
}

Test(daemon, a_second_stop_shortens_the_drain, .timeout = 60) {
  FakePlatform platform;
  platform.SetSheet(SheetJson(1, 1).dump());
  const Duration hour(3'600'000);
  RunningDaemon daemon(platform.endpoint(), hour, hour);
  daemon.WaitFor("fresh", true);
  daemon.Stop();
  daemon.WaitFor("phase", "leaving");
  daemon.Stop();
  // If the daemon keeps draining for an hour, Criterion's timeout fails the
  // test.
  daemon.Join();
}

// Uses its own address: on a shared one, the kernel may assign the ports to
// another test between a stop and the next start.
Test(daemon, ports_are_free_after_each_stop) {
  FakePlatform platform;
  platform.SetSheet(SheetJson(1, 1).dump());
  Endpoint admin{.address = *ParseIpAddress("127.77.0.1")};
  Endpoint data = admin;
  for (int i = 0; i < 3; ++i) {
    RunningDaemon daemon(platform.endpoint(), Duration(1'000), Duration(100),
                         admin, data);
    admin = daemon.admin();
    data = daemon.data();
    daemon.WaitFor("sheet_revision", 1);
  }
}
