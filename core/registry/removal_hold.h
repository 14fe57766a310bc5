#ifndef KNAPWEEDLIFT_CORE_REGISTRY_REMOVAL_HOLD_H_
#define KNAPWEEDLIFT_CORE_REGISTRY_REMOVAL_HOLD_H_

#include <compare>

#include "core/time.h"

namespace knapweedlift {

// While the platform's store is down, the entries of living servers expire, and
// they come back only some time after the store. Until then a removal says
// little: the server is still given new flows, unless it fails checks.

// How entries behave around an outage of the store.
struct EntryTiming {
  // An outage that is shorter expires no entry.
  Duration min_outage{2'400};
  // An entry that is still missing this long after the outage is gone.
  Duration reregistration_time{2'500};

  auto operator<=>(const EntryTiming&) const = default;
};

// Removals that the platform tells until `until` are held until then.
struct RemovalHold {
  EntryTiming timing;
  TimePoint until;

  auto operator<=>(const RemovalHold&) const = default;
};

// The platform answers at `now`. `confirmed_at` is when this VM last knew all
// facts; it is zero where it never did, and then no outage is known of.
void UpdateRemovalHold(RemovalHold& hold, TimePoint confirmed_at,
                       TimePoint now);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_REGISTRY_REMOVAL_HOLD_H_
