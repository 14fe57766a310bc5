#include "core/health/server_health.h"

#include "tests/support/facts.h"
#include "tests/support/properties.h"

using namespace knapweedlift;
using namespace knapweedlift::testing;

namespace {

constexpr Mark kServer = 5;
constexpr Mark kOther = 6;
constexpr Duration kUsual{50};
constexpr CheckedServer kLeaving{.may_be_leaving = true};
constexpr CheckedServer kUnlisted{.listed = false};
constexpr AddressReuse kReuse;

CheckResult Unanswered(HealthTable& table, int64_t at) {
  return NoteCheck(table, kServer, CheckOutcome::kUnanswered, {}, At(at));
}

// A server whose callers wait since 1000 and whose checks went unanswered.
HealthTable WithSuspect() {
  HealthTable table;
  NoteSilence(table, kServer, At(1'000), kUsual, At(1'100));
  for (int i = 0; i < kFailuresToSuspect; ++i) Unanswered(table, 1'125 + i);
  return table;
}

constexpr int64_t kSuspectAt = 1'125 + kFailuresToSuspect - 1;

}  // namespace

Test(server_health, silence_beyond_twice_the_usual_wait_starts_one_check) {
  HealthTable table;
  cr_expect(not NoteSilence(table, kServer, At(1'000), kUsual, At(1'099)));
  cr_expect(NoteSilence(table, kServer, At(1'000), kUsual, At(1'100)));
  cr_expect(not NoteSilence(table, kServer, At(1'000), kUsual, At(1'125)),
            "a check is under way");
}

Test(server_health, fewer_failures_make_no_suspect) {
  HealthTable table;
  NoteSilence(table, kServer, At(1'000), kUsual, At(1'100));
  cr_expect(not NeedsControl(table, kServer), "the first check goes alone");
  for (int i = 1; i < kFailuresToSuspect; ++i) {
    cr_expect(Unanswered(table, 1'125 + i) == CheckResult::kCheckAgain);
    cr_expect(NeedsControl(table, kServer));
    cr_expect(not IsSuspect(table, kServer, At(1'125 + i)));
  }
  cr_expect(NoteCheck(table, kServer, CheckOutcome::kPassed, {}, At(1'140)) ==
            CheckResult::kGood);
  cr_expect(not NoteSilence(table, kServer, At(1'000), kUsual, At(1'200)),
            "it has just passed");
}

Test(server_health, unanswered_checks_make_a_suspect) {
  const HealthTable table = WithSuspect();
  cr_expect(IsSuspect(table, kServer, At(kSuspectAt)));
}

Test(server_health, a_check_without_a_good_server_beside_it_says_nothing) {
  HealthTable table;
  NoteServerAnswer(table, kOther, At(1'010));
  NoteSilence(table, kServer, At(1'000), kUsual, At(1'100));
  for (int i = 0; i < 10; ++i) {
    cr_expect(NoteCheck(table, kServer, CheckOutcome::kUnclear, {},
                        At(1'140 + i)) == CheckResult::kGood);
  }
  cr_expect(not IsSuspect(table, kServer, At(1'150)),
            "this VM's own link may be full");
  cr_expect(not MayEndFlows(table, kServer));
  cr_expect(
      NoteSilence(table, kServer, At(1'000), kUsual, At(1'149) + kUnclearPause),
      "it is looked at again soon");
}

Test(server_health, an_unclear_check_does_not_clear_a_suspect) {
  HealthTable table = WithSuspect();
  NoteCheck(table, kServer, CheckOutcome::kUnclear, {}, At(2'000));
  cr_expect(IsSuspect(table, kServer, At(2'000)));
}

Test(server_health, a_check_that_was_never_made_does_not_block_the_next) {
  HealthTable table;
  cr_expect(NoteSilence(table, kServer, At(1'000), kUsual, At(1'100)));
  cr_expect(
      NoteSilence(table, kServer, At(1'000), kUsual, At(1'100) + kCheckPause));
}

Test(server_health, flows_end_only_where_another_server_answers) {
  HealthTable table = WithSuspect();
  cr_expect(not MayEndFlows(table, kServer), "this VM itself may be cut off");
  NoteServerAnswer(table, kOther, At(900));
  cr_expect(not MayEndFlows(table, kServer), "that was before");
  NoteServerAnswer(table, kOther, At(1'010));
  cr_expect(MayEndFlows(table, kServer));
}

Test(server_health, a_refusal_of_a_leaving_server_is_no_evidence) {
  HealthTable table;
  NoteServerAnswer(table, kOther, At(1'010));
  NoteSilence(table, kServer, At(1'000), kUsual, At(1'100));
  for (int i = 0; i < 2 * kFailuresToSuspect; ++i) {
    cr_expect(NoteCheck(table, kServer, CheckOutcome::kRefused, kLeaving,
                        At(1'101 + i)) == CheckResult::kGood);
  }
  cr_expect(not MayEndFlows(table, kServer));
}

Test(server_health, a_refusal_of_any_other_server_counts) {
  HealthTable table;
  NoteSilence(table, kServer, At(1'000), kUsual, At(1'100));
  CheckResult result = CheckResult::kGood;
  for (int i = 0; i < kFailuresToSuspect; ++i) {
    result =
        NoteCheck(table, kServer, CheckOutcome::kRefused, {}, At(1'101 + i));
  }
  cr_expect(result == CheckResult::kSuspect);
}

Test(server_health, a_report_keeps_new_flows_away_but_ends_none) {
  HealthTable table;
  NoteServerAnswer(table, kOther, At(1'010));
  NoteReport(table, kServer, At(1'000));
  cr_expect(IsSuspect(table, kServer, At(1'001)));
  cr_expect(not MayEndFlows(table, kServer),
            "this VM's own checks have not failed");
  const TimePoint end = At(1'000) + kReportTime;
  cr_expect(not ExpireReports(table, end - Duration(1)));
  cr_expect(ExpireReports(table, end));
  cr_expect(not IsSuspect(table, kServer, end), "it was not renewed");
  cr_expect(not ExpireReports(table, end));
}

Test(server_health, a_report_starts_a_check_without_waiting_for_the_pause) {
  HealthTable table;
  NoteSilence(table, kServer, At(1'000), kUsual, At(1'100));
  NoteCheck(table, kServer, CheckOutcome::kPassed, {}, At(1'101));
  cr_expect(NoteReport(table, kServer, At(1'110)));
  cr_expect(NeedsControl(table, kServer));
  cr_expect(not NoteReport(table, kServer, At(1'111)),
            "but one check at a time is enough");
}

Test(server_health, a_caller_that_is_answered_ends_a_report) {
  HealthTable table;
  NoteReport(table, kServer, At(1'000));
  cr_expect(not NoteServerAnswer(table, kServer, At(999)));
  cr_expect(NoteServerAnswer(table, kServer, At(1'001)));
  cr_expect(not IsSuspect(table, kServer, At(1'002)));
}

Test(server_health, one_report_in_each_period_is_enough) {
  HealthTable table = WithSuspect();
  const auto due = [&table](TimePoint now, Duration delay = Duration(0)) {
    return SuspectsToReport(table, delay, now);
  };
  cr_expect(due(At(kSuspectAt), kReportSpread) == std::vector<Mark>({kServer}),
            "the first report is not delayed");
  NoteOwnReport(table, kServer, At(kSuspectAt));
  cr_expect(due(At(kSuspectAt + 500)).empty());
  NoteReport(table, kServer, At(kSuspectAt + 800));
  cr_expect(due(At(kSuspectAt + 1'500)).empty(), "another VM has just said so");
  cr_expect(not due(At(kSuspectAt + 800) + kReportPeriod).empty());
}

// Found at 136 VMs: all of them renewed a report in the same moment.
Test(server_health, vms_renew_a_report_one_after_the_other) {
  HealthTable table = WithSuspect();
  NoteOwnReport(table, kServer, At(kSuspectAt));
  const TimePoint first = At(kSuspectAt) + kReportPeriod;
  for (Duration delay{0}; delay <= kReportSpread; delay += Duration(100)) {
    cr_expect(
        SuspectsToReport(table, delay, first + delay - Duration(1)).empty());
    cr_expect(not SuspectsToReport(table, delay, first + delay).empty());
  }
  cr_expect(first + kReportSpread < At(kSuspectAt) + kReportTime,
            "the last one still renews it in time");
}

Test(server_health, a_suspect_is_checked_until_it_passes) {
  HealthTable table = WithSuspect();
  cr_expect(TakeDueChecks(table, At(kSuspectAt + 1)).empty());
  const TimePoint later = At(kSuspectAt) + kRecheckPause;
  cr_expect(TakeDueChecks(table, later) == std::vector<Mark>({kServer}));
  cr_expect(TakeDueChecks(table, later).empty());
  NoteCheck(table, kServer, CheckOutcome::kPassed, {}, later);
  cr_expect(not IsSuspect(table, kServer, later));
}

Test(server_health, a_silent_server_that_answers_soon_is_good) {
  HealthTable table = WithSuspect();
  cr_expect(NoteCheck(table, kServer, CheckOutcome::kPassed, {}, At(1'700)) ==
            CheckResult::kGood);
}

// Found in inc-c24e: the platform still listed the server that had ended.
Test(server_health, another_server_at_its_address_does_not_clear_a_suspect) {
  HealthTable table = WithSuspect();
  const TimePoint reused = At(1'000) + kReuse.earliest;
  cr_expect(NoteCheck(table, kServer, CheckOutcome::kPassed, {}, reused) ==
            CheckResult::kSuspect);
  cr_expect(IsSuspect(table, kServer, reused));
  const TimePoint later = At(1'000) + kReuse.latest_listing;
  cr_expect(NoteCheck(table, kServer, CheckOutcome::kPassed, kUnlisted,
                      later) == CheckResult::kSuspect);
  cr_expect(NoteCheck(table, kServer, CheckOutcome::kPassed, {}, later) ==
                CheckResult::kGood,
            "the platform would not list it any more");
}

Test(server_health, a_server_whose_process_ended_does_not_come_back) {
  HealthTable table;
  NoteSilence(table, kServer, At(1'000), kUsual, At(1'100));
  for (int i = 0; i < kFailuresToSuspect; ++i) {
    NoteCheck(table, kServer, CheckOutcome::kRefused, {}, At(1'101 + i));
  }
  cr_expect(NoteCheck(table, kServer, CheckOutcome::kPassed, {}, At(1'600)) ==
            CheckResult::kSuspect);
  NoteServerAnswer(table, kServer, At(1'700));
  cr_expect(not IsSuspect(table, kServer, At(1'700)), "a caller was answered");
}

Test(server_health, a_passed_check_ends_only_a_young_report) {
  HealthTable table;
  NoteReport(table, kServer, At(1'000));
  NoteCheck(table, kServer, CheckOutcome::kPassed, {}, At(1'100));
  cr_expect(not IsSuspect(table, kServer, At(1'101)));
  for (int64_t at = 2'000; at <= 4'000; at += 1'000) {
    NoteReport(table, kServer, At(at));
  }
  NoteCheck(table, kServer, CheckOutcome::kPassed, {}, At(4'100));
  cr_expect(IsSuspect(table, kServer, At(4'101)));
  cr_expect(not MayEndFlows(table, kServer));
}

Test(server_health, an_answer_to_a_caller_clears_a_suspect) {
  HealthTable table = WithSuspect();
  cr_expect(not NoteServerAnswer(table, kServer, At(999)), "an old answer");
  cr_expect(NoteServerAnswer(table, kServer, At(1'200)));
  cr_expect(not IsSuspect(table, kServer, At(1'200)));
}

Test(server_health, a_server_that_answered_during_its_checks_is_good) {
  HealthTable table;
  NoteSilence(table, kServer, At(1'000), kUsual, At(1'100));
  Unanswered(table, 1'125);
  NoteServerAnswer(table, kServer, At(1'130));
  for (int i = 0; i < kFailuresToSuspect; ++i) Unanswered(table, 1'140 + i);
  cr_expect(not IsSuspect(table, kServer, At(1'150)));
}
