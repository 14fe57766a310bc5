// Stand-ins of the users' platform for the scripts of the third review: the
// metadata store, the operator, backend endpoints, routers and clients. They
// run in this process on loopback addresses; the daemons under test are
// processes of their own, started with the command of the deploy file.
//
// Usage: standin CASE DAEMON DIRECTORY RECORD [calm]

#include <cstdio>
#include <set>
#include <string>

#include "world.h"

namespace standin {
namespace {

// ---- Cases ---------------------------------------------------------------

constexpr uint16_t kOldPort = 8'443, kDroppedPort = 8'080, kNewPort = 9'443;
const Route kOld{.port = kOldPort, .service = "huvo11a"};
const Route kDropped{.port = kDroppedPort, .service = "wuno96b"};
const Route kNew{.port = kNewPort, .service = "wuno96b"};

void StartAll(World& world, const std::vector<Route>& routes) {
  for (int i = 0; i < 4; ++i) world.AddEndpoint("huvo11a", i % kZones);
  for (int i = 0; i < 3; ++i) world.AddEndpoint("wuno96b", i % kZones);
  world.WriteConfig(7, routes);
  world.RunUntil(100);
  for (int i = 0; i < kVms; ++i) world.StartVm(i);
  const int64_t until = Elapsed() + 8'000;
  while (world.ReadyVms() < kVms && Elapsed() < until) world.Step();
  if (world.ReadyVms() < kVms) CannotRun("the daemons did not become ready");
}

// Sends usual requests until `until`, and probes of routes through each ready
// VM every 500 ms.
void SendUntil(World& world, int64_t until, bool probes) {
  int64_t next = Elapsed(), next_probe = Elapsed();
  while (Elapsed() < until) {
    if (Elapsed() >= next) {
      next += 50;
      world.SendRouted("usual", kOldPort);
    }
    if (probes && Elapsed() >= next_probe) {
      next_probe += 500;
      for (int i = 0; i < kVms; ++i) {
        if (!world.vms[i].ready) continue;
        world.Send("added route", kNewPort, i);
        world.Send("dropped route", kDroppedPort, i);
      }
    }
    world.Step();
  }
}

// CONFIG: requests sent later than `from` and handled as an older version.
int CountOldConfig(const World& world, int64_t from, std::set<int>& through) {
  int broken = 0;
  for (const Attempt& a : world.ended) {
    if (a.sent_at - start_ms <= from) continue;
    const bool served = a.result.rfind("served", 0) == 0;
    const bool old =
        (a.what == "added route" && a.result == "reset by the system") ||
        (a.what == "dropped route" && served);
    if (!old) continue;
    ++broken;
    through.insert(a.vm);
  }
  return broken;
}
// DRAIN: requests that reach `e` later than the bound.
int CountLateAt(const World& world, const Endpoint& e, int64_t from) {
  int broken = 0;
  for (const Attempt& a : world.ended) {
    const bool reached = a.result == "served " + e.service + " " + e.id;
    if (reached && a.sent_at > e.drain_acked_at + from) ++broken;
  }
  return broken;
}
int Served(const World& world, const std::string& what, int64_t from) {
  int count = 0;
  for (const Attempt& a : world.ended) {
    count += a.what == what && a.sent_at - start_ms > from &&
             a.result.rfind("served", 0) == 0;
  }
  return count;
}

int Conclude(World& world, const char* rule, int broken) {
  const bool ended = world.DaemonEnded();
  world.StopVms();
  Record(broken > 0 || ended ? "result: %s is broken" : "result: %s held",
         rule);
  printf("%s: %s (%d requests)\n", rule, broken > 0 ? "BROKEN" : "held",
         broken);
  return broken > 0 || ended ? 1 : 0;
}

// The store comes back from a copy that is some seconds old, and gives out its
// revisions again.
int RunRewind(World& world, bool calm) {
  StartAll(world, {kOld, kDropped});
  SendUntil(world, 6'000, false);
  // Two corrections of a time-out within the seconds that the copy lacks.
  Route slower = kOld;
  for (int version = 9; version <= 13; version += 2) {
    slower.timeout_ms += 100;
    world.WriteConfig(version, {slower, kDropped});
    SendUntil(world, Elapsed() + 600, false);
  }
  if (!calm) {
    const int64_t copied_before = NowMs() - 3'000;
    Record("store: away");
    world.store.GoAway();
    SendUntil(world, Elapsed() + 1'000, false);
    world.store.ComeBackFromCopy(copied_before);
    Record("store: back from a copy that is 3 s old, revision %llu",
           static_cast<unsigned long long>(world.store.rev()));
    SendUntil(world, Elapsed() + 200, false);
    world.RewriteConfig();
  }
  SendUntil(world, Elapsed() + kStableWindowMs + 2'000, false);
  world.WriteConfig(20, {slower, kNew});
  const int64_t acked = Elapsed();
  Endpoint& leaving = world.endpoints.front();
  world.Drain(leaving);
  SendUntil(world, Elapsed() + kConfigApplyMs + kMaxStretchMs + 10'000, true);
  std::set<int> within, through;
  const int at_bound = CountOldConfig(world, acked + kConfigApplyMs, within);
  const int broken =
      CountOldConfig(world, acked + kConfigApplyMs + kMaxStretchMs, through);
  const int late = CountLateAt(world, leaving, kDrainMs + kMaxStretchMs);
  Record(
      "requests handled as an older version: %d through %zu of %d VMs later "
      "than configApplyMs, %d through %zu VMs later than configApplyMs + "
      "maxStretchMs",
      at_bound, within.size(), kVms, broken, through.size());
  Record(
      "DRAIN as well: %d requests reached %s later than drainMs + "
      "maxStretchMs after its draining was acknowledged",
      late, leaving.id.c_str());
  Record("requests of the added route that were served: %d",
         Served(world, "added route", acked));
  return Conclude(world, "CONFIG", broken);
}

// The store comes back from a copy that is some seconds old, and its revisions
// soon pass those that the VMs have. A version that was written in between has
// a revision that they had already.
int RunLostVersion(World& world, bool calm) {
  StartAll(world, {kOld, kDropped});
  SendUntil(world, 6'000, false);
  Route slower = kOld;
  for (int version = 9; version <= 13; version += 2) {
    slower.timeout_ms += 100;
    world.WriteConfig(version, {slower, kDropped});
    SendUntil(world, Elapsed() + 600, false);
  }
  if (!calm) {
    const int64_t copied_before = NowMs() - 3'000;
    Record("store: away");
    world.store.GoAway();
    SendUntil(world, Elapsed() + 1'000, false);
    world.store.ComeBackFromCopy(copied_before);
    Record("store: back from a copy that is 3 s old, revision %llu",
           static_cast<unsigned long long>(world.store.rev()));
    world.RewriteConfig();
  }
  SendUntil(world, Elapsed() + 300, false);
  world.WriteConfig(20, {slower, kNew});
  const int64_t acked = Elapsed();
  // One endpoint is replaced: the new one starts first, the old one drains.
  Endpoint& leaving = world.endpoints.front();
  SendUntil(world, Elapsed() + 300, false);
  Endpoint& added = world.AddEndpoint("huvo11a", 0);
  SendUntil(world, Elapsed() + 700, false);
  world.Drain(leaving);
  SendUntil(world, Elapsed() + 1'000, false);
  const int64_t stable = Elapsed() + kStableWindowMs;
  SendUntil(world, acked + kConfigApplyMs + kMaxStretchMs + 10'000, true);
  std::set<int> through;
  const int broken = CountOldConfig(
      world, std::max(acked + kConfigApplyMs + kMaxStretchMs, stable), through);
  int at_added = 0;
  for (const Attempt& a : world.ended) {
    at_added += a.result == "served huvo11a " + added.id;
  }
  Record(
      "requests handled as an older version: %d through %zu of %d VMs later "
      "than configApplyMs + maxStretchMs",
      broken, through.size(), kVms);
  Record(
      "changes after it arrived: %d requests were served by the endpoint that "
      "was added, %d reached the draining one later than drainMs",
      at_added, CountLateAt(world, leaving, kDrainMs));
  return Conclude(world, "CONFIG", broken);
}

}  // namespace
}  // namespace standin

int main(int argc, char** argv) {
  using namespace standin;  // NOLINT(google-build-using-namespace)
  if (argc < 5) return 2;
  signal(SIGPIPE, SIG_IGN);
  start_ms = NowMs();
  record_file = fopen(argv[4], "w");
  if (record_file == nullptr) return 2;
  alarm(115);
  const std::string name = argv[1];
  const bool calm = argc > 5 && std::string(argv[5]) == "calm";
  World world(argv[2], argv[3]);
  if (name == "rewind") return RunRewind(world, calm);
  if (name == "lost-version") return RunLostVersion(world, calm);
  return 2;
}
