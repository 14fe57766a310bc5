#ifndef KNAPWEEDLIFT_LAB_SOAK_CONFIG_SCHEDULE_H_
#define KNAPWEEDLIFT_LAB_SOAK_CONFIG_SCHEDULE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/time.h"
#include "lab/marks/fake_store.h"

namespace knapweedlift::lab {

enum class SoakAction : uint8_t {
  // The operator writes a version in which the changing route leads to the
  // other service.
  kFlipRoute,
  // The operator writes a version that drops a route or adds it again.
  kToggleRoute,
  // The operator writes a version that only adds a route of its own.
  kAddRoute,
  // Something unreadable is in place of the configuration, until the next one.
  kUnreadableConfig,
  // The operator begins or ends the evacuation of a failure domain.
  kEvacuate,
  kEndEvacuation,
  // Signals to the process of a VM.
  kTerminate,
  kKill,
  kFreeze,
  kThaw,
  // A VM gets a tenth of a core from kStartSlow to kEndSlow.
  kStartSlow,
  kEndSlow,
  // The watches of all listeners of the store report nothing.
  kStallWatches,
  // The store drops its history, and the watches are cut.
  kDropHistory,
  // Entries change between the pages of a read.
  kSlowPages,
  kFastPages,
  // Sets the mode of one of the store's listeners.
  kSetStoreMode,
  // The store copies its content, goes away, and returns from the copy.
  kTakeCopy,
  kLoseStore,
  kReturnStore,
};

struct SoakEvent {
  // Since the start of the schedule.
  Duration at{0};
  SoakAction action = SoakAction::kFlipRoute;
  // The VM, the listener of the store, or the failure domain.
  size_t target = 0;
  StoreMode mode = StoreMode::kServe;

  auto operator<=>(const SoakEvent&) const = default;
};

struct ConfigSchedule {
  // In the order of their times.
  std::vector<SoakEvent> events;
  // The kinds of trouble, in the order of the rounds.
  std::vector<std::string> rounds;

  auto operator<=>(const ConfigSchedule&) const = default;
};

inline constexpr Duration kSoakRoundLength{10'000};

// Returns a schedule of consecutive rounds, each with one kind of trouble, that
// follows from the seed alone. `seed_vms` lists the VMs that others find the
// fleet by.
ConfigSchedule MakeConfigSchedule(uint64_t seed, size_t rounds, size_t vms,
                                  const std::vector<size_t>& seed_vms,
                                  size_t listeners);

// Adds evacuations of one or two of `domains` failure domains to the rounds of
// a schedule, without a change to its other events. They begin before the
// trouble of a round does, so that some VM knows of them when the store fails.
// Rounds in which VMs stand still have none: such a VM is not connected and
// continues with old facts.
void AddEvacuations(uint64_t seed, size_t domains, ConfigSchedule& schedule);

// Adds returns of the store from a copy that is one to three seconds old to
// about half of the rounds, without a change to the other events of a schedule.
// Some come twice, and the first VM, which usually watches the store, is killed
// at some of them.
void AddStoreReturns(uint64_t seed, ConfigSchedule& schedule);

// Returns the name of an action for records.
const char* SoakActionName(SoakAction action);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_SOAK_CONFIG_SCHEDULE_H_
