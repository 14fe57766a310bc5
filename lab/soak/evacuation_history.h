#ifndef KNAPWEEDLIFT_LAB_SOAK_EVACUATION_HISTORY_H_
#define KNAPWEEDLIFT_LAB_SOAK_EVACUATION_HISTORY_H_

#include <compare>
#include <map>
#include <string>
#include <vector>

#include "core/time.h"

// What the operator and backend servers see of evacuations, and the check that
// no new flow reaches an evacuated failure domain.
namespace knapweedlift::lab {

// No new flow reaches an evacuated domain later than this after the store's
// acknowledgement.
inline constexpr Duration kEvacuationTime{5'000};

struct Evacuation {
  std::string domain;
  TimePoint acknowledged_at;
  // When the operator ended it; max() until then.
  TimePoint ended_at = TimePoint::max();

  auto operator<=>(const Evacuation&) const = default;
};

// A SYN that reached an evacuated domain too late.
struct LateOpening {
  std::string domain;
  TimePoint at;
  // Since the acknowledgement.
  Duration after{0};

  auto operator<=>(const LateOpening&) const = default;
};

struct EvacuationHistory {
  // In the order of their acknowledgement.
  std::vector<Evacuation> evacuations;
  std::vector<LateOpening> late_openings;
  // The last SYN that reached a server of each domain.
  std::map<std::string, TimePoint> last_openings;

  auto operator<=>(const EvacuationHistory&) const = default;
};

// Records that a server in `domain` received a SYN.
void RecordOpening(EvacuationHistory& history, const std::string& domain,
                   TimePoint now);

// Records the end of the evacuation of `domain`.
void EndEvacuation(EvacuationHistory& history, const std::string& domain,
                   TimePoint now);

// Domains whose servers received no SYN since their last evacuation ended.
std::vector<std::string> UnusedDomains(const EvacuationHistory& history);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_SOAK_EVACUATION_HISTORY_H_
