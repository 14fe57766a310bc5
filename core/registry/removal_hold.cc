#include "core/registry/removal_hold.h"

namespace knapweedlift {

void NotePlatformAnswer(RemovalHold& hold, TimePoint confirmed_at,
                        TimePoint now) {
  if (confirmed_at == TimePoint{}) return;
  if (now - confirmed_at < hold.times.shortest_outage) return;
  hold.until = now + hold.times.return_time;
}

}  // namespace knapweedlift
