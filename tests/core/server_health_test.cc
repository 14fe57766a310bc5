#include "core/health/server_health.h"

#include "tests/support/facts.h"
#include "tests/support/properties.h"

using namespace knapweedlift;
using namespace knapweedlift::testing;

namespace {

constexpr Mark kServer = 5;
constexpr Mark kOtherServer = 6;
constexpr Duration kMeanWait{50};
constexpr PlatformListing kMaybeDraining{.may_be_draining = true};
constexpr PlatformListing kUnlisted{.listed = false};
constexpr AddressReuse kReuse;

HealthVerdict RecordTimeout(HealthTable& table, int64_t at) {
  return RecordCheck(table, kServer, CheckOutcome::kTimedOut, {}, At(at));
}

// A server whose callers wait since 1000 and whose checks went unanswered.
HealthTable TableWithSuspect() {
  HealthTable table;
  RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'100));
  for (int i = 0; i < kFailuresToSuspect; ++i) RecordTimeout(table, 1'125 + i);
  return table;
}

constexpr int64_t kSuspectAt = 1'125 + kFailuresToSuspect - 1;

}  // namespace

Test(server_health, silence_beyond_twice_the_usual_wait_starts_one_check) {
  HealthTable table;
  cr_expect(not RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'099)));
  cr_expect(RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'100)));
  cr_expect(not RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'125)),
            "a check is under way");
}

Test(server_health, fewer_failures_make_no_suspect) {
  HealthTable table;
  RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'100));
  cr_expect(not NeedsReferenceCheck(table, kServer),
            "the first check goes alone");
  for (int i = 1; i < kFailuresToSuspect; ++i) {
    cr_expect(RecordTimeout(table, 1'125 + i) == HealthVerdict::kCheckAgain);
    cr_expect(NeedsReferenceCheck(table, kServer));
    cr_expect(not IsSuspect(table, kServer, At(1'125 + i)));
  }
  cr_expect(RecordCheck(table, kServer, CheckOutcome::kPassed, {}, At(1'140)) ==
            HealthVerdict::kHealthy);
  cr_expect(not RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'200)),
            "it has just passed");
}

Test(server_health, unanswered_checks_make_a_suspect) {
  const HealthTable table = TableWithSuspect();
  cr_expect(IsSuspect(table, kServer, At(kSuspectAt)));
}

Test(server_health, a_check_without_a_good_server_beside_it_says_nothing) {
  HealthTable table;
  RecordServerResponse(table, kOtherServer, At(1'010));
  RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'100));
  for (int i = 0; i < 10; ++i) {
    cr_expect(RecordCheck(table, kServer, CheckOutcome::kInconclusive, {},
                          At(1'140 + i)) == HealthVerdict::kHealthy);
  }
  cr_expect(not IsSuspect(table, kServer, At(1'150)),
            "this VM's own link may be full");
  cr_expect(not IsConfirmedDown(table, kServer));
  cr_expect(RecordSilence(table, kServer, At(1'000), kMeanWait,
                          At(1'149) + kInconclusiveCheckInterval),
            "it is looked at again soon");
}

Test(server_health, an_unclear_check_does_not_clear_a_suspect) {
  HealthTable table = TableWithSuspect();
  RecordCheck(table, kServer, CheckOutcome::kInconclusive, {}, At(2'000));
  cr_expect(IsSuspect(table, kServer, At(2'000)));
}

Test(server_health, a_check_that_was_never_made_does_not_block_the_next) {
  HealthTable table;
  cr_expect(RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'100)));
  cr_expect(RecordSilence(table, kServer, At(1'000), kMeanWait,
                          At(1'100) + kCheckInterval));
}

Test(server_health, flows_end_only_where_another_server_answers) {
  HealthTable table = TableWithSuspect();
  cr_expect(not IsConfirmedDown(table, kServer),
            "this VM itself may be cut off");
  RecordServerResponse(table, kOtherServer, At(900));
  cr_expect(not IsConfirmedDown(table, kServer), "that was before");
  RecordServerResponse(table, kOtherServer, At(1'010));
  cr_expect(IsConfirmedDown(table, kServer));
}

Test(server_health, a_refusal_of_a_leaving_server_is_no_evidence) {
  HealthTable table;
  RecordServerResponse(table, kOtherServer, At(1'010));
  RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'100));
  for (int i = 0; i < 2 * kFailuresToSuspect; ++i) {
    cr_expect(RecordCheck(table, kServer, CheckOutcome::kRefused,
                          kMaybeDraining,
                          At(1'101 + i)) == HealthVerdict::kHealthy);
  }
  cr_expect(not IsConfirmedDown(table, kServer));
}

Test(server_health, a_refusal_of_any_other_server_counts) {
  HealthTable table;
  RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'100));
  HealthVerdict result = HealthVerdict::kHealthy;
  for (int i = 0; i < kFailuresToSuspect; ++i) {
    result =
        RecordCheck(table, kServer, CheckOutcome::kRefused, {}, At(1'101 + i));
  }
  cr_expect(result == HealthVerdict::kSuspect);
}

Test(server_health, a_report_keeps_new_flows_away_but_ends_none) {
  HealthTable table;
  RecordServerResponse(table, kOtherServer, At(1'010));
  RecordPeerSuspicion(table, kServer, At(1'000));
  cr_expect(IsSuspect(table, kServer, At(1'001)));
  cr_expect(not IsConfirmedDown(table, kServer),
            "this VM's own checks have not failed");
  const TimePoint end = At(1'000) + kSuspicionLifetime;
  cr_expect(not ExpireSuspicions(table, end - Duration(1)));
  cr_expect(ExpireSuspicions(table, end));
  cr_expect(not IsSuspect(table, kServer, end), "it was not renewed");
  cr_expect(not ExpireSuspicions(table, end));
}

Test(server_health, a_report_starts_a_check_without_waiting_for_the_pause) {
  HealthTable table;
  RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'100));
  RecordCheck(table, kServer, CheckOutcome::kPassed, {}, At(1'101));
  cr_expect(RecordPeerSuspicion(table, kServer, At(1'110)));
  cr_expect(NeedsReferenceCheck(table, kServer));
  cr_expect(not RecordPeerSuspicion(table, kServer, At(1'111)),
            "but one check at a time is enough");
}

Test(server_health, a_caller_that_is_answered_ends_a_report) {
  HealthTable table;
  RecordPeerSuspicion(table, kServer, At(1'000));
  cr_expect(not RecordServerResponse(table, kServer, At(999)));
  cr_expect(RecordServerResponse(table, kServer, At(1'001)));
  cr_expect(not IsSuspect(table, kServer, At(1'002)));
}

Test(server_health, one_report_in_each_period_is_enough) {
  HealthTable table = TableWithSuspect();
  const auto due = [&table](TimePoint now, Duration delay = Duration(0)) {
    return SuspectsToReport(table, delay, now);
  };
  cr_expect(
      due(At(kSuspectAt), kMaxSuspicionDelay) == std::vector<Mark>({kServer}),
      "the first report is not delayed");
  RecordOwnSuspicion(table, kServer, At(kSuspectAt));
  cr_expect(due(At(kSuspectAt + 500)).empty());
  RecordPeerSuspicion(table, kServer, At(kSuspectAt + 800));
  cr_expect(due(At(kSuspectAt + 1'500)).empty(), "another VM has just said so");
  cr_expect(not due(At(kSuspectAt + 800) + kSuspicionInterval).empty());
}

// Found at 136 VMs: all of them renewed a report in the same moment.
Test(server_health, vms_renew_a_report_one_after_the_other) {
  HealthTable table = TableWithSuspect();
  RecordOwnSuspicion(table, kServer, At(kSuspectAt));
  const TimePoint first = At(kSuspectAt) + kSuspicionInterval;
  for (Duration delay{0}; delay <= kMaxSuspicionDelay; delay += Duration(100)) {
    cr_expect(
        SuspectsToReport(table, delay, first + delay - Duration(1)).empty());
    cr_expect(not SuspectsToReport(table, delay, first + delay).empty());
  }
  cr_expect(first + kMaxSuspicionDelay < At(kSuspectAt) + kSuspicionLifetime,
            "the last one still renews it in time");
}

Test(server_health, a_suspect_is_checked_until_it_passes) {
  HealthTable table = TableWithSuspect();
  cr_expect(TakeDueChecks(table, At(kSuspectAt + 1)).empty());
  const TimePoint later = At(kSuspectAt) + kSuspectCheckInterval;
  cr_expect(TakeDueChecks(table, later) == std::vector<Mark>({kServer}));
  cr_expect(TakeDueChecks(table, later).empty());
  RecordCheck(table, kServer, CheckOutcome::kPassed, {}, later);
  cr_expect(not IsSuspect(table, kServer, later));
}

Test(server_health, a_silent_server_that_answers_soon_is_good) {
  HealthTable table = TableWithSuspect();
  cr_expect(RecordCheck(table, kServer, CheckOutcome::kPassed, {}, At(1'700)) ==
            HealthVerdict::kHealthy);
}

// Found in inc-c24e: the platform still listed the server that had ended.
Test(server_health, another_server_at_its_address_does_not_clear_a_suspect) {
  HealthTable table = TableWithSuspect();
  const TimePoint reused = At(1'000) + kReuse.min_delay;
  cr_expect(RecordCheck(table, kServer, CheckOutcome::kPassed, {}, reused) ==
            HealthVerdict::kSuspect);
  cr_expect(IsSuspect(table, kServer, reused));
  const TimePoint later = At(1'000) + kReuse.max_listing_delay;
  cr_expect(RecordCheck(table, kServer, CheckOutcome::kPassed, kUnlisted,
                        later) == HealthVerdict::kSuspect);
  cr_expect(RecordCheck(table, kServer, CheckOutcome::kPassed, {}, later) ==
                HealthVerdict::kHealthy,
            "the platform would not list it any more");
}

Test(server_health, a_server_whose_process_ended_does_not_come_back) {
  HealthTable table;
  RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'100));
  for (int i = 0; i < kFailuresToSuspect; ++i) {
    RecordCheck(table, kServer, CheckOutcome::kRefused, {}, At(1'101 + i));
  }
  cr_expect(RecordCheck(table, kServer, CheckOutcome::kPassed, {}, At(1'600)) ==
            HealthVerdict::kSuspect);
  RecordServerResponse(table, kServer, At(1'700));
  cr_expect(not IsSuspect(table, kServer, At(1'700)), "a caller was answered");
}

Test(server_health, a_passed_check_ends_only_a_young_report) {
  HealthTable table;
  RecordPeerSuspicion(table, kServer, At(1'000));
  RecordCheck(table, kServer, CheckOutcome::kPassed, {}, At(1'100));
  cr_expect(not IsSuspect(table, kServer, At(1'101)));
  for (int64_t at = 2'000; at <= 4'000; at += 1'000) {
    RecordPeerSuspicion(table, kServer, At(at));
  }
  RecordCheck(table, kServer, CheckOutcome::kPassed, {}, At(4'100));
  cr_expect(IsSuspect(table, kServer, At(4'101)));
  cr_expect(not IsConfirmedDown(table, kServer));
}

Test(server_health, an_answer_to_a_caller_clears_a_suspect) {
  HealthTable table = TableWithSuspect();
  cr_expect(not RecordServerResponse(table, kServer, At(999)), "an old answer");
  cr_expect(RecordServerResponse(table, kServer, At(1'200)));
  cr_expect(not IsSuspect(table, kServer, At(1'200)));
}

Test(server_health, a_server_that_answered_during_its_checks_is_good) {
  HealthTable table;
  RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'100));
  RecordTimeout(table, 1'125);
  RecordServerResponse(table, kServer, At(1'130));
  for (int i = 0; i < kFailuresToSuspect; ++i) RecordTimeout(table, 1'140 + i);
  cr_expect(not IsSuspect(table, kServer, At(1'150)));
}
