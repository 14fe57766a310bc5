#ifndef KNAPWEEDLIFT_CORE_REGISTRY_REMOVAL_HOLD_H_
#define KNAPWEEDLIFT_CORE_REGISTRY_REMOVAL_HOLD_H_

#include <compare>

#include "core/time.h"

namespace knapweedlift {

// While the platform's store is down, the entries of running servers expire,
// and servers register again only some time after the store has recovered.
// The same holds for entries that the store's copy lacks after its return, see
// ChangesOfNewEra. Until then a removal is no evidence that a server has
// stopped: it still gets new flows unless it fails health checks.

// When entries expire and return around an outage of the store.
struct EntryTiming {
  // A shorter outage does not expire any entry.
  Duration min_outage{2'400};
  // Running servers have registered again this long after the outage; an entry
  // that is still missing then belongs to a stopped server.
  Duration reregistration_time{2'500};

  auto operator<=>(const EntryTiming&) const = default;
};

// Servers whose removal the platform reports before `until` are kept in use
// until then.
struct RemovalHold {
  EntryTiming timing;
  TimePoint until;

  auto operator<=>(const RemovalHold&) const = default;
};

// Starts or extends the hold when the platform responds at `now` after an
// outage of at least `min_outage`. `confirmed_at` is when the facts were last
// confirmed to be current. If they never were (zero), no outage can be
// detected.
void UpdateRemovalHold(RemovalHold& hold, TimePoint confirmed_at,
                       TimePoint now);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_REGISTRY_REMOVAL_HOLD_H_
