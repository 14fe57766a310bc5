#include "drivers/line_limiter.h"

#include "tests/support/facts.h"
#include "tests/support/properties.h"

using namespace knapweedlift;
using namespace knapweedlift::testing;

// A store that answers and refuses by turns changes a VM's mind many times a
// second.
Test(line_limiter, an_event_that_flaps_is_bounded_and_counted) {
  LineLimiter limiter{.lines_per_second = 5};
  uint64_t written = 0;
  for (int64_t ms = 0; ms < 2'000; ++ms) {
    written += AdmitLine(limiter, "platform_lost", At(ms)) ? 1 : 0;
    written += AdmitLine(limiter, "platform_answers", At(ms)) ? 1 : 0;
  }
  cr_expect(written == 20, "two events, five lines a second, two seconds");
  const auto left_out = TakeLeftOut(limiter);
  cr_expect(left_out.at("platform_lost") == 1'990);
  cr_expect(left_out.at("platform_answers") == 1'990);
  cr_expect(TakeLeftOut(limiter).empty(), "each line is counted once");
}

Test(line_limiter, events_do_not_use_up_each_others_lines) {
  LineLimiter limiter{.lines_per_second = 1};
  cr_expect(AdmitLine(limiter, "platform_lost", At(0)));
  cr_expect(not AdmitLine(limiter, "platform_lost", At(999)));
  cr_expect(AdmitLine(limiter, "server_suspect", At(999)));
  cr_expect(AdmitLine(limiter, "platform_lost", At(1'000)));
}
