#include "lab/soak/flow_schedule.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <random>

namespace knapweedlift::lab {
namespace {

constexpr double kRollingStopShare = 0.45;
// A VM that is asked to end drains for longer, so that stops overlap.
constexpr int64_t kMinStopGapMs = 300;
constexpr int64_t kMaxStopGapMs = 900;
constexpr Duration kLastStop{4'500};

// Collects the events of one round, which begins at `start`.
struct RoundBuilder {
  std::mt19937_64& random;
  size_t vms = 0;
  ServerPlaces places;
  Duration start{0};
  std::vector<FlowEvent>& events;

  // Not std::uniform_int_distribution, whose results differ between libraries.
  Duration PickTime(int64_t low_ms, int64_t high_ms) const {
    return Duration(
        low_ms + static_cast<int64_t>(
                     random() % static_cast<uint64_t>(high_ms - low_ms + 1)));
  }
  void Add(Duration at, FlowAction action, size_t target = 0) const {
    events.push_back({.at = start + at, .action = action, .target = target});
  }
};

// Returns the numbers below `count` in random order.
std::vector<size_t> Shuffled(const RoundBuilder& round, size_t count) {
  std::vector<size_t> numbers(count);
  std::iota(numbers.begin(), numbers.end(), 0);
  for (size_t i = count; i > 1; --i) {
    std::swap(numbers[i - 1], numbers[round.random() % i]);
  }
  return numbers;
}

void AddRollingStop(const RoundBuilder& round) {
  std::vector<size_t> vms = Shuffled(round, round.vms);
  const auto share = kRollingStopShare * static_cast<double>(vms.size());
  vms.resize(std::max<size_t>(1, static_cast<size_t>(share)));
  const Duration gap = round.PickTime(kMinStopGapMs, kMaxStopGapMs);
  Duration at = round.PickTime(0, 300);
  for (const size_t vm : vms) {
    if (at > kLastStop) return;
    round.Add(at, FlowAction::kTerminateVm, vm);
    at += gap;
  }
}

void AddCutServers(const RoundBuilder& round) {
  AddRollingStop(round);
  const std::vector<size_t> servers = Shuffled(round, round.places.count);
  const Duration first = round.PickTime(300, 1'500);
  const Duration first_end = first + round.PickTime(600, 1'200);
  round.Add(first, FlowAction::kCutServer, servers[0]);
  round.Add(first_end, FlowAction::kRestoreServer, servers[0]);
  const Duration second = first_end + round.PickTime(0, 800);
  round.Add(second, FlowAction::kCutServer, servers[1]);
  round.Add(second + round.PickTime(600, 1'200), FlowAction::kRestoreServer,
            servers[1]);
}

void AddFullService(const RoundBuilder& round) {
  const size_t service = round.random() % round.places.services;
  const Duration from = round.PickTime(300, 1'000);
  const Duration until = from + round.PickTime(1'000, 2'000);
  round.Add(from, FlowAction::kMoreCallers);
  for (size_t i = service; i < round.places.count; i += round.places.services) {
    round.Add(from + round.PickTime(0, 200), FlowAction::kSlowServer, i);
    round.Add(until + round.PickTime(0, 200), FlowAction::kRestoreServer, i);
  }
  round.Add(until, FlowAction::kUsualCallers);
}

void AddLateAccepts(const RoundBuilder& round) {
  const std::vector<size_t> servers = Shuffled(round, round.places.count);
  for (size_t i = 0; i < std::max<size_t>(1, servers.size() / 4); ++i) {
    const Duration from = round.PickTime(200, 1'500);
    round.Add(from, FlowAction::kDelayAccepts, servers[i]);
    round.Add(from + round.PickTime(1'000, 2'500), FlowAction::kRestoreServer,
              servers[i]);
  }
}

void AddPausedServers(const RoundBuilder& round) {
  const std::vector<size_t> servers = Shuffled(round, round.places.count);
  Duration at{200};
  for (size_t i = 0; i < 2 * servers.size() && at < Duration(4'200); ++i) {
    const size_t server = servers[i % servers.size()];
    round.Add(at, FlowAction::kPauseServer, server);
    round.Add(at + round.PickTime(50, 400), FlowAction::kRestoreServer, server);
    at += round.PickTime(50, 500);
  }
}

void AddEndedServer(const RoundBuilder& round) {
  const size_t server = round.random() % round.places.count;
  const Duration end = round.PickTime(200, 900);
  round.Add(end,
            round.random() % 2 == 0 ? FlowAction::kEndProcess
                                    : FlowAction::kEndMachine,
            server);
  // The platform lists an ended server for up to 5 s.
  round.Add(end + round.PickTime(2'000, 3'900), FlowAction::kReplaceServer,
            server);
}

struct RoundKind {
  const char* name;
  void (*add)(const RoundBuilder&);
  bool stops_vms;
  bool overloads_servers = false;
};

constexpr std::array<RoundKind, 5> kRoundKinds = {{
    {"cut-servers", AddCutServers, true},
    {"full-service", AddFullService, false, true},
    {"late-accepts", AddLateAccepts, false, true},
    {"paused-servers", AddPausedServers, false},
    {"ended-server", AddEndedServer, false},
}};

// The kinds take turns; consecutive seeds begin with different ones.
const RoundKind& KindOfRound(uint64_t seed, size_t round) {
  return kRoundKinds[(seed + round) % kRoundKinds.size()];
}

void SortByTime(std::vector<FlowEvent>& events) {
  std::stable_sort(
      events.begin(), events.end(),
      [](const FlowEvent& a, const FlowEvent& b) { return a.at < b.at; });
}

}  // namespace

FlowSchedule MakeFlowSchedule(uint64_t seed, size_t rounds, size_t vms,
                              const ServerPlaces& places) {
  std::mt19937_64 random(seed);
  FlowSchedule schedule;
  for (size_t i = 0; i < rounds; ++i) {
    const RoundKind& kind = KindOfRound(seed, i);
    const RoundBuilder round{
        .random = random,
        .vms = vms,
        .places = places,
        .start = static_cast<int64_t>(i) * kFlowRoundLength,
        .events = schedule.events};
    schedule.rounds.emplace_back(kind.name);
    kind.add(round);
    if (!kind.stops_vms && random() % 2 == 0) AddRollingStop(round);
  }
  SortByTime(schedule.events);
  return schedule;
}

void AddFlowStoreReturns(uint64_t seed, FlowSchedule& schedule) {
  // A generator of its own, so that the other events of a seed stay the same.
  constexpr uint64_t kSeedSalt = 0x3C6EF372;
  std::mt19937_64 random(seed ^ kSeedSalt);
  for (size_t i = 0; i < schedule.rounds.size(); ++i) {
    const RoundBuilder round{
        .random = random,
        .start = static_cast<int64_t>(i) * kFlowRoundLength,
        .events = schedule.events};
    if (random() % 2 == 0 || KindOfRound(seed, i).overloads_servers) continue;
    const Duration copy = round.PickTime(100, 1'200);
    const Duration lost = copy + round.PickTime(500, 2'000);
    const Duration back = lost + round.PickTime(100, 800);
    round.Add(copy, FlowAction::kTakeCopy);
    round.Add(lost, FlowAction::kLoseStore);
    round.Add(back, FlowAction::kReturnStore);
    if (random() % 3 != 0) continue;
    const Duration lost_again = back + round.PickTime(100, 400);
    round.Add(lost_again, FlowAction::kLoseStore);
    round.Add(lost_again + round.PickTime(100, 300), FlowAction::kReturnStore);
  }
  SortByTime(schedule.events);
}

const char* FlowActionName(FlowAction action) {
  switch (action) {
    case FlowAction::kTerminateVm:
      return "terminate_vm";
    case FlowAction::kCutServer:
      return "cut_server";
    case FlowAction::kSlowServer:
      return "slow_server";
    case FlowAction::kDelayAccepts:
      return "delay_accepts";
    case FlowAction::kPauseServer:
      return "pause_server";
    case FlowAction::kRestoreServer:
      return "restore_server";
    case FlowAction::kEndProcess:
      return "end_process";
    case FlowAction::kEndMachine:
      return "end_machine";
    case FlowAction::kReplaceServer:
      return "replace_server";
    case FlowAction::kMoreCallers:
      return "more_callers";
    case FlowAction::kUsualCallers:
      return "usual_callers";
    case FlowAction::kTakeCopy:
      return "take_copy";
    case FlowAction::kLoseStore:
      return "lose_store";
    case FlowAction::kReturnStore:
      return "return_store";
  }
  return "";
}

}  // namespace knapweedlift::lab
