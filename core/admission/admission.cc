#include "core/admission/admission.h"

#include <cmath>

#include "core/flow/flow_key.h"

namespace knapweedlift {
namespace {

constexpr uint64_t kAdmissionSalt = 0x5E3D90A7;
// Load reports need this long to arrive after a VM has started to serve.
constexpr Duration kStartTime{2'000};
// Fewer served flows do not measure the capacity.
constexpr uint64_t kMinServed = 5;
// Updates after which the reports show a burst, what they have to show of it
// before, and by how much the estimate from this VM's own callers may exceed
// them: these alone are too few to refuse flows.
constexpr uint64_t kReportLagUpdates = 5;
constexpr double kMinReportedPressure = 1.25;
constexpr double kMaxOwnFactor = 1.5;
// Longer than a cycle of load reports: at the start of a burst all VMs overflow
// to the same servers until the first reports show it.
constexpr uint64_t kRemoteSaturatedUpdates = 6;
// Weights of the newest value in moving averages. The rates start anew when a
// service becomes saturated: those of usual load do not show its capacity.
constexpr double kPressureWeight = 0.5;
constexpr double kArrivalWeight = 0.3;
constexpr double kServedWeight = 0.1;
// Relative change of the allowed rate for each waiting caller a slot off the
// target. A slot serves about 18 requests while a load report travels (0.4 s),
// so that a large linear gain would oscillate. The quadratic part empties full
// servers.
constexpr double kLinearGain = 0.04;
constexpr double kQuadraticGain = 0.12;
constexpr double kMinFactor = 0.3;
// Largest changes of a share in one update; a queue fills in two updates.
constexpr double kMaxDecrease = 0.5;
constexpr double kMaxIncrease = 0.15;
// Arrivals per second assumed for a class without arrivals.
constexpr double kMinArrivalRate = 1;

double AllowedRate(const AdmissionState& state) {
  const double below = kTargetPressure - state.pressure;
  const double factor =
      1 + kLinearGain * below + kQuadraticGain * below * std::abs(below);
  return state.served_rate * std::max(kMinFactor, factor);
}

// Distributes the allowed rate to the classes in order of urgency.
ClassRates SharesOfRate(const ClassRates& arrival_rates, double allowed,
                        double reserved_share) {
  double later = 0;
  for (const double rate : arrival_rates) later += rate;
  ClassRates shares;
  double rest = allowed;
  for (size_t i = 0; i < kAdmissionClasses; ++i) {
    later = std::max(0.0, later - arrival_rates[i]);
    const double reserved = std::min(later, reserved_share * rest);
    const double arriving = std::max(kMinArrivalRate, arrival_rates[i]);
    const double admitted = std::min(arriving, rest - reserved);
    shares[i] = admitted / arriving;
    rest -= std::min(admitted, arrival_rates[i]);
  }
  return shares;
}

// Updates the smoothed pressure; `saturated_updates` is that of the last
// update.
double CombinePressure(const AdmissionState& state,
                       const ServicePressure& pressure) {
  // A VM with more flows than others overestimates the pressure by its own
  // callers, and few callers vary.
  const double own =
      std::min(state.own_pressure, kMaxOwnFactor * pressure.reported);
  // At the start of a burst the reports are older than the burst.
  const bool reports_lag = state.saturated_updates < kReportLagUpdates &&
                           pressure.reported >= kMinReportedPressure;
  const double local = reports_lag ? std::max(own, pressure.reported)
                                   : (own + pressure.reported) / 2;
  // A remote domain with free slots takes the overflow of this one.
  const double remote = state.remote_saturated_updates < kRemoteSaturatedUpdates
                            ? std::min(pressure.remote, kSaturatedPressure)
                            : pressure.remote + kRemotePressurePenalty;
  return std::min(local, remote);
}

void SmoothInputs(AdmissionState& state, const AdmissionInput& input,
                  double seconds) {
  const ServicePressure pressure = input.pressure.value_or(ServicePressure{});
  state.own_pressure += kPressureWeight * (pressure.own - state.own_pressure);
  state.remote_saturated_updates = pressure.remote >= kSaturatedPressure
                                       ? state.remote_saturated_updates + 1
                                       : 0;
  state.pressure = CombinePressure(state, pressure);
  const bool saturated =
      std::max(state.own_pressure, state.pressure) >= kSaturatedPressure;
  state.saturated_updates = saturated ? state.saturated_updates + 1 : 0;
  state.served_while_saturated =
      saturated ? state.served_while_saturated + input.served : 0;
  const double newest =
      saturated ? 1 / static_cast<double>(state.saturated_updates) : 0;
  const double served_rate = static_cast<double>(input.served) / seconds;
  state.served_rate +=
      std::max(kServedWeight, newest) * (served_rate - state.served_rate);
  for (size_t i = 0; i < kAdmissionClasses; ++i) {
    const double rate = static_cast<double>(input.arrivals[i]) / seconds;
    state.arrival_rates[i] +=
        std::max(kArrivalWeight, newest) * (rate - state.arrival_rates[i]);
  }
}

}  // namespace

AdmissionState UpdateAdmission(const AdmissionState& state,
                               const AdmissionSettings& settings,
                               const AdmissionInput& input, TimePoint now) {
  AdmissionState next = state;
  if (state.started_at == TimePoint{}) next.started_at = now;
  next.updated_at = now;
  if (now <= state.updated_at || state.updated_at == TimePoint{}) return next;
  constexpr double kMsPerSecond = 1'000;
  SmoothInputs(
      next, input,
      static_cast<double>((now - state.updated_at).count()) / kMsPerSecond);
  const bool may_refuse = settings.enabled && input.pressure.has_value() &&
                          now - next.started_at >= kStartTime &&
                          next.served_while_saturated >= kMinServed &&
                          next.pressure > kTargetPressure - kPressureMargin;
  ClassRates target;
  target.fill(1);
  if (may_refuse) {
    target = SharesOfRate(next.arrival_rates, AllowedRate(next),
                          settings.reserved_share);
  }
  for (size_t i = 0; i < kAdmissionClasses; ++i) {
    next.shares[i] = std::clamp(target[i], state.shares[i] - kMaxDecrease,
                                state.shares[i] + kMaxIncrease);
  }
  return next;
}

bool IsRefusing(const AdmissionState& state) {
  return std::any_of(state.shares.begin(), state.shares.end(),
                     [](double share) { return share < 1; });
}

bool ShouldAdmit(double share, uint64_t fingerprint) {
  // The upper 53 bits of the hash as a fraction of 1.
  const auto fraction =
      static_cast<double>(MixHash(fingerprint, kAdmissionSalt) >> 11) *
      0x1.0p-53;
  return fraction < share;
}

}  // namespace knapweedlift
