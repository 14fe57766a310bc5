#ifndef KNAPWEEDLIFT_DRIVERS_LINE_LIMITER_H_
#define KNAPWEEDLIFT_DRIVERS_LINE_LIMITER_H_

#include <cstdint>
#include <map>
#include <string>

#include "core/time.h"

namespace knapweedlift {

// Bounds how many log lines of one event are written in a second, so that a
// dependency that comes and goes cannot flood the log. Not synchronized.
struct LineLimiter {
  struct Event {
    TimePoint second_ends_at;
    uint64_t written = 0;
    uint64_t left_out = 0;

    auto operator<=>(const Event&) const = default;
  };

  uint64_t lines_per_second = 0;
  // Event names are constants of the program, so that the map stays small.
  std::map<std::string, Event> events;

  auto operator<=>(const LineLimiter&) const = default;
};

// True where a line of the event may be written; one that may not is counted.
bool AdmitLine(LineLimiter& limiter, const std::string& event, TimePoint now);

// How many lines were left out since the last call, by event.
std::map<std::string, uint64_t> TakeLeftOut(LineLimiter& limiter);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_DRIVERS_LINE_LIMITER_H_
