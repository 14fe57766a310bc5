#ifndef KNAPWEEDLIFT_CORE_HEALTH_SERVER_HEALTH_H_
#define KNAPWEEDLIFT_CORE_HEALTH_SERVER_HEALTH_H_

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

#include "core/mark/mark.h"
#include "core/time.h"

namespace knapweedlift {

// What a VM concludes about a backend server from its callers' packets, from
// checks and from other VMs. A check is a connection attempt: it needs no free
// slot of the server, so that a busy server passes it.
enum class HealthState : uint8_t {
  kHealthy,
  // Callers wait, and a check is under way.
  kChecking,
  // This VM's own checks failed.
  kSuspect,
};

struct ServerHealth {
  HealthState state = HealthState::kHealthy;
  // Failed checks in a row.
  int consecutive_failures = 0;
  // When the evidence that led to the present phase began.
  TimePoint evidence_since;
  // A check was refused: no process listens at the server's address any more.
  bool connection_refused = false;
  // No check begins before.
  TimePoint next_check_at;
  // Another VM's verdict, since when there is one, and how long it holds unless
  // it is renewed.
  TimePoint reported_since;
  TimePoint reported_at;
  TimePoint reported_until;

  auto operator<=>(const ServerHealth&) const = default;
};

// When a connection to a server's address may reach another server. Between
// the two times a passed check does not tell whose it is.
struct AddressReuse {
  // The address may go to another server this long after its server's end.
  Duration min_delay{2'000};
  // A server that the platform still lists this long after its supposed end
  // lives.
  Duration max_listing_delay{5'000};

  auto operator<=>(const AddressReuse&) const = default;
};

struct HealthTable {
  AddressReuse reuse;
  std::map<Mark, ServerHealth> servers;
  // When any server last answered, a caller or a check: while none does, the
  // fault may be this VM's own.
  TimePoint last_answer_at;

  auto operator<=>(const HealthTable&) const = default;
};

// How long callers may wait for a server, none of them answered, before it is
// checked, at least.
inline constexpr Duration kMinSilence{60};
// Requests that take this many times as long as usual are no silence yet.
inline constexpr int kSilenceWaitFactor = 2;
// A connection within a region takes a few milliseconds.
inline constexpr Duration kFirstCheckTimeout{25};
inline constexpr Duration kCheckTimeout{40};
// The first failed check may be this VM's own fault; each further one counts
// only where another server passes a check at the same time.
inline constexpr int kFailuresToSuspect = 3;
// Time between the checks of a server whose callers wait while it passes.
inline constexpr Duration kCheckInterval{500};
// Time after a check that says nothing.
inline constexpr Duration kInconclusiveCheckInterval{100};
// Time between the checks of a suspect.
inline constexpr Duration kSuspectCheckInterval{500};
// How much later than a server's end the first evidence of it may come.
inline constexpr Duration kMaxEvidenceDelay{1'000};
// How long another VM's verdict holds, and how often one is renewed: by the VM
// with the smallest part of the spread, so that not all of them do.
inline constexpr Duration kSuspicionLifetime{1'500};
inline constexpr Duration kSuspicionInterval{900};
inline constexpr Duration kMaxSuspicionDelay{400};

// Callers wait for the server since `silent_since`; usually they wait for
// `usual_wait`. Returns true where a check is to begin.
bool RecordSilence(HealthTable& table, Mark mark, TimePoint silent_since,
                   Duration mean_wait, TimePoint now);

// Another VM's checks of the server failed: it gets no new flows for a while.
// Returns true where a check is to begin here, too, without which its flows are
// not ended.
bool RecordPeerSuspicion(HealthTable& table, Mark mark, TimePoint now);

// A server answered a caller. Returns true where a suspect is good again.
bool RecordServerResponse(HealthTable& table, Mark mark, TimePoint at);

// How a check ended.
enum class CheckOutcome : uint8_t {
  kPassed,
  // The machine answers, but no process listens there.
  kRefused,
  kTimedOut,
  // The server did not answer, but neither did one that is good.
  kInconclusive,
};

enum class HealthVerdict : uint8_t {
  kHealthy,
  kCheckAgain,
  kSuspect,
};

// What the platform says of a server that was checked.
struct PlatformListing {
  // The server may be about to stop: such a server takes no connections any
  // more while it still serves its flows, so that a refusal says nothing.
  bool may_be_draining = false;
  // The platform lists it now.
  bool listed = true;

  auto operator<=>(const PlatformListing&) const = default;
};

// A check of the server has ended. A suspect that passes is good again, unless
// its address may belong to another server by now.
HealthVerdict RecordCheck(HealthTable& table, Mark mark, CheckOutcome outcome,
                          const PlatformListing& server, TimePoint now);

// True where the next check of the server counts only beside one of a good
// server.
bool NeedsReferenceCheck(const HealthTable& table, Mark mark);

// Suspects whose next check is due; each stays suspect until it passes one.
std::vector<Mark> TakeDueChecks(HealthTable& table, TimePoint now);

// Ends reports that were not renewed. Returns true where one ended.
bool ExpireSuspicions(HealthTable& table, TimePoint now);

// Suspects of this VM's own that no other VM reported lately. The VM renews
// reports `delay` later than the first that may, up to kMaxSuspicionDelay.
std::vector<Mark> SuspectsToReport(const HealthTable& table, Duration delay,
                                   TimePoint now);

// This VM has reported its verdict; nobody needs to repeat it for a while.
void RecordOwnSuspicion(HealthTable& table, Mark mark, TimePoint now);

// True where new flows are to go elsewhere.
bool IsSuspect(const HealthTable& table, Mark mark, TimePoint now);

// True where the flows of a server may be ended: this VM's own checks failed,
// and some other server answered after the evidence began, so that this VM
// itself is connected.
bool IsConfirmedDown(const HealthTable& table, Mark mark);

// Forgets servers that `known` does not hold.
template <typename IsKnown>
void RetainServers(HealthTable& table, const IsKnown& is_known) {
  std::erase_if(table.servers, [&is_known](const auto& item) {
    return !is_known(item.first);
  });
}

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_HEALTH_SERVER_HEALTH_H_
