#ifndef KNAPWEEDLIFT_LAB_SOAK_CONFIG_HISTORY_H_
#define KNAPWEEDLIFT_LAB_SOAK_CONFIG_HISTORY_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/sheet/sheet.h"
#include "core/time.h"

// What clients, backend servers and the operator see of the configuration while
// a fleet runs, and the check of the users' rule CONFIG on it.
namespace knapweedlift::lab {

// A configuration that the store has acknowledged: the service of each route.
struct ConfigVersion {
  uint64_t number = 0;
  std::map<Endpoint, std::string> routes;
  // When the operator sent it, and when the store acknowledged it.
  TimePoint sent_at;
  TimePoint acknowledged_at;

  auto operator<=>(const ConfigVersion&) const = default;
};

// How one process of a VM handled the first packet of a flow.
struct RoutedFlow {
  size_t vm = 0;
  // Number of the VM's process, from 1 on.
  uint32_t incarnation = 0;
  Endpoint route;
  // Which copy of the SYN was taken, from 0 on, and when it was sent.
  uint32_t syn_copy = 0;
  TimePoint sent_at;
  // When a backend server, or the client, received the outcome.
  TimePoint handled_at;
  // The service whose backend server took the packet; empty if the VM rejected
  // it.
  std::string service;

  auto operator<=>(const RoutedFlow&) const = default;
};

enum class DisturbanceKind : uint8_t {
  // The VM's process started, ended, or was asked to end.
  kRestart,
  // The VM's process stood still, or ran on a small part of a core.
  kSlowed,
  // The store lost its history or kept changes from its watches.
  kStoreUnstable,
  // The store did not answer, was slow, or lost responses.
  kStoreUnavailable,
};

struct Disturbance {
  DisturbanceKind kind = DisturbanceKind::kRestart;
  // Nothing if all VMs are concerned.
  std::optional<size_t> vm;
  TimePoint from;
  TimePoint until;

  auto operator<=>(const Disturbance&) const = default;
};

struct ConfigHistory {
  // In the order of their acknowledgement.
  std::vector<ConfigVersion> versions;
  std::vector<RoutedFlow> flows;
  std::vector<Disturbance> disturbances;

  auto operator<=>(const ConfigHistory&) const = default;
};

// The bounds of the users' rules, named as there.
inline constexpr Duration kConfigApplyTime{3'000};
inline constexpr Duration kDowngradeSlack{250};
inline constexpr int kSlowedDowngradeFactor = 8;
inline constexpr Duration kStableWindow{4'000};
inline constexpr Duration kMaxStretch{12'000};

enum class ConfigFault : uint8_t {
  // No version allows what the VM did.
  kNotAllowed,
  // Only versions allow it that were replaced too long ago.
  kLate,
  // The process had acted on a newer version before.
  kWentBack,
};

struct ConfigViolation {
  ConfigFault fault = ConfigFault::kNotAllowed;
  RoutedFlow flow;
  // The newest version that allows what the VM did; 0 if none does.
  uint64_t newest_allowing = 0;
  // The version that should have been in force.
  uint64_t expected = 0;
  // How much later than allowed.
  Duration late_by{0};

  auto operator<=>(const ConfigViolation&) const = default;
};

// Checks the rule CONFIG for each flow.
std::vector<ConfigViolation> CheckConfigHistory(const ConfigHistory& history);

// Time from an acknowledgement until a VM was first seen to act on that version
// or a newer one, for each version and each VM that was seen to.
struct ApplyTimes {
  // VMs in touch from kStableWindow before the acknowledgement on.
  std::vector<Duration> calm;
  // VMs that ran undisturbed while the store was unstable.
  std::vector<Duration> unstable_store;
  // VMs that ran undisturbed while the store failed.
  std::vector<Duration> failing_store;
  // VMs whose process was restarted, stood still or was slow.
  std::vector<Duration> disturbed;

  auto operator<=>(const ApplyTimes&) const = default;
};

ApplyTimes MeasureApplyTimes(const ConfigHistory& history);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_SOAK_CONFIG_HISTORY_H_
