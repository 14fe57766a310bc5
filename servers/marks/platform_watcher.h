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

// Reads the facts at the start and follows the platform while that is this VM's
// duty. Used by the control thread alone.
class PlatformWatcher {
 public:
  // Called where the registry changed.
  using ChangeCallback = std::function<void()>;

  // The references must outlive the watch.
  PlatformWatcher(FactSource& source, FleetMessenger& messenger,
                  Registry& registry, const EntryTimes& times,
                  ChangeCallback on_change);

  // Follows the platform in the calling fiber while this VM must, or until
  // Stop.
  void Run();

  // True where Run is to be started: the duty is this VM's and nobody runs it.
  bool ShouldRun(TimePoint now) const;

  void Stop() { stopping_ = true; }

  // True where it does not run.
  bool idle() const { return !running_; }

  // What the platform last answered this VM.
  const std::string& platform_status() const { return platform_status_; }
  uint64_t call_count() const { return call_count_; }
  const LogHistogram& call_ms() const { return call_ms_; }

 private:
  absl::Status Poll();
  absl::StatusOr<SourceNews> FetchChanges();
  void ApplyChanges(const SourceNews& changes);
  void UpdateStatus(const absl::Status& status);

  FactSource& source_;
  FleetMessenger& messenger_;
  Registry& registry_;
  ChangeCallback on_change_;
  RemovalHold removal_hold_;
  bool running_ = false;
  bool stopping_ = false;
  Duration backoff_{0};
  TimePoint next_catch_up_at_;
  std::string platform_status_ = "not asked";
  uint64_t call_count_ = 0;
  LogHistogram call_ms_{{.min = 1, .max = 1e5, .bins = 20}};
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_SERVERS_MARKS_PLATFORM_WATCHER_H_
