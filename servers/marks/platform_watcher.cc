#include "servers/marks/platform_watcher.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <utility>

#include "core/fleet/catch_up.h"
#include "core/fleet/first_facts.h"
#include "core/fleet/watcher_election.h"
#include "core/result_code.h"
#include "drivers/clock.h"
#include "drivers/log.h"

namespace knapweedlift {
namespace {

constexpr Duration kInitialBackoff{100};
constexpr Duration kMaxBackoff{1'000};
// If the platform becomes unreachable for this VM alone, only a missing answer
// reveals it. Short enough for another VM to take over the watch before a
// change must be in force.
constexpr Duration kWatchTimeout{1'000};
// Time between two catch-up calls of a VM that does not hold the watch.
constexpr Duration kCatchUpInterval{500};
// Changes in quicker succession than this are fetched by one call.
constexpr Duration kMinWatchInterval{100};
// Unreadable entries logged for one answer; the rest are counted.
constexpr size_t kMaxLoggedEntryErrors = 5;

// The first entries of a read that took longer may have changed since, and a
// further call fetches the changes.
constexpr Duration kMaxUnconfirmedReadTime{200};
// Short against the time-out of a request for first facts.
constexpr Duration kFirstFactsPollPeriod{10};

constexpr char kPlatformAnswers[] = "answers";

nlohmann::json RevisionFields(Revision revision) {
  return {{"revision", revision.number}, {"era", revision.era}};
}

// A store that lacks a revision which it had, and does not state its era, has
// returned from an older copy all the same.
void DetectUnstatedEra(Revision watched, SourceUpdate& read) {
  if (read.states_era || read.is_partial || read.as_of >= watched) return;
  SetEra(read, watched.era + 1);
  LogWarning("store_era_assumed",
             {{"era", read.era},
              {"revision", read.as_of.number},
              {"revision_before", watched.number},
              {"action",
               "Check why the platform's store does not state its era: its "
               "revisions have gone back without it."}});
}

void LogUnreadableEntries(const std::vector<std::string>& faults) {
  for (size_t i = 0; i < std::min(faults.size(), kMaxLoggedEntryErrors); ++i) {
    LogWarning("entry_ignored",
               {{"message", faults[i]},
                {"action", "Correct the entry in the platform's store."}});
  }
  if (faults.size() <= kMaxLoggedEntryErrors) return;
  LogWarning("entries_ignored",
             {{"more", faults.size() - kMaxLoggedEntryErrors},
              {"action", "Correct the entries in the platform's store."}});
}

}  // namespace

PlatformWatcher::PlatformWatcher(FactSource& source, FleetMessenger& messenger,
                                 Registry& registry, const EntryTiming& times,
                                 ChangeCallback on_change)
    : source_(source),
      messenger_(messenger),
      registry_(registry),
      on_change_(std::move(on_change)),
      removal_hold_{.timing = times} {}

bool PlatformWatcher::ShouldRun(TimePoint now) const {
  if (running_ || registry_.as_of == 0) return false;
  return ShouldWatch(messenger_.state(), now) ||
         (ShouldCatchUp(messenger_.state(), registry_, now) &&
          now >= next_catch_up_at_);
}

void PlatformWatcher::Run() {
  running_ = true;
  next_catch_up_at_ = Now() + kCatchUpInterval;
  if (registry_.as_of != 0) {
    LogInfo("watch_started", RevisionFields(registry_.as_of));
    Watch();
  } else if (ReadFirstFacts()) {
    Watch();
  }
  messenger_.SetWatching(false);
  running_ = false;
  LogInfo("watch_ended", RevisionFields(registry_.as_of));
}

bool PlatformWatcher::ReadFirstFacts() {
  TimePoint read_started_at = TimePoint::max();
  while (!stopping_) {
    WaitForFirstFacts();
    if (stopping_) return false;
    if (registry_.as_of != 0) {
      LogInfo("facts_from_peer", {});
      return false;
    }
    read_started_at = std::min(read_started_at, Now());
    absl::Status status = Poll();
    if (stopping_) return false;
    if (read_is_partial_) continue;
    const bool took_long =
        status.ok() && Now() - read_started_at > kMaxUnconfirmedReadTime;
    if (took_long) status = Poll();
    if (stopping_) return false;
    UpdateStatus(status);
    if (registry_.as_of != 0) {
      messenger_.SendWaitingSnapshots();
      return ShouldWatch(messenger_.state(), Now());
    }
    boost::this_fiber::sleep_for(backoff_);
  }
  return false;
}

void PlatformWatcher::Watch() {
  do {
    const absl::Status status = Poll();
    if (stopping_) return;
    UpdateStatus(status);
    if (!ShouldWatch(messenger_.state(), Now())) return;
    boost::this_fiber::sleep_for(status.ok() ? kMinWatchInterval : backoff_);
  } while (!stopping_ && ShouldWatch(messenger_.state(), Now()));
}

void PlatformWatcher::WaitForFirstFacts() {
  while (!stopping_ && registry_.as_of == 0 &&
         PagesToRead(messenger_.state(), read_is_partial_, Now()) == 0) {
    messenger_.Tick(Now());
    boost::this_fiber::sleep_for(kFirstFactsPollPeriod);
  }
}

absl::Status PlatformWatcher::Poll() {
  auto changes = FetchChanges();
  read_is_partial_ = changes.ok() && changes->is_partial;
  if (!changes.ok() || read_is_partial_) return changes.status();
  // A peer has sent facts of a later era while the store's response of an
  // earlier one was on its way. It confirms nothing.
  if (changes->as_of.era < registry_.as_of.era) {
    return MakeStatus(ResultCode::kPlatformEarlierEra,
                      "the store responded as before its return");
  }
  ApplyChanges(*changes);
  return absl::OkStatus();
}

absl::StatusOr<SourceUpdate> PlatformWatcher::FetchChanges() {
  ++call_count_;
  const TimePoint now = Now();
  if (registry_.as_of == 0) {
    return source_.ReadAll(
        PagesToRead(messenger_.state(), read_is_partial_, now), 0, now);
  }
  if (NeedsRepair(messenger_.state(), registry_)) {
    return source_.ReadAll(kAllPages, registry_.as_of.era, now);
  }
  // The first call of a watch returns at once and shows whether the platform
  // answers this VM.
  const Duration wait =
      messenger_.state().watching ? kWatchTimeout : Duration(0);
  auto changes = source_.WaitForChanges(registry_.as_of, now + wait, now);
  const bool is_gone =
      HasCode(changes.status(), ResultCode::kPlatformHistoryGone);
  const bool is_new_era =
      HasCode(changes.status(), ResultCode::kPlatformNewEra);
  if (is_gone || is_new_era) {
    LogInfo("history_gone", {{"revision", registry_.as_of.number},
                             {"era", registry_.as_of.era},
                             {"new_era", is_new_era}});
    ++call_count_;
    const Revision watched = registry_.as_of;
    changes = source_.ReadAll(kAllPages, watched.era, Now());
    if (changes.ok()) DetectUnstatedEra(watched, *changes);
  }
  if (wait == Duration(0)) {
    call_ms_.Add(static_cast<double>((Now() - now).count()));
  }
  return changes;
}

void PlatformWatcher::ApplyChanges(const SourceUpdate& changes) {
  LogUnreadableEntries(changes.entry_errors);
  const TimePoint now = Now();
  UpdateRemovalHold(removal_hold_, messenger_.state().confirmed_at, now);
  const bool is_new_era = IsNewEra(changes);
  FactDelta delta{.after = changes.after,
                  .as_of = changes.as_of,
                  .is_snapshot = changes.is_snapshot,
                  .servers = changes.servers,
                  .evacuations = changes.evacuations};
  if (now < removal_hold_.until) {
    delta.removals_held_until = removal_hold_.until;
  }
  const bool is_repair = IsRepair(changes);
  if (changes.config.has_value()) {
    LogOlderConfig(*changes.config);
    // A repair takes all routes, also those that seem to be unchanged.
    const Registry none;
    AddConfigChanges(is_repair ? none : std::as_const(registry_),
                     changes.config->config, changes.config->revision, delta);
  }
  const Revision before = registry_.as_of;
  const bool changed = MergeChanges(delta, is_repair, now);
  // All facts were read, so that a repair has nothing left to do.
  if (is_new_era && messenger_.state().repair.needed) {
    RecordRepair(messenger_.state(), false, now);
  }
  if (!changed) return;
  on_change_();
  if (before != 0 && registry_.as_of > before) messenger_.SendFacts(before);
}

bool PlatformWatcher::IsNewEra(const SourceUpdate& changes) const {
  return registry_.as_of != 0 && changes.is_snapshot &&
         changes.as_of.era > registry_.as_of.era;
}

bool PlatformWatcher::IsRepair(const SourceUpdate& changes) const {
  // An older snapshot repairs nothing, and one without a configuration would
  // remove all routes. The next read is tried instead.
  return NeedsRepair(messenger_.state(), registry_) && changes.is_snapshot &&
         changes.config.has_value() && changes.as_of >= registry_.as_of &&
         changes.as_of.era == registry_.as_of.era;
}

void PlatformWatcher::LogOlderConfig(const ConfigChange& change) const {
  if (change.revision.era <= registry_.limits.revision.era) return;
  const LimitsChange candidate{.revision = change.revision,
                               .limits = change.config.limits};
  if (ReplacesConfig(candidate, registry_.limits)) return;
  LogWarning("older_configuration_ignored",
             {{"version", candidate.limits.version},
              {"version_in_force", registry_.limits.limits.version},
              {"era", change.revision.era},
              {"action",
               "Write the newest configuration again: the store has returned "
               "from a copy without it."}});
}

bool PlatformWatcher::MergeChanges(const FactDelta& delta, bool is_repair,
                                   TimePoint now) {
  if (!is_repair) {
    const Revision changed_before = registry_.last_change;
    if (MergeDelta(registry_, delta, now) != MergeResult::kMerged) return false;
    PruneTombstones(registry_, now);
    return registry_.last_change != changed_before;
  }
  const FactsDigest digest = registry_.digest;
  const Revision as_of = registry_.as_of;
  ReplaceFacts(registry_, delta, now);
  const bool were_wrong =
      registry_.as_of == as_of && registry_.digest != digest;
  RecordRepair(messenger_.state(), were_wrong, now);
  LogInfo("facts_read_anew", {{"revision", registry_.as_of.number},
                              {"era", registry_.as_of.era},
                              {"were_wrong", were_wrong}});
  return registry_.digest != digest;
}

void PlatformWatcher::UpdateStatus(const absl::Status& status) {
  if (status.ok()) RecordConfirmation(messenger_.state(), Now());
  messenger_.SetWatching(status.ok() && ShouldWatch(messenger_.state(), Now()));
  if (status.ok()) {
    backoff_ = kInitialBackoff;
    if (platform_status_ != kPlatformAnswers) LogInfo("platform_answers", {});
    platform_status_ = kPlatformAnswers;
    return;
  }
  backoff_ = std::clamp(2 * backoff_, kInitialBackoff, kMaxBackoff);
  if (platform_status_ == status.message()) return;
  platform_status_ = std::string(status.message());
  LogWarning("platform_lost",
             {{"message", platform_status_},
              {"action",
               "Check that this VM can reach the platform's store; "
               "until then it gets changes from other VMs."}});
}

}  // namespace knapweedlift
