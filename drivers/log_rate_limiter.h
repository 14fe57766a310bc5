#ifndef KNAPWEEDLIFT_DRIVERS_LOG_RATE_LIMITER_H_
#define KNAPWEEDLIFT_DRIVERS_LOG_RATE_LIMITER_H_

#include <cstdint>
#include <map>
#include <string>

#include "core/time.h"

namespace knapweedlift {

// Limits the log lines of each event per second, so that a dependency that is
// flapping cannot flood the log. Not thread-safe.
struct LogRateLimiter {
  struct EventState {
    TimePoint window_end;
    uint64_t written = 0;
    uint64_t suppressed = 0;

    auto operator<=>(const EventState&) const = default;
  };

  uint64_t lines_per_second = 0;
  // By event name. Event names are compile-time constants, which bounds the
  // size of the map.
  std::map<std::string, EventState> events;

  auto operator<=>(const LogRateLimiter&) const = default;
};

// Returns whether a line of the event may be written, and counts it as
// suppressed if not.
bool AllowLine(LogRateLimiter& limiter, const std::string& event,
               TimePoint now);

// Returns the number of suppressed lines by event since the last call, and
// resets it.
std::map<std::string, uint64_t> TakeSuppressedCounts(LogRateLimiter& limiter);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_DRIVERS_LOG_RATE_LIMITER_H_
