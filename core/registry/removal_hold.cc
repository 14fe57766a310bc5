#include "core/registry/removal_hold.h"

namespace knapweedlift {

void UpdateRemovalHold(RemovalHold& hold, TimePoint confirmed_at,
                       TimePoint now) {
  if (confirmed_at == TimePoint{}) return;
  if (now - confirmed_at < hold.timing.min_outage) return;
  hold.until = now + hold.timing.reregistration_time;
}

}  // namespace knapweedlift
