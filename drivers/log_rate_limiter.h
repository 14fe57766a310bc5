#ifndef KNAPWEEDLIFT_DRIVERS_LOG_RATE_LIMITER_H_
#define KNAPWEEDLIFT_DRIVERS_LOG_RATE_LIMITER_H_

#include <cstdint>
#include <map>
#include <string>

#include "core/time.h"

namespace knapweedlift {

// Bounds how many log lines of one event are written in a second, so that a
// dependency that comes and goes cannot flood the log. Not synchronized.
struct LogRateLimiter {
  struct EventState {
    TimePoint window_end;
    uint64_t written = 0;
    uint64_t suppressed = 0;

    auto operator<=>(const EventState&) const = default;
  };

  uint64_t lines_per_second = 0;
  // EventState names are constants of the program, so that the map stays small.
  std::map<std::string, EventState> events;

  auto operator<=>(const LogRateLimiter&) const = default;
};

// True where a line of the event may be written; one that may not is counted.
bool AllowLine(LogRateLimiter& limiter, const std::string& event,
               TimePoint now);

// How many lines were left out since the last call, by event.
std::map<std::string, uint64_t> TakeSuppressedCounts(LogRateLimiter& limiter);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_DRIVERS_LOG_RATE_LIMITER_H_
