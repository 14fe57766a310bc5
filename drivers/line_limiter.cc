#include "drivers/line_limiter.h"

#include <utility>

namespace knapweedlift {
namespace {

constexpr Duration kSecond{1'000};

}  // namespace

bool AdmitLine(LineLimiter& limiter, const std::string& event, TimePoint now) {
  LineLimiter::Event& state = limiter.events[event];
  if (now >= state.second_ends_at) {
    state.second_ends_at = now + kSecond;
    state.written = 0;
  }
  if (state.written >= limiter.lines_per_second) {
    ++state.left_out;
    return false;
  }
  ++state.written;
  return true;
}

std::map<std::string, uint64_t> TakeLeftOut(LineLimiter& limiter) {
  std::map<std::string, uint64_t> left_out;
  for (auto& [event, state] : limiter.events) {
    const uint64_t count = std::exchange(state.left_out, 0);
    if (count > 0) left_out[event] = count;
  }
  return left_out;
}

}  // namespace knapweedlift
