#include "drivers/log_rate_limiter.h"

#include <utility>

namespace knapweedlift {
namespace {

constexpr Duration kWindow{1'000};

}  // namespace

bool AllowLine(LogRateLimiter& limiter, const std::string& event,
               TimePoint now) {
  LogRateLimiter::EventState& state = limiter.events[event];
  if (now >= state.window_end) {
    state.window_end = now + kWindow;
    state.written = 0;
  }
  if (state.written >= limiter.lines_per_second) {
    ++state.suppressed;
    return false;
  }
  ++state.written;
  return true;
}

std::map<std::string, uint64_t> TakeSuppressedCounts(LogRateLimiter& limiter) {
  std::map<std::string, uint64_t> suppressed;
  for (auto& [event, state] : limiter.events) {
    const uint64_t count = std::exchange(state.suppressed, 0);
    if (count > 0) suppressed[event] = count;
  }
  return suppressed;
}

}  // namespace knapweedlift
