#ifndef KNAPWEEDLIFT_CORE_PLACEMENT_COLD_LIMIT_H_
#define KNAPWEEDLIFT_CORE_PLACEMENT_COLD_LIMIT_H_

#include <compare>

namespace knapweedlift {

// Tolerance of the limit of new flows on a cold server: all VMs together open
// at most `cold_rate * overshoot + slack` flows on it in any second.
struct ColdLimitSettings {
  double overshoot = 1.0;
  // In flows.
  double slack = 0;

  auto operator<=>(const ColdLimitSettings&) const = default;
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_PLACEMENT_COLD_LIMIT_H_
