#include "servers/marks/admission_control.h"

#include "core/admission/service_pressure.h"
#include "core/fleet/watcher_election.h"
#include "drivers/log.h"

namespace knapweedlift {

void AdmissionControl::Update(const MarkView& view, const FleetState& fleet,
                              const std::vector<std::string>& names,
                              TimePoint now) {
  if (!settings_.enabled) return;
  states_.resize(view.admission.size());
  counts_.resize(view.admission.size());
  const auto pressures = MeasureServicePressure(
      view, fleet.own_loads, fleet.loads, CountLivePeers(fleet, now));
  for (size_t i = 0; i < states_.size(); ++i) {
    AdmissionGate& gate = *view.admission[i];
    AdmissionInput input = TakeInput(gate, counts_[i]);
    if (i < pressures.size()) input.pressure = pressures[i];
    const AdmissionState next =
        UpdateAdmission(states_[i], settings_, input, now);
    for (size_t j = 0; j < kAdmissionClasses; ++j) {
      gate.shares[j].store(next.shares[j], std::memory_order_relaxed);
    }
    const bool was_refusing = IsRefusing(states_[i]);
    states_[i] = next;
    if (IsRefusing(next) == was_refusing) continue;
    double arrivals = 0;
    for (const double rate : next.arrival_rates) arrivals += rate;
    LogInfo(was_refusing ? "admission_ended" : "admission_started",
            {{"service", names[i]},
             {"waiting_per_slot", next.pressure},
             {"served_per_second", next.served_rate},
             {"arrivals_per_second", arrivals},
             {"load_known", input.pressure.has_value()}});
  }
}

AdmissionInput AdmissionControl::TakeInput(const AdmissionGate& gate,
                                           Counts& last) const {
  Counts counts{.served = gate.served.load(std::memory_order_relaxed)};
  AdmissionInput input{.served = counts.served - last.served};
  for (size_t i = 0; i < kAdmissionClasses; ++i) {
    counts.arrivals[i] = gate.admitted[i].load(std::memory_order_relaxed) +
                         gate.refused[i].load(std::memory_order_relaxed);
    input.arrivals[i] = counts.arrivals[i] - last.arrivals[i];
  }
  last = counts;
  return input;
}

}  // namespace knapweedlift
