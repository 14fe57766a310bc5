#ifndef KNAPWEEDLIFT_CORE_REGISTRY_REMOVAL_HOLD_H_
#define KNAPWEEDLIFT_CORE_REGISTRY_REMOVAL_HOLD_H_

#include <compare>

#include "core/time.h"

namespace knapweedlift {

// While the platform's store is down, the entries of living servers expire, and
// they come back only some time after the store. Until then a removal says
// little: the server is still given new flows, unless it fails checks.

// How entries behave around an outage of the store.
struct EntryTimes {
  // An outage that is shorter expires no entry.
  Duration shortest_outage{2'400};
  // An entry that is still missing this long after the outage is gone.
  Duration return_time{2'500};

  auto operator<=>(const EntryTimes&) const = default;
};

// Removals that the platform tells until `until` are held until then.
struct RemovalHold {
  EntryTimes times;
  TimePoint until;

  auto operator<=>(const RemovalHold&) const = default;
};

// The platform answers at `now`. `confirmed_at` is when this VM last knew all
// facts; it is zero where it never did, and then no outage is known of.
void NotePlatformAnswer(RemovalHold& hold, TimePoint confirmed_at,
                        TimePoint now);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_REGISTRY_REMOVAL_HOLD_H_
