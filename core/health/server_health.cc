#include "core/health/server_health.h"

#include <algorithm>
#include <utility>

namespace knapweedlift {
namespace {

// A check that could not be made leaves the server in state kChecking; the
// state lapses at `next_check_at`.
bool StartCheck(ServerHealth& health, TimePoint evidence_since, TimePoint now) {
  if (health.state == HealthState::kSuspect) return false;
  const bool in_progress =
      health.state == HealthState::kChecking && now < health.next_check_at;
  if (in_progress) return false;
  health.state = HealthState::kChecking;
  health.consecutive_failures = 0;
  health.connection_refused = false;
  health.in_doubt = false;
  health.evidence_since = evidence_since;
  health.next_check_at = now + kCheckInterval;
  return true;
}

// Returns true if a check was passed by the server that seemed to have ended at
// `ended_at`, and not by another server that reuses its address.
bool IsSameServer(const AddressReuse& reuse, TimePoint ended_at,
                  bool connection_refused, bool listed, TimePoint now) {
  const Duration since = now - ended_at;
  if (since >= reuse.max_listing_delay) return listed;
  return !connection_refused && since < reuse.min_delay - kMaxEvidenceDelay;
}

// Clears this VM's suspicion, and that of another VM if the check refutes it.
HealthVerdict RecordPassedCheck(const AddressReuse& reuse, ServerHealth& health,
                                bool listed, TimePoint now) {
  const bool suspect = health.state == HealthState::kSuspect;
  if (suspect && !IsSameServer(reuse, health.evidence_since,
                               health.connection_refused, listed, now)) {
    health.in_doubt = true;
    return HealthVerdict::kSuspect;
  }
  const ServerHealth before = health;
  health = {.next_check_at = now + kCheckInterval};
  const bool reported = now < before.reported_until;
  if (reported &&
      !IsSameServer(reuse, before.reported_since, false, listed, now)) {
    health.reported_since = before.reported_since;
    health.reported_at = before.reported_at;
    health.reported_until = before.reported_until;
  }
  return HealthVerdict::kHealthy;
}

// An answer after the evidence began refutes it. Returns true if the server was
// suspect, also by another VM's report, and is healthy again.
bool RefuteEvidence(ServerHealth& health, TimePoint at) {
  bool recovered = false;
  if (at > health.reported_at && health.reported_until != TimePoint{}) {
    health.reported_until = {};
    recovered = true;
  }
  if (at <= health.evidence_since) return recovered;
  recovered |= health.state == HealthState::kSuspect;
  health.state = HealthState::kHealthy;
  health.consecutive_failures = 0;
  return recovered;
}

}  // namespace

bool RecordSilence(HealthTable& table, Mark mark, TimePoint silent_since,
                   Duration mean_wait, TimePoint now, Duration min_silence) {
  ServerHealth& health = table.servers[mark];
  const Duration limit = std::max(min_silence, kSilenceWaitFactor * mean_wait);
  if (now - silent_since < limit || now < health.next_check_at) return false;
  return StartCheck(health, silent_since, now);
}

bool RecordPeerSuspicion(HealthTable& table, Mark mark, TimePoint now) {
  ServerHealth& health = table.servers[mark];
  if (now >= health.reported_until) health.reported_since = now;
  health.reported_at = now;
  health.reported_until = now + kSuspicionLifetime;
  if (!StartCheck(health, now, now)) return false;
  // The failed checks of the other VM count as the first failure.
  health.consecutive_failures = 1;
  return true;
}

bool RecordServerResponse(HealthTable& table, Mark mark, TimePoint at) {
  table.last_answer_at = std::max(table.last_answer_at, at);
  const auto found = table.servers.find(mark);
  return found != table.servers.end() && RefuteEvidence(found->second, at);
}

bool RecordPeerAnswer(HealthTable& table, Mark mark, TimePoint answered_at,
                      TimePoint now) {
  const auto found = table.servers.find(mark);
  if (found == table.servers.end()) return false;
  ServerHealth& health = found->second;
  if (answered_at > health.evidence_since) {
    health.next_check_at = std::max(health.next_check_at, now + kCheckInterval);
  }
  return RefuteEvidence(health, answered_at);
}

HealthVerdict RecordCheck(HealthTable& table, Mark mark, CheckOutcome outcome,
                          const CheckedServer& server, TimePoint now) {
  const auto found = table.servers.find(mark);
  if (found == table.servers.end()) return HealthVerdict::kHealthy;
  ServerHealth& health = found->second;
  const bool inconclusive =
      outcome == CheckOutcome::kInconclusive ||
      (outcome == CheckOutcome::kRefused && server.may_be_draining);
  if (inconclusive) {
    if (health.state == HealthState::kSuspect) return HealthVerdict::kSuspect;
    health.state = HealthState::kHealthy;
    health.next_check_at = now + kInconclusiveCheckInterval;
    return HealthVerdict::kHealthy;
  }
  if (outcome == CheckOutcome::kPassed) {
    table.last_answer_at = std::max(table.last_answer_at, now);
    return RecordPassedCheck(table.reuse, health, server.listed, now);
  }
  // The server has answered a caller since the check started.
  if (health.state == HealthState::kHealthy) return HealthVerdict::kHealthy;
  ++health.consecutive_failures;
  const bool was_in_doubt = std::exchange(health.in_doubt, false);
  health.connection_refused |= outcome == CheckOutcome::kRefused;
  if (health.consecutive_failures < kFailuresToSuspect) {
    return HealthVerdict::kCheckAgain;
  }
  if (health.state != HealthState::kSuspect || was_in_doubt) {
    health.reset_not_before = server.may_be_full ? now + kRefutationTime : now;
  }
  health.state = HealthState::kSuspect;
  health.next_check_at = now + kSuspectCheckInterval;
  return HealthVerdict::kSuspect;
}

bool NeedsReferenceCheck(const HealthTable& table, Mark mark) {
  const auto found = table.servers.find(mark);
  return found != table.servers.end() && found->second.consecutive_failures > 0;
}

std::vector<Mark> TakeDueChecks(HealthTable& table, size_t max_count,
                                TimePoint now) {
  std::vector<Mark> due;
  for (auto& [mark, health] : table.servers) {
    if (due.size() == max_count) break;
    const bool is_due =
        health.state == HealthState::kSuspect && now >= health.next_check_at;
    if (!is_due) continue;
    health.next_check_at = now + kSuspectCheckInterval;
    due.push_back(mark);
  }
  return due;
}

std::vector<Mark> SuspectsInDoubt(const HealthTable& table) {
  std::vector<Mark> suspects;
  for (const auto& [mark, health] : table.servers) {
    const bool in_doubt =
        health.state == HealthState::kSuspect && health.in_doubt;
    if (in_doubt) suspects.push_back(mark);
  }
  return suspects;
}

bool SettleDoubt(HealthTable& table, Mark mark, Listing listing) {
  const auto found = table.servers.find(mark);
  if (found == table.servers.end()) return false;
  ServerHealth& health = found->second;
  const bool has_ended =
      listing == Listing::kReplaced ||
      (listing == Listing::kRemoved && health.connection_refused);
  if (health.state != HealthState::kSuspect || !has_ended) return false;
  return std::exchange(health.in_doubt, false);
}

bool ExpireSuspicions(HealthTable& table, TimePoint now) {
  bool expired = false;
  for (auto& [mark, health] : table.servers) {
    const bool expires =
        health.reported_until != TimePoint{} && now >= health.reported_until;
    if (!expires) continue;
    health.reported_until = {};
    expired = true;
  }
  return expired;
}

std::vector<Mark> SuspectsToReport(const HealthTable& table, Duration delay,
                                   TimePoint now) {
  const Duration remaining = kSuspicionLifetime - kSuspicionInterval - delay;
  std::vector<Mark> suspects;
  for (const auto& [mark, health] : table.servers) {
    const bool unreported = now + remaining >= health.reported_until;
    if (health.state == HealthState::kSuspect && unreported) {
      suspects.push_back(mark);
    }
  }
  return suspects;
}

void RecordOwnSuspicion(HealthTable& table, Mark mark, TimePoint now) {
  table.servers[mark].reported_until = now + kSuspicionLifetime;
}

bool IsSuspect(const HealthTable& table, Mark mark, TimePoint now) {
  const auto found = table.servers.find(mark);
  return found != table.servers.end() &&
         (found->second.state == HealthState::kSuspect ||
          now < found->second.reported_until);
}

bool IsConfirmedDown(const HealthTable& table, Mark mark, TimePoint now) {
  const auto found = table.servers.find(mark);
  return found != table.servers.end() &&
         found->second.state == HealthState::kSuspect &&
         !found->second.in_doubt && now >= found->second.reset_not_before &&
         table.last_answer_at > found->second.evidence_since;
}

}  // namespace knapweedlift
