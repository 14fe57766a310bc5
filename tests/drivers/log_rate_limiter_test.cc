#include "drivers/log_rate_limiter.h"

#include "tests/support/facts.h"
#include "tests/support/properties.h"

using namespace knapweedlift;
using namespace knapweedlift::testing;

// Guards against a flooded log: a platform store that alternates between
// success and failure makes a VM emit both events many times a second.
Test(log_rate_limiter, limits_and_counts_lines_of_a_flapping_event) {
  LogRateLimiter limiter{.lines_per_second = 5};
  uint64_t written = 0;
  for (int64_t ms = 0; ms < 2'000; ++ms) {
    written += AllowLine(limiter, "platform_lost", At(ms)) ? 1 : 0;
    written += AllowLine(limiter, "platform_answers", At(ms)) ? 1 : 0;
  }
  cr_expect(written == 20, "two events, five lines a second, two seconds");
  const auto suppressed = TakeSuppressedCounts(limiter);
  cr_expect(suppressed.at("platform_lost") == 1'990);
  cr_expect(suppressed.at("platform_answers") == 1'990);
  cr_expect(TakeSuppressedCounts(limiter).empty(), "each line is counted once");
}

Test(log_rate_limiter, limits_each_event_separately) {
  LogRateLimiter limiter{.lines_per_second = 1};
  cr_expect(AllowLine(limiter, "platform_lost", At(0)));
  cr_expect(not AllowLine(limiter, "platform_lost", At(999)));
  cr_expect(AllowLine(limiter, "server_suspect", At(999)));
  cr_expect(AllowLine(limiter, "platform_lost", At(1'000)));
}
