#include "cases.h"

#include <memory>
#include <vector>

namespace {

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
      const auto pause = static_cast<Millis>(is_long ? 5500 + Random() % 2500
                                                     : 300 + Random() % 700);
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
  constexpr int kEndpoints = 8;
  constexpr int kVms = 4;
  constexpr int kClients = 400;
  constexpr Millis kDownMs = 50;
  // Within the time between two heartbeats.
  constexpr int kFirstEntryMs = 1'000;
  constexpr Millis kRoundMs = 12'000;
  constexpr int kRounds = 6;
  EndpointSettings settings;
  settings.first_entry_ms = kFirstEntryMs;
  for (int i = 0; i < kEndpoints; ++i) {
    if (!world.AddEndpoint("atelier", "coimbra-a", settings)) {
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
    people.push_back(
        std::make_unique<Person>(world.loop(), *client, route.address, 0.5));
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
      if (!world.AddEndpoint("atelier", zone)) return kCannotRun;
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
      // The machines of the clients' zone go first, in the order of their
      // start.
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
    if (!world.AddEndpoint("atelier", "coimbra-a")) return kCannotRun;
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

// Many users come at once, and endpoints have no room left for a while.
int PlayFull(World& world) {
  constexpr int kVms = 14;
  constexpr int kEndpoints = 4;
  constexpr int kClients = 80;
  // Openings per second for single requests, beside the flows that stay open.
  constexpr double kUsualRate = 33;
  // Requests per second of the people together.
  constexpr double kRateOfPeople = 32;
  constexpr double kBurst = 1.7;
  constexpr Millis kBurstMs = 3'000;
  constexpr Millis kRoundMs = 4'000;
  constexpr int kRounds = 24;
  constexpr Millis kTickMs = 10;
  EndpointSettings settings;
  settings.work_ms = 40;
  settings.slots = 2;
  settings.queue = 8;
  for (int i = 0; i < kEndpoints; ++i) {
    if (!world.AddEndpoint("atelier", "coimbra-a", settings)) return kCannotRun;
  }
  const Route route{"r-confirm", {kRouteIp, 8080}, "atelier"};
  world.Configure({route});
  world.AddVms("coimbra-a", kVms);
  world.AddClients("coimbra-a", kClients);
  if (!world.StartSystem()) return kCannotRun;
  std::vector<std::unique_ptr<Person>> people;
  for (const auto& client : world.clients()) {
    if (!client->bound()) return kCannotRun;
    people.push_back(
        std::make_unique<Person>(world.loop(), *client, route.address, 0.3));
    world.loop().After(static_cast<Millis>(Random() % 1000),
                       [person = people.back().get()] { person->Start(); });
  }
  const Millis begin = NowMs();
  for (Millis at = 0; at < kRoundMs * kRounds; at += kTickMs) {
    const bool burst = world.trouble() && at % kRoundMs >= kRoundMs - kBurstMs;
    const double extra = (kBurst - 1) * (kUsualRate + kRateOfPeople);
    const double expected =
        (kUsualRate + (burst ? extra : 0)) * kTickMs / 1000.0;
    world.loop().At(begin + at, [&world, route, expected] {
      const auto whole = static_cast<uint64_t>(expected);
      const double part = expected - static_cast<double>(whole);
      const uint64_t count =
          whole + (static_cast<double>(Random() % 1000) < 1000 * part ? 1 : 0);
      for (uint64_t i = 0; i < count; ++i) {
        Client& client = *world.clients()[Random() % world.clients().size()];
        const auto id = std::make_shared<FlowId>();
        *id = client.Open(route.address,
                          [&client, id] {
                            client.Request(
                                *id, [&client, id] { client.CloseFlow(*id); });
                          },
                          {});
      }
    });
  }
  world.loop().RunUntil(begin + kRoundMs * kRounds, [] { return false; });
  return world.broken() > 0 ? kBroken : kHeld;
}

}  // namespace

int Play(World& world, const std::string& name) {
  if (!world.ChoosePorts()) return kCannotRun;
  if (name == "full") return PlayFull(world);
  if (name == "second-opening") return PlaySecondOpening(world);
  if (name == "reborn") return PlayReborn(world);
  if (name == "new-routes") return PlayNewRoutes(world);
  return kCannotRun;
}
