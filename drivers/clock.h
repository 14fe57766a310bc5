#ifndef KNAPWEEDLIFT_DRIVERS_CLOCK_H_
#define KNAPWEEDLIFT_DRIVERS_CLOCK_H_

#include <cstdint>
#include <string>

#include "core/time.h"

namespace knapweedlift {

// Time since boot in milliseconds, including time spent suspended.
TimePoint Now();

// Nanoseconds since boot, excluding time spent suspended. For measuring short
// intervals.
int64_t NowNanoseconds();

// Milliseconds since the Unix epoch.
int64_t WallClockMilliseconds();

// The current wall clock time in UTC as an RFC 3339 timestamp with
// milliseconds.
std::string WallClockText();

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_DRIVERS_CLOCK_H_
