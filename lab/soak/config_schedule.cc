#include "lab/soak/config_schedule.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <random>
#include <utility>

namespace knapweedlift::lab {
namespace {

constexpr Duration kRollingStopGap{900};
constexpr double kRollingStopShare = 0.45;
constexpr Duration kStormGap{50};
constexpr int kStormVersions = 24;
constexpr Duration kStallTime{1'000};
constexpr char kFrozenVms[] = "frozen-vms";

// Collects the events of one round, which begins at `start`.
struct RoundBuilder {
  std::mt19937_64& random;
  size_t vms = 0;
  const std::vector<size_t>& seed_vms;
  size_t listeners = 0;
  Duration start{0};
  std::vector<SoakEvent>& events;

  // Not std::uniform_int_distribution, whose results differ between libraries.
  int64_t Pick(int64_t low, int64_t high) const {
    return low + static_cast<int64_t>(random() %
                                      static_cast<uint64_t>(high - low + 1));
  }
  Duration PickTime(int64_t low_ms, int64_t high_ms) const {
    return Duration(Pick(low_ms, high_ms));
  }
  size_t PickVm() const { return random() % vms; }
  void Add(Duration at, SoakAction action, size_t target = 0,
           StoreMode mode = StoreMode::kServe) const {
    events.push_back(
        {.at = start + at, .action = action, .target = target, .mode = mode});
  }
};

std::vector<size_t> ShuffledVms(const RoundBuilder& round) {
  std::vector<size_t> vms(round.vms);
  std::iota(vms.begin(), vms.end(), 0);
  for (size_t i = vms.size(); i > 1; --i) {
    std::swap(vms[i - 1], vms[round.random() % i]);
  }
  return vms;
}

// Stops VMs one after the other, in a fleet of any size within the round.
void AddRollingStop(const RoundBuilder& round, Duration from) {
  std::vector<size_t> vms = ShuffledVms(round);
  const auto share = kRollingStopShare * static_cast<double>(vms.size());
  vms.resize(std::max<size_t>(1, static_cast<size_t>(share)));
  const Duration gap = std::min(
      kRollingStopGap, Duration(6'000) / static_cast<int64_t>(vms.size()));
  for (size_t i = 0; i < vms.size(); ++i) {
    round.Add(from + static_cast<int64_t>(i) * gap, SoakAction::kTerminate,
              vms[i]);
  }
}

// A route changes and changes back while the watches report nothing, and VMs
// that start in between read the first change.
void AddDroppedHistory(const RoundBuilder& round) {
  AddRollingStop(round, Duration(0));
  AddRollingStop(round, Duration(500));
  const Duration stalled = round.PickTime(3'500, 4'500);
  const Duration change = stalled + round.PickTime(50, 300);
  const Duration back = change + round.PickTime(200, 500);
  round.Add(stalled, SoakAction::kStallWatches);
  // Ends a process so that its successor reads the store between the changes.
  const size_t reader = round.seed_vms[round.random() % round.seed_vms.size()];
  round.Add(change - round.PickTime(50, 300), SoakAction::kKill, reader);
  round.Add(change, SoakAction::kFlipRoute);
  round.Add(back, SoakAction::kFlipRoute);
  if (round.Pick(0, 1) == 1) {
    round.Add(change + Duration(20), SoakAction::kToggleRoute);
    round.Add(back + Duration(20), SoakAction::kToggleRoute);
  }
  round.Add(stalled + kStallTime, SoakAction::kDropHistory);
}

// Versions follow each other in quick succession while processes are killed.
void AddStorm(const RoundBuilder& round) {
  const std::array<SoakAction, 3> changes = {
      SoakAction::kFlipRoute, SoakAction::kToggleRoute, SoakAction::kAddRoute};
  for (int i = 0; i < kStormVersions; ++i) {
    round.Add(Duration(1'000) + i * kStormGap,
              changes[round.random() % changes.size()]);
  }
  for (int i = 0; i < 4; ++i) {
    round.Add(round.PickTime(500, 2'500), SoakAction::kKill, round.PickVm());
  }
}

// Some listeners of the store fail while a route changes and changes back.
void AddFailingStore(const RoundBuilder& round) {
  const std::array<StoreMode, 5> modes = {
      StoreMode::kUnavailable, StoreMode::kTooManyRequests,
      StoreMode::kUnresponsive, StoreMode::kSlow, StoreMode::kResponseLost};
  const StoreMode mode = modes[round.random() % modes.size()];
  const bool all = round.Pick(0, 2) == 0;
  const size_t spared = round.random() % round.listeners;
  const Duration end = round.PickTime(2'500, 5'000);
  for (size_t i = 0; i < round.listeners; ++i) {
    if (!all && i == spared) continue;
    round.Add(Duration(500), SoakAction::kSetStoreMode, i, mode);
    round.Add(end, SoakAction::kSetStoreMode, i, StoreMode::kServe);
  }
  const Duration change = round.PickTime(600, 2'000);
  round.Add(change, SoakAction::kFlipRoute);
  round.Add(change + round.PickTime(100, 2'000), SoakAction::kFlipRoute);
  round.Add(change + Duration(2'200), SoakAction::kToggleRoute);
  for (int i = 0; i < 3; ++i) {
    round.Add(round.PickTime(500, 4'000), SoakAction::kTerminate,
              round.PickVm());
  }
}

// VMs stand still while others stop, and go on with old facts in hand.
void AddFrozenVms(const RoundBuilder& round) {
  const size_t count = std::max<size_t>(2, round.vms / 5);
  for (size_t i = 0; i < count; ++i) {
    const size_t vm = round.PickVm();
    const Duration from = round.PickTime(200, 2'500);
    round.Add(from, SoakAction::kFreeze, vm);
    round.Add(from + round.PickTime(200, 5'000), SoakAction::kThaw, vm);
  }
  AddRollingStop(round, Duration(500));
  const Duration change = round.PickTime(1'000, 2'500);
  round.Add(change, SoakAction::kFlipRoute);
  round.Add(change + round.PickTime(50, 1'500), SoakAction::kFlipRoute);
  round.Add(change + Duration(1'700), SoakAction::kToggleRoute);
}

// Some VMs have little processor time while a route changes again and again.
void AddSlowVms(const RoundBuilder& round) {
  const size_t count = std::max<size_t>(3, round.vms / 4);
  for (size_t i = 0; i < count; ++i) {
    const size_t vm = round.PickVm();
    round.Add(Duration(300), SoakAction::kStartSlow, vm);
    round.Add(round.PickTime(3'000, 5'000), SoakAction::kEndSlow, vm);
  }
  for (int i = 0; i < 6; ++i) {
    round.Add(round.PickTime(500, 4'000),
              i % 2 == 0 ? SoakAction::kFlipRoute : SoakAction::kToggleRoute);
  }
  round.Add(round.PickTime(500, 3'000), SoakAction::kKill, round.PickVm());
  round.Add(round.PickTime(500, 3'000), SoakAction::kTerminate, round.PickVm());
}

// VMs start while something unreadable is in place of the configuration.
void AddUnreadableConfig(const RoundBuilder& round) {
  round.Add(Duration(1'000), SoakAction::kFlipRoute);
  round.Add(Duration(1'400), SoakAction::kUnreadableConfig);
  const size_t reader = round.seed_vms[round.random() % round.seed_vms.size()];
  round.Add(Duration(1'300), SoakAction::kKill, reader);
  round.Add(Duration(1'350), SoakAction::kKill, round.PickVm());
  round.Add(Duration(1'900), SoakAction::kToggleRoute);
  round.Add(Duration(2'000), SoakAction::kFlipRoute);
}

// Routes change while two series of stops overlap.
void AddChangesDuringStops(const RoundBuilder& round) {
  AddRollingStop(round, Duration(0));
  AddRollingStop(round, Duration(500));
  for (int i = 0; i < 8; ++i) {
    const std::array<SoakAction, 2> changes = {SoakAction::kFlipRoute,
                                               SoakAction::kToggleRoute};
    round.Add(round.PickTime(500, 5'500), changes[round.random() % 2]);
  }
}

// VMs read the store page by page while the route changes and changes back.
void AddChangingPages(const RoundBuilder& round) {
  constexpr int kChanges = 16;
  round.Add(Duration(500), SoakAction::kSlowPages);
  Duration at{600};
  for (int i = 0; i < kChanges; ++i) {
    at += round.PickTime(80, 250);
    round.Add(at, SoakAction::kFlipRoute);
  }
  for (const size_t reader : round.seed_vms) {
    round.Add(round.PickTime(200, at.count() - 400), SoakAction::kKill, reader);
  }
  round.Add(at + Duration(500), SoakAction::kFastPages);
}

struct RoundKind {
  const char* name;
  void (*add)(const RoundBuilder&);
};

constexpr std::array<RoundKind, 8> kRoundKinds = {{
    {"dropped-history", AddDroppedHistory},
    {"storm", AddStorm},
    {"failing-store", AddFailingStore},
    {kFrozenVms, AddFrozenVms},
    {"slow-vms", AddSlowVms},
    {"unreadable-config", AddUnreadableConfig},
    {"rolling-stops", AddChangesDuringStops},
    {"changing-pages", AddChangingPages},
}};

void SortByTime(std::vector<SoakEvent>& events) {
  std::stable_sort(
      events.begin(), events.end(),
      [](const SoakEvent& a, const SoakEvent& b) { return a.at < b.at; });
}

size_t RoundNumber(const RoundBuilder& round) {
  return static_cast<size_t>(round.start / kSoakRoundLength);
}

// Adds events to the rounds of a schedule. They come from a generator of their
// own, so that the other events of a seed stay the same.
template <typename AddEvents>
void AddToRounds(uint64_t seed, ConfigSchedule& schedule,
                 const AddEvents& add_events) {
  std::mt19937_64 random(seed);
  const std::vector<size_t> no_seeds;
  for (size_t i = 0; i < schedule.rounds.size(); ++i) {
    add_events(RoundBuilder{.random = random,
                            .seed_vms = no_seeds,
                            .start = static_cast<int64_t>(i) * kSoakRoundLength,
                            .events = schedule.events});
  }
  SortByTime(schedule.events);
}

// The store returns from an older copy, while the configuration changes.
void AddStoreReturn(const RoundBuilder& round) {
  const Duration copy = round.PickTime(500, 3'500);
  const Duration lost = copy + round.PickTime(1'000, 3'000);
  const Duration back = lost + round.PickTime(100, 1'500);
  round.Add(copy, SoakAction::kTakeCopy);
  round.Add(lost - round.PickTime(50, 800), SoakAction::kToggleRoute);
  round.Add(lost, SoakAction::kLoseStore);
  round.Add(back, SoakAction::kReturnStore);
  round.Add(back + round.PickTime(0, 600), SoakAction::kFlipRoute);
  if (round.Pick(0, 2) == 0) {
    round.Add(back + round.PickTime(-300, 300), SoakAction::kKill, 0);
  }
  if (round.Pick(0, 2) != 0) return;
  const Duration lost_again = back + round.PickTime(200, 1'000);
  round.Add(lost_again, SoakAction::kLoseStore);
  round.Add(lost_again + round.PickTime(100, 600), SoakAction::kReturnStore);
}

}  // namespace

ConfigSchedule MakeConfigSchedule(uint64_t seed, size_t rounds, size_t vms,
                                  const std::vector<size_t>& seed_vms,
                                  size_t listeners) {
  std::mt19937_64 random(seed);
  ConfigSchedule schedule;
  for (size_t i = 0; i < rounds; ++i) {
    // Every second round drops the history, in which rare faults need luck; the
    // others take turns, also over consecutive seeds.
    const size_t turn = (seed * rounds + i) / 2 % (kRoundKinds.size() - 1);
    const RoundKind& kind = kRoundKinds[i % 2 == 0 ? 0 : 1 + turn];
    schedule.rounds.emplace_back(kind.name);
    kind.add({.random = random,
              .vms = vms,
              .seed_vms = seed_vms,
              .listeners = listeners,
              .start = static_cast<int64_t>(i) * kSoakRoundLength,
              .events = schedule.events});
  }
  SortByTime(schedule.events);
  return schedule;
}

void AddEvacuations(uint64_t seed, size_t domains, ConfigSchedule& schedule) {
  constexpr uint64_t kSeedSalt = 0x6A09E667;
  AddToRounds(seed ^ kSeedSalt, schedule, [&](const RoundBuilder& round) {
    const size_t first = round.random() % domains;
    const size_t count = 1 + round.random() % 2;
    if (schedule.rounds[RoundNumber(round)] == kFrozenVms) return;
    for (size_t j = 0; j < std::min(count, domains - 1); ++j) {
      const size_t domain = (first + j) % domains;
      round.Add(round.PickTime(100, 300), SoakAction::kEvacuate, domain);
      round.Add(round.PickTime(7'500, 9'000), SoakAction::kEndEvacuation,
                domain);
    }
  });
}

void AddStoreReturns(uint64_t seed, ConfigSchedule& schedule) {
  constexpr uint64_t kSeedSalt = 0xBB67AE85;
  AddToRounds(seed ^ kSeedSalt, schedule, [](const RoundBuilder& round) {
    if (round.Pick(0, 1) == 1) AddStoreReturn(round);
  });
}

const char* SoakActionName(SoakAction action) {
  switch (action) {
    case SoakAction::kFlipRoute:
      return "flip_route";
    case SoakAction::kToggleRoute:
      return "toggle_route";
    case SoakAction::kAddRoute:
      return "add_route";
    case SoakAction::kUnreadableConfig:
      return "unreadable_config";
    case SoakAction::kEvacuate:
      return "evacuate";
    case SoakAction::kEndEvacuation:
      return "end_evacuation";
    case SoakAction::kTerminate:
      return "terminate";
    case SoakAction::kKill:
      return "kill";
    case SoakAction::kFreeze:
      return "freeze";
    case SoakAction::kThaw:
      return "thaw";
    case SoakAction::kStartSlow:
      return "start_slow";
    case SoakAction::kEndSlow:
      return "end_slow";
    case SoakAction::kStallWatches:
      return "stall_watches";
    case SoakAction::kDropHistory:
      return "drop_history";
    case SoakAction::kSlowPages:
      return "slow_pages";
    case SoakAction::kFastPages:
      return "fast_pages";
    case SoakAction::kSetStoreMode:
      return "set_store_mode";
    case SoakAction::kTakeCopy:
      return "take_copy";
    case SoakAction::kLoseStore:
      return "lose_store";
    case SoakAction::kReturnStore:
      return "return_store";
  }
  return "";
}

}  // namespace knapweedlift::lab
