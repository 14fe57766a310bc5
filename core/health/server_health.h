#ifndef KNAPWEEDLIFT_CORE_HEALTH_SERVER_HEALTH_H_
#define KNAPWEEDLIFT_CORE_HEALTH_SERVER_HEALTH_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "core/mark/mark.h"
#include "core/time.h"

namespace knapweedlift {

// Health of a backend server as one VM judges it from its callers' packets
// (passive health checks), from its own checks and from the suspicions of other
// VMs. A check is a connection attempt. It needs no free slot of the server, so
// that a busy server passes.
enum class HealthState : uint8_t {
  kHealthy,
  // Callers wait or another VM suspects the server, and a check is in progress.
  kChecking,
  // The checks made by this VM failed.
  kSuspect,
};

struct ServerHealth {
  HealthState state = HealthState::kHealthy;
  int consecutive_failures = 0;
  // When the evidence for the present state began.
  TimePoint evidence_since;
  // A check was refused: the server has ended or been restarted, or it is full,
  // or its links refuse connections.
  bool connection_refused = false;
  // A suspect passed its last check, but another server may have its address by
  // now. The instance number in each packet keeps other servers from taking
  // packets of its flows, so these may continue. An answer on one of them shows
  // that the server lives, and SettleDoubt that it does not.
  bool in_doubt = false;
  // No check starts before this time, unless another VM suspects the server.
  TimePoint next_check_at;
  // The flows of a suspect are not reset earlier, so that VMs whose callers the
  // server still answers can report it.
  TimePoint reset_not_before;
  // Suspicion of another VM: its first and its latest report, and when it
  // expires unless it is renewed. This VM's own reports extend the expiry, too.
  TimePoint reported_since;
  TimePoint reported_at;
  TimePoint reported_until;

  auto operator<=>(const ServerHealth&) const = default;
};

// Bounds on the reuse of a server's address after the server's end. Between the
// two delays, a passed check does not show which server answered it.
struct AddressReuse {
  // Shortest time from a server's end until another server may get its address.
  Duration min_delay{2'000};
  // Longest time that the platform lists a server after its end. A server that
  // is still listed after its supposed end plus this delay is alive.
  Duration max_listing_delay{5'000};

  auto operator<=>(const AddressReuse&) const = default;
};

struct HealthTable {
  AddressReuse reuse;
  std::map<Mark, ServerHealth> servers;
  // When any server last answered a caller or a check. While none does, the
  // fault may be with this VM.
  TimePoint last_answer_at;

  auto operator<=>(const HealthTable&) const = default;
};

// Shortest time without a response to any waiting caller after which a server
// is checked.
inline constexpr Duration kMinSilence{60};
// The same while all slots of the service may be in use: callers then wait for
// those before them, and a check takes another place in the server's queue.
inline constexpr Duration kMinSaturatedSilence{250};
// A wait of up to this multiple of the mean wait does not count as silence.
inline constexpr int kSilenceWaitFactor = 2;
// Connecting within a region takes a few milliseconds.
inline constexpr Duration kFirstCheckTimeout{25};
inline constexpr Duration kCheckTimeout{40};
// Consecutive failed checks that make a server suspect. The first failure may
// be this VM's own fault; each further one counts only if another server passes
// a reference check at the same time.
inline constexpr int kFailuresToSuspect = 3;
// Interval between checks of a server that passes them while its callers wait.
inline constexpr Duration kCheckInterval{500};
// Delay after an inconclusive check.
inline constexpr Duration kInconclusiveCheckInterval{100};
// Interval between checks of a suspect.
inline constexpr Duration kSuspectCheckInterval{500};
// Longest delay between a server's end and the first evidence of it.
inline constexpr Duration kMaxEvidenceDelay{1'000};
// Lifetime of a suspicion, the interval at which it is renewed, and the longest
// random delay that a VM adds to that interval. The VM with the shortest delay
// renews the suspicion, so that not all VMs do.
inline constexpr Duration kSuspicionLifetime{1'500};
inline constexpr Duration kSuspicionInterval{900};
inline constexpr Duration kMaxSuspicionDelay{400};

// Records that callers have been waiting for the server since `silent_since`
// without any response. `mean_wait` is how long callers usually wait, and
// `min_silence` the shortest time that is evidence. Returns true if a check is
// to be started.
bool RecordSilence(HealthTable& table, Mark mark, TimePoint silent_since,
                   Duration mean_wait, TimePoint now,
                   Duration min_silence = kMinSilence);

// Records that another VM's checks of the server failed. The server gets no new
// flows until the suspicion expires. Returns true if this VM is to start a
// check of its own, without which the server's flows are not reset.
bool RecordPeerSuspicion(HealthTable& table, Mark mark, TimePoint now);

// Records that a server answered a caller. Returns true if a suspect is healthy
// again.
bool RecordServerResponse(HealthTable& table, Mark mark, TimePoint at);

// Outcome of one check.
enum class CheckOutcome : uint8_t {
  kPassed,
  // The host responded, but no process listens on the port.
  kRefused,
  kTimedOut,
  // The server did not answer, but neither did a healthy one.
  kInconclusive,
};

// Conclusion about a server after a check.
enum class HealthVerdict : uint8_t {
  kHealthy,
  kCheckAgain,
  kSuspect,
};

// Time for other VMs to report that a suspect that may be full still answers
// their callers. They look for answers every 40 ms, and a VM with a small share
// of a core handles a message tens of milliseconds late. 150 ms were too short
// for servers that answer ten requests a second.
inline constexpr Duration kRefutationTime{500};

// What is known about a server that was checked.
struct CheckedServer {
  // The server may be draining. A draining server accepts no new connections
  // while it still serves its flows, so that a refused check is inconclusive.
  bool may_be_draining = false;
  // The platform currently lists the server.
  bool listed = true;
  // All slots and queues of the service may be in use. A full server refuses
  // connections or lets them time out, as one that has ended does.
  bool may_be_full = false;

  auto operator<=>(const CheckedServer&) const = default;
};

// Records the outcome of a check. A suspect that passes is healthy again,
// unless its address may belong to another server by now.
HealthVerdict RecordCheck(HealthTable& table, Mark mark, CheckOutcome outcome,
                          const CheckedServer& server, TimePoint now);

// Returns true if the next check of the server counts only together with a
// reference check of a healthy server.
bool NeedsReferenceCheck(const HealthTable& table, Mark mark);

// Returns at most `max_count` suspects whose next check is due and schedules
// their next one. Suspects are checked until they pass. Those that are left out
// stay due.
std::vector<Mark> TakeDueChecks(HealthTable& table, size_t max_count,
                                TimePoint now);

// Returns the suspects that passed their last check, though it does not show
// which server answered it.
std::vector<Mark> SuspectsInDoubt(const HealthTable& table);

// What the platform's facts say of a server's entry.
enum class Listing : uint8_t {
  kListed,
  // Removed for good, unless the server lists itself again.
  kRemoved,
  // Another server is listed at the same address.
  kReplaced,
};

// Ends the doubt about a suspect whose end the facts show: another server has
// its address, or it refused connections and its entry is gone. A removed entry
// alone shows no end, as it lapses while a server is cut off. Returns true if
// the flows of the suspect may be reset from now on.
bool SettleDoubt(HealthTable& table, Mark mark, Listing listing);

// Expires suspicions that were not renewed. Returns true if any expired.
bool ExpireSuspicions(HealthTable& table, TimePoint now);

// Returns the suspects of this VM whose suspicion was not reported recently.
// The VM renews a suspicion `delay` after the renewal interval, up to
// kMaxSuspicionDelay.
std::vector<Mark> SuspectsToReport(const HealthTable& table, Duration delay,
                                   TimePoint now);

// Records that this VM reported its suspicion, which need not be repeated for a
// while.
void RecordOwnSuspicion(HealthTable& table, Mark mark, TimePoint now);

// Returns true if new flows are to avoid the server.
bool IsSuspect(const HealthTable& table, Mark mark, TimePoint now);

// Records another VM's report that the server answered one of its callers.
// Returns true if the server was suspect and is healthy again.
bool RecordPeerAnswer(HealthTable& table, Mark mark, TimePoint answered_at,
                      TimePoint now);

// Returns true if the flows of a server may be reset: the checks made by this
// VM failed, the last one included, another server answered after the evidence
// began, which shows that this VM itself is connected, and no other VM has
// reported an answer of the server in time.
bool IsConfirmedDown(const HealthTable& table, Mark mark, TimePoint now);

// Removes the servers for which `is_known` returns false.
template <typename IsKnown>
void RetainServers(HealthTable& table, const IsKnown& is_known) {
  std::erase_if(table.servers, [&is_known](const auto& item) {
    return !is_known(item.first);
  });
}

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_HEALTH_SERVER_HEALTH_H_
