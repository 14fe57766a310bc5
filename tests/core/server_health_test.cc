#include "core/health/server_health.h"

#include "tests/support/facts.h"
#include "tests/support/properties.h"

using namespace knapweedlift;
using namespace knapweedlift::testing;

namespace {

constexpr Mark kServer = 5;
constexpr Mark kOtherServer = 6;
constexpr Duration kMeanWait{50};
constexpr CheckedServer kMaybeDraining{.may_be_draining = true};
constexpr CheckedServer kUnlisted{.listed = false};
constexpr AddressReuse kReuse;

HealthVerdict RecordTimeout(HealthTable& table, int64_t at) {
  return RecordCheck(table, kServer, CheckOutcome::kTimedOut, {}, At(at));
}

// The callers of kServer have been waiting since 1,000 ms, and its checks
// timed out.
HealthTable TableWithSuspect() {
  HealthTable table;
  RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'100));
  for (int i = 0; i < kFailuresToSuspect; ++i) RecordTimeout(table, 1'125 + i);
  return table;
}

constexpr int64_t kSuspectAt = 1'125 + kFailuresToSuspect - 1;

// The same, but the checks were refused, and another server answers.
HealthTable TableWithRefusingSuspect() {
  HealthTable table;
  RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'100));
  for (int i = 0; i < kFailuresToSuspect; ++i) {
    RecordCheck(table, kServer, CheckOutcome::kRefused, {}, At(1'101 + i));
  }
  RecordServerResponse(table, kOtherServer, At(1'130));
  return table;
}

}  // namespace

Test(server_health, silence_beyond_twice_the_mean_wait_starts_one_check) {
  HealthTable table;
  cr_expect(not RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'099)));
  cr_expect(RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'100)));
  cr_expect(not RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'125)),
            "a check is in progress");
}

// Callers of a saturated service wait for those before them; checks would only
// take further places in its queues.
Test(server_health, silence_of_a_saturated_service_is_evidence_later) {
  HealthTable table;
  cr_expect(not RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'249),
                              kMinSaturatedSilence));
  cr_expect(RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'250),
                          kMinSaturatedSilence));
}

Test(server_health, failures_below_the_threshold_make_no_suspect) {
  HealthTable table;
  RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'100));
  cr_expect(not NeedsReferenceCheck(table, kServer),
            "the first check counts without a reference check");
  for (int i = 1; i < kFailuresToSuspect; ++i) {
    cr_expect(RecordTimeout(table, 1'125 + i) == HealthVerdict::kCheckAgain);
    cr_expect(NeedsReferenceCheck(table, kServer));
    cr_expect(not IsSuspect(table, kServer, At(1'125 + i)));
  }
  cr_expect(RecordCheck(table, kServer, CheckOutcome::kPassed, {}, At(1'140)) ==
            HealthVerdict::kHealthy);
  cr_expect(not RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'200)),
            "the server has just passed a check");
}

Test(server_health, timed_out_checks_make_a_suspect) {
  const HealthTable table = TableWithSuspect();
  cr_expect(IsSuspect(table, kServer, At(kSuspectAt)));
}

Test(server_health, check_without_a_passed_reference_check_is_inconclusive) {
  HealthTable table;
  RecordServerResponse(table, kOtherServer, At(1'010));
  RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'100));
  for (int i = 0; i < 10; ++i) {
    cr_expect(RecordCheck(table, kServer, CheckOutcome::kInconclusive, {},
                          At(1'140 + i)) == HealthVerdict::kHealthy);
  }
  cr_expect(not IsSuspect(table, kServer, At(1'150)),
            "this VM's own link may be congested");
  cr_expect(not IsConfirmedDown(table, kServer, At(1'150)));
  cr_expect(RecordSilence(table, kServer, At(1'000), kMeanWait,
                          At(1'149) + kInconclusiveCheckInterval),
            "the server is checked again soon");
}

Test(server_health, inconclusive_check_does_not_clear_a_suspect) {
  HealthTable table = TableWithSuspect();
  RecordCheck(table, kServer, CheckOutcome::kInconclusive, {}, At(2'000));
  cr_expect(IsSuspect(table, kServer, At(2'000)));
}

Test(server_health, check_that_was_never_made_does_not_block_the_next) {
  HealthTable table;
  cr_expect(RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'100)));
  cr_expect(RecordSilence(table, kServer, At(1'000), kMeanWait,
                          At(1'100) + kCheckInterval));
}

Test(server_health, server_is_confirmed_down_only_if_another_answers) {
  HealthTable table = TableWithSuspect();
  cr_expect(not IsConfirmedDown(table, kServer, At(1'130)),
            "this VM itself may be isolated");
  RecordServerResponse(table, kOtherServer, At(900));
  cr_expect(not IsConfirmedDown(table, kServer, At(1'130)),
            "the answer precedes the evidence");
  RecordServerResponse(table, kOtherServer, At(1'010));
  cr_expect(IsConfirmedDown(table, kServer, At(1'130)));
}

Test(server_health, refused_check_of_a_draining_server_is_inconclusive) {
  HealthTable table;
  RecordServerResponse(table, kOtherServer, At(1'010));
  RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'100));
  for (int i = 0; i < 2 * kFailuresToSuspect; ++i) {
    cr_expect(RecordCheck(table, kServer, CheckOutcome::kRefused,
                          kMaybeDraining,
                          At(1'101 + i)) == HealthVerdict::kHealthy);
  }
  cr_expect(not IsConfirmedDown(table, kServer, At(1'130)));
}

Test(server_health, refused_checks_make_a_suspect) {
  HealthTable table;
  RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'100));
  HealthVerdict result = HealthVerdict::kHealthy;
  for (int i = 0; i < kFailuresToSuspect; ++i) {
    result =
        RecordCheck(table, kServer, CheckOutcome::kRefused, {}, At(1'101 + i));
  }
  cr_expect(result == HealthVerdict::kSuspect);
}

Test(server_health, peer_suspicion_stops_new_flows_but_resets_none) {
  HealthTable table;
  RecordServerResponse(table, kOtherServer, At(1'010));
  RecordPeerSuspicion(table, kServer, At(1'000));
  cr_expect(IsSuspect(table, kServer, At(1'001)));
  cr_expect(not IsConfirmedDown(table, kServer, At(1'001)),
            "this VM's own checks have not failed");
  const TimePoint end = At(1'000) + kSuspicionLifetime;
  cr_expect(not ExpireSuspicions(table, end - Duration(1)));
  cr_expect(ExpireSuspicions(table, end));
  cr_expect(not IsSuspect(table, kServer, end),
            "the suspicion was not renewed");
  cr_expect(not ExpireSuspicions(table, end));
}

Test(server_health, peer_suspicion_starts_a_check_within_the_check_interval) {
  HealthTable table;
  RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'100));
  RecordCheck(table, kServer, CheckOutcome::kPassed, {}, At(1'101));
  cr_expect(RecordPeerSuspicion(table, kServer, At(1'110)));
  cr_expect(NeedsReferenceCheck(table, kServer));
  cr_expect(not RecordPeerSuspicion(table, kServer, At(1'111)),
            "a check is already in progress");
}

Test(server_health, answered_caller_clears_a_peer_suspicion) {
  HealthTable table;
  RecordPeerSuspicion(table, kServer, At(1'000));
  cr_expect(not RecordServerResponse(table, kServer, At(999)));
  cr_expect(RecordServerResponse(table, kServer, At(1'001)));
  cr_expect(not IsSuspect(table, kServer, At(1'002)));
}

Test(server_health, suspicion_is_reported_once_per_interval) {
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
  cr_expect(due(At(kSuspectAt + 1'500)).empty(),
            "another VM has just reported it");
  cr_expect(not due(At(kSuspectAt + 800) + kSuspicionInterval).empty());
}

// Guards against all VMs renewing a suspicion at the same moment, as seen with
// 136 VMs.
Test(server_health, renewals_of_a_suspicion_are_staggered) {
  HealthTable table = TableWithSuspect();
  RecordOwnSuspicion(table, kServer, At(kSuspectAt));
  const TimePoint first = At(kSuspectAt) + kSuspicionInterval;
  for (Duration delay{0}; delay <= kMaxSuspicionDelay; delay += Duration(100)) {
    cr_expect(
        SuspectsToReport(table, delay, first + delay - Duration(1)).empty());
    cr_expect(not SuspectsToReport(table, delay, first + delay).empty());
  }
  cr_expect(first + kMaxSuspicionDelay < At(kSuspectAt) + kSuspicionLifetime,
            "the last VM still renews it in time");
}

Test(server_health, suspect_is_checked_until_it_passes) {
  HealthTable table = TableWithSuspect();
  cr_expect(TakeDueChecks(table, 1, At(kSuspectAt + 1)).empty());
  const TimePoint later = At(kSuspectAt) + kSuspectCheckInterval;
  cr_expect(TakeDueChecks(table, 0, later).empty());
  cr_expect(TakeDueChecks(table, 1, later) == std::vector<Mark>({kServer}));
  cr_expect(TakeDueChecks(table, 1, later).empty());
  RecordCheck(table, kServer, CheckOutcome::kPassed, {}, later);
  cr_expect(not IsSuspect(table, kServer, later));
}

// Guards against suspects that are never checked again, and whose flows are
// reset though they live, because as many others as are checked at a time come
// due at the same moment and are always first.
Test(server_health, suspects_without_a_free_check_are_checked_next) {
  constexpr Mark kSuspects = 5;
  constexpr size_t kFreeChecks = 3;
  HealthTable table;
  for (Mark mark = 1; mark <= kSuspects; ++mark) {
    RecordSilence(table, mark, At(1'000), kMeanWait, At(1'100));
    for (int i = 0; i < kFailuresToSuspect; ++i) {
      RecordCheck(table, mark, CheckOutcome::kTimedOut, {}, At(1'125));
    }
  }
  TimePoint due_at = At(1'125) + kSuspectCheckInterval;
  for (int round = 0; round < 3; ++round) {
    cr_expect(TakeDueChecks(table, kFreeChecks, due_at) ==
              std::vector<Mark>({1, 2, 3}));
    cr_expect(TakeDueChecks(table, kFreeChecks, due_at + Duration(40)) ==
              std::vector<Mark>({4, 5}));
    due_at += kSuspectCheckInterval;
  }
}

Test(server_health, suspect_that_soon_passes_a_check_is_healthy) {
  HealthTable table = TableWithSuspect();
  cr_expect(RecordCheck(table, kServer, CheckOutcome::kPassed, {}, At(1'700)) ==
            HealthVerdict::kHealthy);
}

// Guards against inc-c24e: the platform still listed a server that had ended,
// and a check reached another server at its address.
Test(server_health,
     another_server_at_a_reused_address_does_not_clear_a_suspect) {
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
            "the platform would have unlisted a server that ended");
}

// Guards against the reset of flows that other VMs had placed on a server after
// it had been cut off for less than a second (review case 4).
Test(server_health, flows_of_a_suspect_that_passes_checks_are_not_reset) {
  HealthTable table = TableWithSuspect();
  RecordServerResponse(table, kOtherServer, At(1'130));
  cr_assert(IsConfirmedDown(table, kServer, At(1'130)));
  const TimePoint reused = At(1'000) + kReuse.min_delay;
  RecordCheck(table, kServer, CheckOutcome::kPassed, {}, reused);
  cr_expect(not IsConfirmedDown(table, kServer, reused));
  cr_expect(IsSuspect(table, kServer, reused), "it gets no new flows");
  RecordTimeout(table, 3'500);
  cr_expect(IsConfirmedDown(table, kServer, At(3'500)));
}

// Guards against the reset of flows on a server whose links refused connections
// for 0.8 s and that served again for 4 s (review case 9).
Test(server_health, flows_of_a_server_that_refused_for_a_moment_continue) {
  HealthTable table = TableWithRefusingSuspect();
  cr_assert(IsConfirmedDown(table, kServer, At(1'130)), "it refuses");
  RecordCheck(table, kServer, CheckOutcome::kPassed, {}, At(1'600));
  cr_expect(not IsConfirmedDown(table, kServer, At(1'600)),
            "no other server can have its address yet");
  RecordCheck(table, kServer, CheckOutcome::kPassed, {}, At(3'100));
  cr_expect(not IsConfirmedDown(table, kServer, At(3'100)),
            "its links may have refused for longer");
  cr_expect(IsSuspect(table, kServer, At(3'100)), "it gets no new flows");
}

// The counterpart: doubt about a server that has ended does not outlast the
// evidence of its end.
Test(server_health, flows_of_a_server_that_refused_and_ended_are_reset) {
  for (const Listing listing : {Listing::kReplaced, Listing::kRemoved}) {
    HealthTable table = TableWithRefusingSuspect();
    cr_expect(IsConfirmedDown(table, kServer, At(2'500)), "it refused last");
    RecordCheck(table, kServer, CheckOutcome::kPassed, {}, At(3'100));
    cr_expect(SuspectsInDoubt(table) == std::vector<Mark>({kServer}));
    cr_expect(not SettleDoubt(table, kServer, Listing::kListed));
    cr_expect(SettleDoubt(table, kServer, listing));
    cr_expect(IsConfirmedDown(table, kServer, At(3'110)));
    cr_expect(SuspectsInDoubt(table).empty());
    RecordCheck(table, kServer, CheckOutcome::kPassed, {}, At(3'600));
    RecordCheck(table, kServer, CheckOutcome::kRefused, {}, At(4'100));
    cr_expect(IsConfirmedDown(table, kServer, At(4'100)), "it refuses again");
  }
}

// Guards against the reset of flows on a full server that accepts a connection
// between two refusals (KNOWN-RED 7).
Test(server_health, doubtful_suspect_that_may_be_full_can_be_refuted_again) {
  HealthTable table = TableWithRefusingSuspect();
  RecordCheck(table, kServer, CheckOutcome::kPassed, {}, At(1'600));
  RecordCheck(table, kServer, CheckOutcome::kRefused, {.may_be_full = true},
              At(2'100));
  const TimePoint confirmed_at = At(2'100) + kRefutationTime;
  cr_expect(not IsConfirmedDown(table, kServer, confirmed_at - Duration(1)));
  cr_expect(IsConfirmedDown(table, kServer, confirmed_at));
}

// The entry of a server that was cut off may lapse while the server lives.
Test(server_health, removed_entry_does_not_end_a_suspect_that_never_refused) {
  HealthTable table = TableWithSuspect();
  RecordServerResponse(table, kOtherServer, At(1'130));
  const TimePoint reused = At(1'000) + kReuse.min_delay;
  RecordCheck(table, kServer, CheckOutcome::kPassed, {}, reused);
  cr_expect(not SettleDoubt(table, kServer, Listing::kRemoved));
  cr_expect(not IsConfirmedDown(table, kServer, reused));
  cr_expect(SettleDoubt(table, kServer, Listing::kReplaced));
  cr_expect(IsConfirmedDown(table, kServer, reused));
}

Test(server_health, facts_settle_only_the_doubt_about_a_suspect) {
  HealthTable table;
  cr_expect(not SettleDoubt(table, kServer, Listing::kRemoved), "unknown");
  RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'100));
  RecordCheck(table, kServer, CheckOutcome::kPassed, {}, At(1'101));
  cr_expect(not SettleDoubt(table, kServer, Listing::kRemoved), "healthy");
  cr_expect(not IsSuspect(table, kServer, At(1'102)));
}

Test(server_health, passed_check_after_a_refusal_does_not_clear_a_suspect) {
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

Test(server_health, passed_check_clears_only_a_recent_peer_suspicion) {
  HealthTable table;
  RecordPeerSuspicion(table, kServer, At(1'000));
  RecordCheck(table, kServer, CheckOutcome::kPassed, {}, At(1'100));
  cr_expect(not IsSuspect(table, kServer, At(1'101)));
  for (int64_t at = 2'000; at <= 4'000; at += 1'000) {
    RecordPeerSuspicion(table, kServer, At(at));
  }
  RecordCheck(table, kServer, CheckOutcome::kPassed, {}, At(4'100));
  cr_expect(IsSuspect(table, kServer, At(4'101)));
  cr_expect(not IsConfirmedDown(table, kServer, At(4'101)));
}

Test(server_health, answered_caller_clears_a_suspect) {
  HealthTable table = TableWithSuspect();
  cr_expect(not RecordServerResponse(table, kServer, At(999)), "an old answer");
  cr_expect(RecordServerResponse(table, kServer, At(1'200)));
  cr_expect(not IsSuspect(table, kServer, At(1'200)));
}

Test(server_health, answer_during_checks_keeps_a_server_healthy) {
  HealthTable table;
  RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'100));
  RecordTimeout(table, 1'125);
  RecordServerResponse(table, kServer, At(1'130));
  for (int i = 0; i < kFailuresToSuspect; ++i) RecordTimeout(table, 1'140 + i);
  cr_expect(not IsSuspect(table, kServer, At(1'150)));
}

// Guards against the reset of flows on a server whose queue is full: it refuses
// connections while it answers the callers of other VMs (review case 4, load of
// eight times the usual).
Test(server_health, flows_of_a_full_server_continue_if_a_peer_is_answered) {
  HealthTable table;
  RecordSilence(table, kServer, At(1'000), kMeanWait, At(1'100));
  for (int i = 0; i < kFailuresToSuspect; ++i) {
    RecordCheck(table, kServer, CheckOutcome::kRefused, {.may_be_full = true},
                At(1'101 + i));
  }
  RecordServerResponse(table, kOtherServer, At(1'110));
  const TimePoint confirmed_at =
      At(1'101 + kFailuresToSuspect - 1) + kRefutationTime;
  cr_expect(IsSuspect(table, kServer, At(1'110)), "it gets no new flows");
  cr_expect(not IsConfirmedDown(table, kServer, confirmed_at - Duration(1)));
  cr_expect(IsConfirmedDown(table, kServer, confirmed_at),
            "no VM has reported an answer");
  cr_expect(not RecordPeerAnswer(table, kServer, At(999), At(1'130)),
            "the answer precedes the evidence");
  cr_expect(RecordPeerAnswer(table, kServer, At(1'120), At(1'130)));
  cr_expect(not IsSuspect(table, kServer, At(1'130)));
  cr_expect(not IsConfirmedDown(table, kServer, confirmed_at));
  cr_expect(not RecordSilence(table, kServer, At(1'000), kMeanWait,
                              At(1'129) + kCheckInterval),
            "the server has just answered");
}

Test(server_health, peer_answer_does_not_show_that_this_vm_is_connected) {
  HealthTable table = TableWithSuspect();
  RecordPeerAnswer(table, kOtherServer, At(1'130), At(1'131));
  cr_expect(not IsConfirmedDown(table, kServer, At(1'200)));
}
