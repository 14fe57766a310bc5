#ifndef KNAPWEEDLIFT_SERVERS_MARKS_ADMISSION_CONTROL_H_
#define KNAPWEEDLIFT_SERVERS_MARKS_ADMISSION_CONTROL_H_

#include <string>
#include <vector>

#include "core/admission/admission.h"
#include "core/fleet/fleet.h"
#include "core/placement/mark_view.h"

namespace knapweedlift {

// Sets the admitted shares of each service for the packet path. Used by the
// control thread only.
class AdmissionControl {
 public:
  explicit AdmissionControl(const AdmissionSettings& settings)
      : settings_(settings) {}

  // Updates the gates of the view's services. `names` are those of the services
  // by index. Does nothing if admission is disabled.
  void Update(const MarkView& view, const FleetState& fleet,
              const std::vector<std::string>& names, TimePoint now);

  // Indexed by service; empty if admission is disabled.
  const std::vector<AdmissionState>& states() const { return states_; }

 private:
  // Counts of a gate at the last update.
  struct Counts {
    ClassCounts arrivals{};
    uint64_t served = 0;
  };

  AdmissionInput TakeInput(const AdmissionGate& gate, Counts& last) const;

  AdmissionSettings settings_;
  std::vector<AdmissionState> states_;
  std::vector<Counts> counts_;
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_SERVERS_MARKS_ADMISSION_CONTROL_H_
