#include <signal.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "clients.h"
#include "endpoints.h"
#include "loop.h"
#include "store.h"
#include "vms.h"

// Plays one case against the project's daemons. Exits with 1 if its rule was
// broken, with 0 if it held, and with 2 if the case could not run.

namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

// Bounds of the deployment, SYSTEM.md.
constexpr Millis kStableWindowMs = 4000;
constexpr Millis kFlowTtlMs = 60'000;
constexpr Millis kIdleTimeoutMs = 15'000;

constexpr uint32_t kLoopback = 127u << 24;
constexpr uint32_t kVmNet = kLoopback | 31 << 16;
constexpr uint32_t kClientNet = kLoopback | 32 << 16;
constexpr uint32_t kEndpointNet = kLoopback | 33 << 16;
constexpr uint32_t kStoreIp = kLoopback | 34 << 16 | 1;
constexpr uint32_t kRouteIp = kLoopback | 35 << 16 | 1;

struct Route {
  std::string name;
  Address address;
  std::string service;
};

// The deployment and all that acts in it.
class World {
 public:
  World(std::string folder, bool trouble)
      : folder_(std::move(folder)), trouble_(trouble) {}

  bool ChoosePorts();
  bool AddEndpoint(const std::string& service, const std::string& zone,
                   int first_entry_ms);
  void AddVms(const std::string& zone, int count);
  void AddClients(const std::string& zone, int count);
  // The operator writes the configuration with these routes.
  void Configure(const std::vector<Route>& routes);
  // Starts the machines, and waits until they are ready and in touch.
  bool StartSystem();

  Loop& loop() { return loop_; }
  Store& store() { return *store_; }
  Platform& platform() { return *platform_; }
  std::vector<std::unique_ptr<Endpoint>>& endpoints() { return endpoints_; }
  std::vector<std::unique_ptr<Client>>& clients() { return clients_; }
  bool trouble() const { return trouble_; }
  int broken() const { return broken_; }
  // Work on the machines is planned, so that resets count in any case.
  void set_planned(bool planned) { planned_ = planned; }

 private:
  void JudgeReset(const Client& client, const FlowId& flow, bool by_system,
                  const Vm* taken_by);

  std::string folder_;
  bool trouble_;
  Loop loop_;
  Ports ports_;
  Address store_address_;
  std::unique_ptr<Store> store_;
  std::unique_ptr<Platform> platform_;
  std::vector<std::unique_ptr<Endpoint>> endpoints_;
  std::vector<std::unique_ptr<Client>> clients_;
  std::set<Address> routes_;
  uint64_t version_ = 1;
  bool planned_ = false;
  int broken_ = 0;
};

bool World::ChoosePorts() {
  for (int i = 0; i < 50; ++i) {
    const auto base = static_cast<uint16_t>(20'000 + Random() % 10'000);
    const int udp = OpenUdp({kVmNet | 10, base});
    const int tcp = OpenListener({kVmNet | 10, static_cast<uint16_t>(base + 1)});
    const int store = OpenListener({kStoreIp, base});
    for (const int fd : {udp, tcp, store}) {
      if (fd >= 0) close(fd);
    }
    if (udp < 0 || tcp < 0 || store < 0) continue;
    ports_ = {.data = base,
              .ready = static_cast<uint16_t>(base + 1),
              .control = static_cast<uint16_t>(base + 2),
              .admin = static_cast<uint16_t>(base + 3)};
    store_address_ = {kStoreIp, base};
    store_ = std::make_unique<Store>(loop_, store_address_);
    platform_ =
        std::make_unique<Platform>(loop_, folder_, ports_, store_address_);
    return store_->listening();
  }
  return false;
}

bool World::AddEndpoint(const std::string& service, const std::string& zone,
                        int first_entry_ms) {
  const auto number = static_cast<uint32_t>(endpoints_.size() + 1);
  char id[32];
  std::snprintf(id, sizeof(id), "i-7f3a91%02x", number);
  endpoints_.push_back(std::make_unique<Endpoint>(
      loop_, *store_,
      EndpointSettings{.id = id,
                       .service = service,
                       .zone = zone,
                       .address = {kEndpointNet | number, ports_.ready},
                       .client_port = ports_.data,
                       .first_entry_ms = first_entry_ms}));
  return endpoints_.back()->Start();
}

void World::AddVms(const std::string& zone, int count) {
  for (int i = 0; i < count; ++i) {
    platform_->AddVm(zone, kVmNet | static_cast<uint32_t>(
                                        10 + platform_->vms().size()));
  }
}

void World::AddClients(const std::string& zone, int count) {
  for (int i = 0; i < count; ++i) {
    const auto ip = kClientNet | static_cast<uint32_t>(1 + clients_.size());
    const size_t index = clients_.size();
    clients_.push_back(std::make_unique<Client>(
        loop_, *platform_, zone, ip,
        [this, index](const FlowId& flow, bool by_system, const Vm* taken_by) {
          JudgeReset(*clients_[index], flow, by_system, taken_by);
        }));
  }
}

void World::Configure(const std::vector<Route>& routes) {
  std::string list;
  routes_.clear();
  for (const Route& route : routes) {
    routes_.insert(route.address);
    list += std::string(list.empty() ? "" : ",") + "{\"name\":\"" + route.name +
            "\",\"host\":\"" + Text(route.address.ip) + "\",\"prefix\":\"/" +
            std::to_string(route.address.port) +
            "/\",\"routeType\":\"unsafe\",\"timeoutMs\":600,"
            "\"targetLatencyMs\":120,\"priority\":1,\"service\":\"" +
            route.service + "\",\"maxAttempts\":2}";
  }
  version_ += 3;
  Record("operator   writes version %lu with %zu routes",
         static_cast<unsigned long>(version_), routes.size());
  store_->Write("op/config",
                "{\"version\":" + std::to_string(version_) + ",\"routes\":[" +
                    list +
                    "],\"services\":[{\"name\":\"atelier\",\"healthPath\":"
                    "\"/health\",\"maxFlows\":4286,\"protocol\":\"h1\","
                    "\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
                    "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
                    "\"idleTimeoutMs\":15000}}");
}

bool World::StartSystem() {
  if (!platform_->StartAll()) return false;
  loop_.RunUntil(NowMs() + 10'000, [this] { return platform_->AllReady(); });
  if (!platform_->AllReady()) return false;
  loop_.RunUntil(NowMs() + kStableWindowMs + 500, [] { return false; });
  return true;
}

// FLOW (a): a client gets a reset that the flow's endpoint did not send, while
// that endpoint lives and was not disturbed in the last stableWindowMs.
void World::JudgeReset(const Client& client, const FlowId& flow, bool by_system,
                       const Vm* taken_by) {
  const Endpoint* holder = nullptr;
  for (const auto& endpoint : endpoints_) {
    if (endpoint->Holds(flow)) holder = endpoint.get();
  }
  const Millis now = NowMs();
  const char* excuse = nullptr;
  if (holder == nullptr) {
    excuse = "no endpoint holds it";
  } else if (now - holder->disturbed_at() < kStableWindowMs) {
    excuse = "its endpoint was disturbed a short while ago";
  } else if (now - client.opened_at(flow) > kFlowTtlMs ||
             now - client.last_used(flow) > kIdleTimeoutMs) {
    excuse = "it is too old or was idle for too long";
  } else if (!routes_.contains({flow.host, flow.host_port})) {
    excuse = "its route was dropped";
  }
  if (!planned_) {
    for (const Vm& vm : platform_->vms()) {
      if (now - vm.disturbed_at < kStableWindowMs) {
        excuse = "a machine was not in touch";
      }
    }
  }
  Record("%s %s reset the open flow %s:%u at %s, taken by %s%s%s",
         excuse == nullptr ? "FLOW      " : "reset     ",
         by_system ? "the system" : "another endpoint",
         Text(flow.client).c_str(), flow.client_port,
         holder == nullptr ? "no endpoint" : holder->settings().id.c_str(),
         taken_by == nullptr ? "no machine" : taken_by->name.c_str(),
         excuse == nullptr ? "" : "; not counted: ",
         excuse == nullptr ? "" : excuse);
  if (excuse == nullptr) ++broken_;
}

// A person at a client's machine: keeps a flow open for some requests with
// pauses between them, and opens another one when it ends.
class Person {
 public:
  Person(Loop& loop, Client& client, const Address& route, double long_pauses)
      : loop_(loop),
        client_(client),
        route_(route),
        long_pauses_(long_pauses) {}

  void Start() {
    flow_ = client_.Open(
        route_, [this] { Ask(); }, [this] { Restart(); });
  }

 private:
  void Restart() {
    loop_.After(20, [this] { Start(); });
  }
  void Ask() {
    client_.Request(flow_, [this] {
      if (++answers_ >= last_answer_) {
        client_.CloseFlow(flow_);
        answers_ = 0;
        last_answer_ = 2 + static_cast<int>(Random() % 4);
        return Restart();
      }
      const bool is_long =
          static_cast<double>(Random() % 1000) < 1000 * long_pauses_;
      const auto pause = static_cast<Millis>(
          is_long ? 5500 + Random() % 2500 : 300 + Random() % 700);
      loop_.After(pause, [this, flow = flow_] {
        if (flow == flow_ && client_.IsOpen(flow_)) Ask();
      });
    });
  }

  Loop& loop_;
  Client& client_;
  Address route_;
  double long_pauses_;
  int answers_ = 0;
  int last_answer_ = 4;
  FlowId flow_;
};

// An endpoint crashes and starts again under its id.
int PlayReborn(World& world) {
  constexpr int kEndpoints = 3;
  constexpr int kVms = 4;
  constexpr int kClients = 200;
  constexpr Millis kDownMs = 50;
  // Half of the time between two heartbeats.
  constexpr int kFirstEntryMs = 600;
  constexpr Millis kRoundMs = 14'000;
  constexpr int kRounds = 5;
  for (int i = 0; i < kEndpoints; ++i) {
    if (!world.AddEndpoint("atelier", "coimbra-a", kFirstEntryMs)) {
      return kCannotRun;
    }
  }
  const Route route{"r-confirm", {kRouteIp, 8080}, "atelier"};
  world.Configure({route});
  world.AddVms("coimbra-a", kVms);
  world.AddClients("coimbra-a", kClients);
  if (!world.StartSystem()) return kCannotRun;
  std::vector<std::unique_ptr<Person>> people;
  for (const auto& client : world.clients()) {
    if (!client->bound()) return kCannotRun;
    people.push_back(std::make_unique<Person>(world.loop(), *client,
                                              route.address, 0.4));
    world.loop().After(static_cast<Millis>(Random() % 1000),
                       [person = people.back().get()] { person->Start(); });
  }
  const Millis begin = NowMs();
  for (int round = 0; world.trouble() && round < kRounds; ++round) {
    Endpoint& endpoint = *world.endpoints()[round % kEndpoints];
    world.loop().At(begin + 8'000 + kRoundMs * round, [&world, &endpoint] {
      endpoint.Crash();
      world.loop().After(kDownMs, [&endpoint] { endpoint.Start(); });
    });
  }
  world.loop().RunUntil(begin + 8'000 + kRoundMs * kRounds,
                        [] { return false; });
  return world.broken() > 0 ? kBroken : kHeld;
}

// A person who uses a route as soon as it is there: opens a flow, tries again
// while that fails, and sends requests on the flow for some seconds.
class Visitor {
 public:
  Visitor(Loop& loop, Client& client, const Address& route)
      : loop_(loop), client_(client), route_(route) {}

  void Start() {
    if (begin_ == 0) begin_ = NowMs();
    flow_ = client_.Open(
        route_,
        [this] {
          opened_ = true;
          Ask();
        },
        [this] {
          if (!opened_ && NowMs() - begin_ < kStayMs) {
            loop_.After(30, [this] { Start(); });
          }
        });
  }

 private:
  static constexpr Millis kStayMs = 3000;

  void Ask() {
    client_.Request(flow_, [this] {
      if (NowMs() - begin_ >= kStayMs) return client_.CloseFlow(flow_);
      loop_.After(static_cast<Millis>(50 + Random() % 150), [this] {
        if (client_.IsOpen(flow_)) Ask();
      });
    });
  }

  Loop& loop_;
  Client& client_;
  Address route_;
  Millis begin_ = 0;
  bool opened_ = false;
  FlowId flow_;
};

// The machines are stopped and started in turn while the operator adds routes,
// which clients use at once.
int PlayNewRoutes(World& world) {
  constexpr int kVmsPerZone = 4;
  constexpr int kClients = 12;
  constexpr Millis kRollGapMs = 1300;
  constexpr Millis kStormGapMs = 330;
  constexpr Millis kStormMs = 4'000;
  // All machines are stopped in turn within this time, and the operator's
  // changes come while that goes on.
  constexpr Millis kRoundMs = 13'000;
  constexpr Millis kStormAfterRollMs = 2'500;
  constexpr int kRounds = 6;
  for (const char* zone : {"coimbra-a", "coimbra-b"}) {
    for (int i = 0; i < 3; ++i) {
      if (!world.AddEndpoint("atelier", zone, 0)) return kCannotRun;
    }
  }
  std::vector<Route> routes = {{"r-0", {kRouteIp, 8080}, "atelier"}};
  world.Configure(routes);
  world.AddVms("coimbra-a", kVmsPerZone);
  world.AddVms("coimbra-b", kVmsPerZone);
  world.AddClients("coimbra-b", kClients);
  if (!world.StartSystem()) return kCannotRun;
  world.set_planned(true);
  const Millis begin = NowMs();
  const size_t vms = world.platform().vms().size();
  std::vector<std::unique_ptr<Visitor>> visitors;
  const auto add_route = [&world, &routes, &visitors] {
    const auto number = static_cast<uint16_t>(routes.size());
    const Route route{"r-" + std::to_string(number),
                      {kRouteIp, static_cast<uint16_t>(9000 + number)},
                      "atelier"};
    routes.push_back(route);
    world.Configure(routes);
    for (const auto& client : world.clients()) {
      visitors.push_back(
          std::make_unique<Visitor>(world.loop(), *client, route.address));
      world.loop().After(
          static_cast<Millis>(Random() % 300),
          [visitor = visitors.back().get()] { visitor->Start(); });
    }
  };
  for (int round = 0; round < kRounds; ++round) {
    const Millis roll_at = begin + kRoundMs * round;
    for (size_t i = 0; world.trouble() && i < vms; ++i) {
      // The machines of the clients' zone go first, in the order of their start.
      world.loop().At(roll_at + static_cast<Millis>(i) * kRollGapMs,
                      [&world, i, vms] {
                        world.platform().StopInTurn((vms / 2 + i) % vms);
                      });
    }
    for (Millis at = 0; at < kStormMs; at += kStormGapMs) {
      world.loop().At(roll_at + kStormAfterRollMs + at, add_route);
    }
  }
  world.loop().RunUntil(begin + kRoundMs * kRounds, [] { return false; });
  return world.broken() > 0 ? kBroken : kHeld;
}

// The machines are stopped and started in turn while the network loses a
// datagram now and then.
int PlaySecondOpening(World& world) {
  constexpr int kVms = 6;
  constexpr int kEndpoints = 6;
  constexpr int kClients = 300;
  constexpr double kLostShare = 0.005;
  constexpr Millis kRollGapMs = 1300;
  constexpr Millis kPlayMs = 75'000;
  for (int i = 0; i < kEndpoints; ++i) {
    if (!world.AddEndpoint("atelier", "coimbra-a", 0)) return kCannotRun;
  }
  const Route route{"r-confirm", {kRouteIp, 8080}, "atelier"};
  world.Configure({route});
  world.AddVms("coimbra-a", kVms);
  world.AddClients("coimbra-a", kClients);
  if (!world.StartSystem()) return kCannotRun;
  world.set_planned(true);
  SetLoss(kLostShare);
  std::vector<std::unique_ptr<Person>> people;
  for (const auto& client : world.clients()) {
    if (!client->bound()) return kCannotRun;
    people.push_back(
        std::make_unique<Person>(world.loop(), *client, route.address, 0));
    world.loop().After(static_cast<Millis>(Random() % 1000),
                       [person = people.back().get()] { person->Start(); });
  }
  const Millis begin = NowMs();
  for (Millis i = 0; world.trouble() && i * kRollGapMs < kPlayMs - 8'000; ++i) {
    world.loop().At(begin + 2'000 + i * kRollGapMs, [&world, i] {
      world.platform().StopInTurn(static_cast<size_t>(i % kVms));
    });
  }
  world.loop().RunUntil(begin + kPlayMs, [] { return false; });
  return world.broken() > 0 ? kBroken : kHeld;
}

int Play(World& world, const std::string& name) {
  if (!world.ChoosePorts()) return kCannotRun;
  if (name == "second-opening") return PlaySecondOpening(world);
  if (name == "reborn") return PlayReborn(world);
  if (name == "new-routes") return PlayNewRoutes(world);
  return kCannotRun;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: world CASE RECORD, in the repository root\n");
    return kCannotRun;
  }
  signal(SIGPIPE, SIG_IGN);
  const char* trouble = std::getenv("TROUBLE");
  std::string folder =
      std::filesystem::temp_directory_path() / "review-world-XXXXXX";
  if (mkdtemp(folder.data()) == nullptr) return kCannotRun;
  OpenRecord(argv[2]);
  World world(folder, trouble == nullptr || std::string(trouble) != "0");
  int result = Play(world, argv[1]);
  if (result != kCannotRun && world.platform().own_ends() > 0) {
    Record("FAULT      %d processes ended by themselves",
           world.platform().own_ends());
  }
  world.platform().EndAll();
  if (std::getenv("KEEP_LOGS") != nullptr) {
    std::printf("logs in %s\n", folder.c_str());
  } else {
    std::filesystem::remove_all(folder);
  }
  Record("result     %d flows broken, exit %d", world.broken(), result);
  std::printf("%d flows broken, exit %d\n", world.broken(), result);
  return result;
}
