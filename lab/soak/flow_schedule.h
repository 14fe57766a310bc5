#ifndef KNAPWEEDLIFT_LAB_SOAK_FLOW_SCHEDULE_H_
#define KNAPWEEDLIFT_LAB_SOAK_FLOW_SCHEDULE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/time.h"

namespace knapweedlift::lab {

enum class FlowAction : uint8_t {
  // Asks the process of a VM to end; it is started again.
  kTerminateVm,
  // Faults of a server, which end with kRestoreServer.
  kCutServer,
  kSlowServer,
  kDelayAccepts,
  kPauseServer,
  kRestoreServer,
  // A server ends for good: its process ends, or its machine is gone.
  kEndProcess,
  kEndMachine,
  // Removes an ended server from the store and starts another one.
  kReplaceServer,
  // Callers open more short flows, and the usual number again.
  kMoreCallers,
  kUsualCallers,
  // The store copies its content, goes away, and returns from the copy.
  kTakeCopy,
  kLoseStore,
  kReturnStore,
};

struct FlowEvent {
  // Since the start of the schedule.
  Duration at{0};
  FlowAction action = FlowAction::kTerminateVm;
  // The VM, or the place of the server.
  size_t target = 0;

  auto operator<=>(const FlowEvent&) const = default;
};

struct FlowSchedule {
  // In the order of their times.
  std::vector<FlowEvent> events;
  // The kinds of trouble, in the order of the rounds.
  std::vector<std::string> rounds;

  auto operator<=>(const FlowSchedule&) const = default;
};

inline constexpr Duration kFlowRoundLength{5'000};

// Places of servers. A place belongs to the service with the index
// `place % services`.
struct ServerPlaces {
  size_t count = 0;
  size_t services = 0;

  auto operator<=>(const ServerPlaces&) const = default;
};

// Returns a schedule of consecutive rounds, each with one kind of trouble, that
// follows from the seed, the number of VMs and the places alone.
FlowSchedule MakeFlowSchedule(uint64_t seed, size_t rounds, size_t vms,
                              const ServerPlaces& places);

// Adds returns of the store from an older copy to about half of the rounds
// whose servers are not overloaded, without a change to the other events.
void AddFlowStoreReturns(uint64_t seed, FlowSchedule& schedule);

// Returns the name of an action for records.
const char* FlowActionName(FlowAction action);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_SOAK_FLOW_SCHEDULE_H_
