#ifndef KNAPWEEDLIFT_SERVERS_MARKS_PLATFORM_WATCHER_H_
#define KNAPWEEDLIFT_SERVERS_MARKS_PLATFORM_WATCHER_H_

#include <functional>
#include <string>

#include "core/registry/fact_source.h"
#include "core/registry/registry.h"
#include "core/registry/removal_hold.h"
#include "servers/histogram.h"
#include "servers/marks/fleet_messenger.h"

namespace knapweedlift {

// Reads servers and configuration from the platform at start-up, and watches
// them for changes while this VM holds the watch. Used by the control thread
// only.
class PlatformWatcher {
 public:
  // Called after the registry has changed.
  using ChangeCallback = std::function<void()>;

  // The references must outlive the watcher, except `times`, which is copied.
  PlatformWatcher(FactSource& source, FleetMessenger& messenger,
                  Registry& registry, const EntryTiming& times,
                  ChangeCallback on_change);

  // Reads and watches the platform in the calling fiber, until this VM no
  // longer has to or Stop is called.
  void Run();

  // True if Run is to be started: it is not active, and this VM has to watch
  // the platform or to fetch changes that it missed.
  bool ShouldRun(TimePoint now) const;

  void Stop() { stopping_ = true; }

  // True while Run is not active.
  bool idle() const { return !running_; }

  // Outcome of the last call: "answers", or the message of its error. "not
  // asked" before the first call.
  const std::string& platform_status() const { return platform_status_; }
  // Calls to the platform since the start.
  uint64_t call_count() const { return call_count_; }
  // Duration in milliseconds of the calls that ask for no waiting.
  const LogHistogram& call_ms() const { return call_ms_; }

 private:
  // Gets the first facts from the platform or from a peer. Returns true if this
  // VM read them and has to go on watching.
  bool ReadFirstFacts();
  // Returns once a peer has sent the first facts or the platform is to be read.
  void WaitForFirstFacts();
  // Polls the platform until this VM no longer has to.
  void Watch();
  absl::Status Poll();
  absl::StatusOr<SourceUpdate> FetchChanges();
  void ApplyChanges(const SourceUpdate& changes);
  // The store has returned from an older copy since the last snapshot.
  bool IsNewEra(const SourceUpdate& changes) const;
  // The changes are to replace facts that may be wrong.
  bool IsRepair(const SourceUpdate& changes) const;
  // Warns of a configuration that the store's older copy shows again.
  void LogOlderConfig(const ConfigChange& change) const;
  // Merges the changes of a source, or repairs the registry by its snapshot.
  // Returns true if the facts changed.
  bool MergeChanges(const FactDelta& delta, bool is_repair, TimePoint now);
  void UpdateStatus(const absl::Status& status);

  FactSource& source_;
  FleetMessenger& messenger_;
  Registry& registry_;
  ChangeCallback on_change_;
  RemovalHold removal_hold_;
  bool running_ = false;
  bool stopping_ = false;
  // The last complete read stopped before its last page.
  bool read_is_partial_ = false;
  Duration backoff_{0};
  TimePoint next_catch_up_at_;
  std::string platform_status_ = "not asked";
  uint64_t call_count_ = 0;
  LogHistogram call_ms_{{.min = 1, .max = 1e5, .bins = 20}};
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_SERVERS_MARKS_PLATFORM_WATCHER_H_
