#ifndef KNAPWEEDLIFT_CORE_ADMISSION_ADMISSION_H_
#define KNAPWEEDLIFT_CORE_ADMISSION_ADMISSION_H_

#include <algorithm>
#include <array>
#include <atomic>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/time.h"

namespace knapweedlift {

struct AdmissionSettings {
  bool enabled = false;
  // Share of the allowed rate that is kept for less urgent classes.
  double reserved_share = 0.05;

  auto operator<=>(const AdmissionSettings&) const = default;
};

// Classes of urgency; class 0 is the most urgent. Priorities from the last
// class on share it, and so do routes without a priority.
inline constexpr size_t kAdmissionClasses = 8;

inline size_t AdmissionClass(uint8_t priority) {
  return std::min<size_t>(priority, kAdmissionClasses - 1);
}

using ClassRates = std::array<double, kAdmissionClasses>;
using ClassCounts = std::array<uint64_t, kAdmissionClasses>;

// Requests for each slot that a server takes: one in progress and four in the
// queue.
inline constexpr double kServerRequestsPerSlot = 5;
// Waiting callers for each slot that admission aims for while a service has too
// little capacity. Usual load stays below 1, and servers are full at
// kServerRequestsPerSlot.
inline constexpr double kTargetPressure = 2.75;
// Slots are in use from here on, so that the served rate is the capacity.
inline constexpr double kSaturatedPressure = 1.5;
// At this distance below the target everything is admitted.
inline constexpr double kPressureMargin = 1;
// Waiting callers for each slot by which a domain in reach counts for more than
// the VM's own. Below the remote penalty of placement, so that flows overflow
// before any is refused.
inline constexpr double kRemotePressurePenalty = 1;

// Admission of one service as read and counted by the packet path. The control
// thread sets the shares.
struct AdmissionGate {
  AdmissionGate() {
    for (auto& share : shares) share = 1;
  }

  // Shares of new flows that are admitted, by class.
  std::array<std::atomic<double>, kAdmissionClasses> shares;
  // New flows by class.
  std::array<std::atomic<uint64_t>, kAdmissionClasses> admitted{};
  std::array<std::atomic<uint64_t>, kAdmissionClasses> refused{};
  // Flows whose first request was served.
  std::atomic<uint64_t> served{0};
};

// Waiting callers for each slot of the usable servers of a service, at most
// kServerRequestsPerSlot.
struct ServicePressure {
  // In the own domain, extrapolated from this VM's own callers: up to date, but
  // of few callers.
  double own = 0;
  // In the own domain, from the reports of a few of its VMs: up to 0.4 s old.
  double reported = 0;
  // Lowest of the other domains in reach.
  double remote = kServerRequestsPerSlot;

  auto operator<=>(const ServicePressure&) const = default;
};

// What happened at one service since the last update.
struct AdmissionInput {
  // Nothing if some load is missing or stale.
  std::optional<ServicePressure> pressure;
  // New flows, by class, and flows whose first request was served.
  ClassCounts arrivals{};
  uint64_t served = 0;

  auto operator<=>(const AdmissionInput&) const = default;
};

// Admission of one service by the control thread.
struct AdmissionState {
  // Time of the first and the last update.
  TimePoint started_at;
  TimePoint updated_at;
  // Smoothed inputs: waiting callers for each slot, and events per second.
  double own_pressure = 0;
  double pressure = 0;
  double served_rate = 0;
  ClassRates arrival_rates{};
  // Updates, and flows served, since the slots of the service have been in use.
  uint64_t saturated_updates = 0;
  // Updates since the slots of all other domains in reach have been in use.
  uint64_t remote_saturated_updates = 0;
  uint64_t served_while_saturated = 0;
  ClassRates shares = {1, 1, 1, 1, 1, 1, 1, 1};

  auto operator<=>(const AdmissionState&) const = default;
};

// Returns the state after an update at `now`. Shares change by a bounded step.
// Everything is admitted without known load, in the first seconds of a VM, and
// if too few flows were served to measure the capacity.
AdmissionState UpdateAdmission(const AdmissionState& state,
                               const AdmissionSettings& settings,
                               const AdmissionInput& input, TimePoint now);

// True if some class is not admitted completely.
bool IsRefusing(const AdmissionState& state);

// Returns true if a new flow is to be admitted. The choice is independent of
// the choice of a server and equal on VMs with equal shares.
bool ShouldAdmit(double share, uint64_t fingerprint);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_ADMISSION_ADMISSION_H_
