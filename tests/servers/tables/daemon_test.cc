#include "servers/tables/daemon.h"

#include <nlohmann/json.hpp>
#include <thread>

#include "drivers/clock.h"
#include "drivers/packet_batch.h"
#include "tests/support/properties.h"
#include "tests/support/sheets.h"

using namespace knapweedlift;

namespace {

constexpr Duration kPatience{30'000};

Endpoint Loopback() { return {.address = *ParseIpAddress("127.0.0.1")}; }

// A platform that gives the same answer until it is told another.
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

  void Say(const std::string& body, unsigned status = 200) {
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

// A daemon in a thread of its own, stopped at the end of the test.
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

  nlohmann::json Status() { return nlohmann::json::parse(Ask("/v1/status")); }
  std::string Metrics() { return Ask("/metrics"); }

  // Waits until the status has the value; fails the test when it never does.
  template <typename Value>
  void WaitFor(const char* field, const Value& value) {
    const TimePoint deadline = Now() + kPatience;
    while (Status()[field] != value) {
      cr_assert(Now() < deadline, "%s never came", field);
      std::this_thread::sleep_for(Duration(20));
    }
  }

  Endpoint data() const { return daemon_.data_endpoint(); }
  Endpoint control() const { return daemon_.control_endpoint(); }

 private:
  std::string Ask(const std::string& target) {
    Reactor reactor;
    const auto answer =
        HttpCall(reactor, daemon_.admin_endpoint(),
                 {.method = "GET", .target = target}, Now() + kPatience);
    cr_assert(answer.ok());
    return answer->body;
  }

  Daemon daemon_;
  std::thread thread_;
};

// Waits for a platform problem whose message starts with the code.
void WaitForCode(RunningDaemon& daemon, const std::string& code) {
  const TimePoint deadline = Now() + kPatience;
  while (daemon.Status()["platform"].get<std::string>().rfind(code, 0) != 0) {
    cr_assert(Now() < deadline, "code %s never came", code.c_str());
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

Test(daemon, a_bad_platform_never_takes_the_good_sheet_away) {
  FakePlatform platform;
  RunningDaemon daemon(platform.endpoint());
  WaitForCode(daemon, "511");
  platform.Say(SheetJson(5, 2).dump());
  daemon.WaitFor("sheet_revision", 5);
  platform.Say(SheetJson(4, 2).dump());
  WaitForCode(daemon, "404");
  platform.Say(SheetJson(6, 2).dump().substr(0, 100));
  WaitForCode(daemon, "401");
  nlohmann::json zero_slots = SheetJson(6, 2);
  zero_slots["services"][0]["servers"][0]["slots"] = 0;
  platform.Say(zero_slots.dump());
  WaitForCode(daemon, "410");
  cr_expect(daemon.Status()["sheet_revision"] == 5);
  platform.Say(SheetJson(7, 2).dump());
  daemon.WaitFor("sheet_revision", 7);
}

Test(daemon, a_syn_reaches_a_backend_server_under_its_vni) {
  const FileDescriptor server = *BindUdp(Loopback(), {});
  nlohmann::json sheet = SheetJson(1, 1);
  auto& json = sheet["services"][0]["servers"][0];
  json["address"] = "127.0.0.1";
  json["geneve_port"] = LocalEndpoint(server).port;
  FakePlatform platform;
  platform.Say(sheet.dump());
  RunningDaemon daemon(platform.endpoint());
  daemon.WaitFor("fresh", true);
  const FileDescriptor caller = *BindUdp(Loopback(), {});
  const SocketAddress to = ToSocketAddress(daemon.data());
  const auto datagram = SynDatagram();
  const std::vector<uint8_t> garbage(5, 0xFF);
  for (const auto& bytes : {garbage, datagram}) {
    sendto(caller.value(), bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&to.storage), to.size);
  }
  ReceiveBatch batch(kMaxGeneveDatagramBytes);
  cr_assert(batch.ReceiveWithTimeout(server, kPatience.count()) == 1);
  const auto packet = ParseGeneve(batch.datagram(0)).packet;
  cr_assert(packet.has_value());
  cr_expect(packet->vni == 101);
  cr_expect(
      std::ranges::equal(packet->payload, std::span(datagram).subspan(8)));
  daemon.WaitFor("flows", 1);
}

Test(daemon, a_message_that_is_no_peers_is_counted) {
  FakePlatform platform;
  RunningDaemon daemon(platform.endpoint());
  const FileDescriptor stranger = *BindUdp(Loopback(), {});
  const SocketAddress to = ToSocketAddress(daemon.control());
  const std::string noise = "not a peer";
  sendto(stranger.value(), noise.data(), noise.size(), 0,
         reinterpret_cast<const sockaddr*>(&to.storage), to.size);
  const TimePoint deadline = Now() + kPatience;
  while (daemon.Metrics().find("code=\"520\",name=\"peer_message\"} 1") ==
         std::string::npos) {
    cr_assert(Now() < deadline, "the message was never counted");
    std::this_thread::sleep_for(Duration(20));
  }
}

Test(daemon, a_second_stop_shortens_the_drain, .timeout = 60) {
  FakePlatform platform;
  platform.Say(SheetJson(1, 1).dump());
  const Duration hour(3'600'000);
  RunningDaemon daemon(platform.endpoint(), hour, hour);
  daemon.WaitFor("fresh", true);
  daemon.Stop();
  daemon.WaitFor("phase", "leaving");
  daemon.Stop();
  // Criterion's timeout fails the test where the daemon drains for an hour.
  daemon.Join();
}

// On an address of its own: elsewhere the kernel may give the ports to another
// test between a stop and the next start.
Test(daemon, its_ports_are_free_after_each_stop) {
  FakePlatform platform;
  platform.Say(SheetJson(1, 1).dump());
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
