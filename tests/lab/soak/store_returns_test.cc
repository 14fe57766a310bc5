#include "lab/soak/store_returns.h"

#include <criterion/criterion.h>

#include <algorithm>

#include "lab/soak/config_schedule.h"
#include "lab/soak/flow_schedule.h"

namespace knapweedlift::lab {
namespace {

// The events of a schedule without those for which `is_own` returns true.
template <typename Event, typename IsOwn>
std::vector<Event> OtherEvents(const std::vector<Event>& events,
                               const IsOwn& is_own) {
  std::vector<Event> others;
  std::copy_if(events.begin(), events.end(), std::back_inserter(others),
               [&](const Event& event) { return !is_own(event); });
  return others;
}

}  // namespace

// Known faults are listed with their seeds.
Test(store_returns, leave_the_other_events_of_a_seed_as_they_are) {
  size_t returns = 0;
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    FlowSchedule schedule =
        MakeFlowSchedule(seed, 5, 12, {.count = 12, .services = 2});
    const std::vector<FlowEvent> before = schedule.events;
    AddFlowStoreReturns(seed, schedule);
    bool copied = false;
    bool lost = false;
    for (const FlowEvent& event : schedule.events) {
      copied |= event.action == FlowAction::kTakeCopy;
      if (event.action == FlowAction::kLoseStore) lost = true;
      if (event.action != FlowAction::kReturnStore) continue;
      cr_expect(copied && lost);
      lost = false;
      ++returns;
    }
    cr_expect(not lost, "the store stays away on seed %lu", seed);
    const auto others =
        OtherEvents(schedule.events, [](const FlowEvent& event) {
          return event.action == FlowAction::kTakeCopy ||
                 event.action == FlowAction::kLoseStore ||
                 event.action == FlowAction::kReturnStore;
        });
    cr_expect(others == before);
  }
  cr_expect(returns > 50);
}

Test(store_returns, come_back_within_their_round) {
  size_t returns = 0;
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    ConfigSchedule schedule = MakeConfigSchedule(seed, 3, 16, {0, 8, 15}, 3);
    AddStoreReturns(seed, schedule);
    Duration lost_at{-1};
    for (const SoakEvent& event : schedule.events) {
      if (event.action == SoakAction::kLoseStore) lost_at = event.at;
      if (event.action != SoakAction::kReturnStore) continue;
      cr_expect(event.at / kSoakRoundLength == lost_at / kSoakRoundLength);
      lost_at = Duration(-1);
      ++returns;
    }
    cr_expect(lost_at == Duration(-1));
  }
  cr_expect(returns > 30);
}

Test(store_returns, count_the_calls_after_them) {
  FakeStore store;
  StoreReturns returns;
  returns.Add(TimePoint(Duration(1'000)), store);
  returns.Run(TimePoint(Duration(2'000)), store);
  const nlohmann::json described = returns.Describe(TimePoint(Duration(400)));
  cr_assert(described.size() == 1);
  cr_expect(described[0]["at_ms"] == 600);
  cr_expect(described[0]["calls"] == 0);
}

}  // namespace knapweedlift::lab
