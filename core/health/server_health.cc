#include "core/health/server_health.h"

#include <algorithm>

namespace knapweedlift {
namespace {

// A check that could not be made leaves the phase behind; it ends by time.
bool BeginCheck(ServerHealth& health, TimePoint evidence_at, TimePoint now) {
  if (health.phase == HealthPhase::kSuspect) return false;
  const bool under_way =
      health.phase == HealthPhase::kChecking && now < health.next_check_at;
  if (under_way) return false;
  health.phase = HealthPhase::kChecking;
  health.failures = 0;
  health.refused = false;
  health.evidence_at = evidence_at;
  health.next_check_at = now + kCheckPause;
  return true;
}

// True where a server that seemed to have ended at `ended_at` passes a check
// itself, not another one at its address.
bool IsSameServer(const AddressReuse& reuse, TimePoint ended_at, bool refused,
                  bool listed, TimePoint now) {
  const Duration since = now - ended_at;
  if (since >= reuse.latest_listing) return listed;
  return !refused && since < reuse.earliest - kLateEvidence;
}

// Ends a suspicion, and another VM's verdict where the check speaks against it.
CheckResult NotePassedCheck(const AddressReuse& reuse, ServerHealth& health,
                            bool listed, TimePoint now) {
  const bool suspect = health.phase == HealthPhase::kSuspect;
  if (suspect &&
      !IsSameServer(reuse, health.evidence_at, health.refused, listed, now)) {
    return CheckResult::kSuspect;
  }
  const ServerHealth before = health;
  health = {.next_check_at = now + kCheckPause};
  const bool reported = now < before.reported_until;
  if (reported &&
      !IsSameServer(reuse, before.reported_since, false, listed, now)) {
    health.reported_since = before.reported_since;
    health.reported_at = before.reported_at;
    health.reported_until = before.reported_until;
  }
  return CheckResult::kGood;
}

}  // namespace

bool NoteSilence(HealthTable& table, Mark mark, TimePoint silent_since,
                 Duration usual_wait, TimePoint now) {
  ServerHealth& health = table.servers[mark];
  const Duration limit = std::max(kSilenceTime, kUsualWaits * usual_wait);
  if (now - silent_since < limit || now < health.next_check_at) return false;
  return BeginCheck(health, silent_since, now);
}

bool NoteReport(HealthTable& table, Mark mark, TimePoint now) {
  ServerHealth& health = table.servers[mark];
  if (now >= health.reported_until) health.reported_since = now;
  health.reported_at = now;
  health.reported_until = now + kReportTime;
  if (!BeginCheck(health, now, now)) return false;
  // The other VM's checks stand for the first one.
  health.failures = 1;
  return true;
}

bool NoteServerAnswer(HealthTable& table, Mark mark, TimePoint at) {
  table.any_answer_at = std::max(table.any_answer_at, at);
  const auto found = table.servers.find(mark);
  if (found == table.servers.end()) return false;
  ServerHealth& health = found->second;
  bool recovered = false;
  if (at > health.reported_at && health.reported_until != TimePoint{}) {
    health.reported_until = {};
    recovered = true;
  }
  if (at <= health.evidence_at) return recovered;
  recovered |= health.phase == HealthPhase::kSuspect;
  health.phase = HealthPhase::kGood;
  health.failures = 0;
  return recovered;
}

CheckResult NoteCheck(HealthTable& table, Mark mark, CheckOutcome outcome,
                      const CheckedServer& server, TimePoint now) {
  const auto found = table.servers.find(mark);
  if (found == table.servers.end()) return CheckResult::kGood;
  ServerHealth& health = found->second;
  const bool says_nothing =
      outcome == CheckOutcome::kUnclear ||
      (outcome == CheckOutcome::kRefused && server.may_be_leaving);
  if (says_nothing) {
    if (health.phase == HealthPhase::kSuspect) return CheckResult::kSuspect;
    health.phase = HealthPhase::kGood;
    health.next_check_at = now + kUnclearPause;
    return CheckResult::kGood;
  }
  if (outcome == CheckOutcome::kPassed) {
    table.any_answer_at = std::max(table.any_answer_at, now);
    return NotePassedCheck(table.reuse, health, server.listed, now);
  }
  // A server that answered a caller meanwhile is good.
  if (health.phase == HealthPhase::kGood) return CheckResult::kGood;
  ++health.failures;
  health.refused |= outcome == CheckOutcome::kRefused;
  if (health.failures < kFailuresToSuspect) return CheckResult::kCheckAgain;
  health.phase = HealthPhase::kSuspect;
  health.next_check_at = now + kRecheckPause;
  return CheckResult::kSuspect;
}

bool NeedsControl(const HealthTable& table, Mark mark) {
  const auto found = table.servers.find(mark);
  return found != table.servers.end() && found->second.failures > 0;
}

std::vector<Mark> TakeDueChecks(HealthTable& table, TimePoint now) {
  std::vector<Mark> due;
  for (auto& [mark, health] : table.servers) {
    const bool is_due =
        health.phase == HealthPhase::kSuspect && now >= health.next_check_at;
    if (!is_due) continue;
    health.next_check_at = now + kRecheckPause;
    due.push_back(mark);
  }
  return due;
}

bool ExpireReports(HealthTable& table, TimePoint now) {
  bool ended = false;
  for (auto& [mark, health] : table.servers) {
    const bool ends =
        health.reported_until != TimePoint{} && now >= health.reported_until;
    if (!ends) continue;
    health.reported_until = {};
    ended = true;
  }
  return ended;
}

std::vector<Mark> SuspectsToReport(const HealthTable& table, Duration delay,
                                   TimePoint now) {
  const Duration left = kReportTime - kReportPeriod - delay;
  std::vector<Mark> suspects;
  for (const auto& [mark, health] : table.servers) {
    const bool untold = now + left >= health.reported_until;
    if (health.phase == HealthPhase::kSuspect && untold) {
      suspects.push_back(mark);
    }
  }
  return suspects;
}

void NoteOwnReport(HealthTable& table, Mark mark, TimePoint now) {
  table.servers[mark].reported_until = now + kReportTime;
}

bool IsSuspect(const HealthTable& table, Mark mark, TimePoint now) {
  const auto found = table.servers.find(mark);
  return found != table.servers.end() &&
         (found->second.phase == HealthPhase::kSuspect ||
          now < found->second.reported_until);
}

bool MayEndFlows(const HealthTable& table, Mark mark) {
  const auto found = table.servers.find(mark);
  return found != table.servers.end() &&
         found->second.phase == HealthPhase::kSuspect &&
         table.any_answer_at > found->second.evidence_at;
}

}  // namespace knapweedlift
