#include "drivers/clock.h"

#include <ctime>

#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace knapweedlift {
namespace {

constexpr int64_t kNanosecondsPerSecond = 1'000'000'000;
constexpr int64_t kNanosecondsPerMillisecond = 1'000'000;

int64_t ReadClock(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  return time.tv_sec * kNanosecondsPerSecond + time.tv_nsec;
}

}  // namespace

TimePoint Now() {
  return TimePoint(
      Duration(ReadClock(CLOCK_BOOTTIME) / kNanosecondsPerMillisecond));
}

int64_t NowNanoseconds() { return ReadClock(CLOCK_MONOTONIC); }

int64_t WallClockMilliseconds() { return absl::ToUnixMillis(absl::Now()); }

std::string WallClockText() {
  return absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(),
                          absl::UTCTimeZone());
}

}  // namespace knapweedlift
