#include "servers/marks/platform_watch.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <utility>

#include "core/fleet/watch_duty.h"
#include "core/result_code.h"
#include "drivers/clock.h"
#include "drivers/log.h"

namespace knapweedlift {
namespace {

constexpr Duration kBackoffFirst{100};
constexpr Duration kBackoffMax{1'000};
// A platform that has fallen silent for this VM alone shows only by an answer
// that does not come. Short enough for another VM to take the watch over before
// a change must be in force.
constexpr Duration kWatchTime{1'000};
// Time between two attempts to catch up that are not this VM's watch.
constexpr Duration kCatchUpPause{500};
// Changes that follow each other this closely are fetched by one call.
constexpr Duration kWatchPause{100};
// Unreadable entries that one answer logs; the others are counted.
constexpr size_t kMaxLoggedFaults = 5;

constexpr char kAnswers[] = "answers";

bool IsHistoryGone(const absl::Status& status) {
  return CodeOfStatus(status) ==
         static_cast<uint16_t>(ResultCode::kPlatformHistoryGone);
}

void LogFaults(const std::vector<std::string>& faults) {
  for (size_t i = 0; i < std::min(faults.size(), kMaxLoggedFaults); ++i) {
    LogWarning("entry_ignored",
               {{"message", faults[i]},
                {"action", "Correct the entry in the platform's store."}});
  }
  if (faults.size() <= kMaxLoggedFaults) return;
  LogWarning("entries_ignored",
             {{"more", faults.size() - kMaxLoggedFaults},
              {"action", "Correct the entries in the platform's store."}});
}

}  // namespace

PlatformWatch::PlatformWatch(FactSource& source, FleetMessenger& messenger,
                             Registry& registry, const EntryTimes& times,
                             ChangeTaker take_change)
    : source_(source),
      messenger_(messenger),
      registry_(registry),
      take_change_(std::move(take_change)),
      hold_{.times = times} {}

bool PlatformWatch::IsDue(TimePoint now) const {
  if (running_ || registry_.as_of == 0) return false;
  return ShouldWatch(messenger_.state(), now) ||
         (ShouldCatchUp(messenger_.state(), registry_) &&
          now >= next_catch_up_at_);
}

void PlatformWatch::Run() {
  running_ = true;
  next_catch_up_at_ = Now() + kCatchUpPause;
  bool first_read = registry_.as_of == 0;
  if (!first_read) {
    LogInfo("watch_started", {{"revision", registry_.as_of}});
  }
  while (!stopping_) {
    const absl::Status status = Follow();
    if (stopping_) break;
    NoteStatus(status);
    first_read = registry_.as_of == 0;
    if (!first_read && !ShouldWatch(messenger_.state(), Now())) break;
    boost::this_fiber::sleep_for(status.ok() ? kWatchPause : backoff_);
    if (!first_read && !ShouldWatch(messenger_.state(), Now())) break;
  }
  messenger_.SetWatching(false);
  running_ = false;
  LogInfo("watch_ended", {{"revision", registry_.as_of}});
}

absl::Status PlatformWatch::Follow() {
  auto news = Read();
  if (news.ok()) TakeNews(*news);
  return news.status();
}

absl::StatusOr<SourceNews> PlatformWatch::Read() {
  ++calls_;
  const TimePoint now = Now();
  if (registry_.as_of == 0) return source_.ReadAll(now);
  // The first call of a watch returns at once and tells whether the platform
  // answers this VM.
  const Duration wait = messenger_.state().watching ? kWatchTime : Duration(0);
  auto news = source_.WaitForChanges(registry_.as_of, now + wait, now);
  if (IsHistoryGone(news.status())) {
    LogInfo("history_gone", {{"revision", registry_.as_of}});
    ++calls_;
    news = source_.ReadAll(Now());
  }
  if (wait == Duration(0)) {
    call_ms_.Add(static_cast<double>((Now() - now).count()));
  }
  return news;
}

void PlatformWatch::TakeNews(const SourceNews& news) {
  LogFaults(news.faults);
  const TimePoint now = Now();
  NotePlatformAnswer(hold_, messenger_.state().confirmed_at, now);
  FactDelta delta{.after = news.after,
                  .as_of = news.as_of,
                  .whole = news.whole,
                  .servers = news.servers};
  if (now < hold_.until) delta.removals_held_until = hold_.until;
  if (news.config.has_value()) {
    AddConfigChanges(registry_, news.config->config, news.config->revision,
                     delta);
  }
  const Revision before = registry_.as_of;
  const Revision changed_before = registry_.last_change;
  if (MergeDelta(registry_, delta, now) != MergeResult::kMerged) return;
  ForgetGone(registry_, now);
  if (registry_.last_change == changed_before) return;
  take_change_();
  if (before != 0) messenger_.SendFacts(before);
}

void PlatformWatch::NoteStatus(const absl::Status& status) {
  if (status.ok()) NoteConfirmed(messenger_.state(), Now());
  messenger_.SetWatching(status.ok() && ShouldWatch(messenger_.state(), Now()));
  if (status.ok()) {
    backoff_ = kBackoffFirst;
    if (verdict_ != kAnswers) LogInfo("platform_answers", {});
    verdict_ = kAnswers;
    return;
  }
  backoff_ = std::clamp(2 * backoff_, kBackoffFirst, kBackoffMax);
  if (verdict_ == status.message()) return;
  verdict_ = std::string(status.message());
  LogWarning("platform_lost",
             {{"message", verdict_},
              {"action",
               "Check that the platform's store answers this VM; "
               "other VMs keep it informed meanwhile."}});
}

}  // namespace knapweedlift
