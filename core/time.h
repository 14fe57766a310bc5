#ifndef KNAPWEEDLIFT_CORE_TIME_H_
#define KNAPWEEDLIFT_CORE_TIME_H_

#include <chrono>
#include <cstdint>

namespace knapweedlift {

// Clock type of all time points and deadlines, in milliseconds. It has no
// now(): the core never reads a clock, and callers pass in the current time.
struct MonotonicClock {
  using rep = int64_t;
  using period = std::milli;
  using duration = std::chrono::milliseconds;
  using time_point = std::chrono::time_point<MonotonicClock, duration>;
  static constexpr bool is_steady = true;  // NOLINT: required name.
};

using Duration = MonotonicClock::duration;
using TimePoint = MonotonicClock::time_point;

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_TIME_H_
