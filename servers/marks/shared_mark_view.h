#ifndef KNAPWEEDLIFT_SERVERS_MARKS_SHARED_MARK_VIEW_H_
#define KNAPWEEDLIFT_SERVERS_MARKS_SHARED_MARK_VIEW_H_

#include <atomic>
#include <cstdint>

#include "absl/synchronization/mutex.h"
#include "core/placement/mark_view.h"

namespace knapweedlift {

// Passes the newest view from the control plane to the packet path.
// Thread-safe.
class SharedMarkView {
 public:
  void Publish(MarkViewPtr view);

  // Sets when the registry was last confirmed to be current.
  void SetConfirmedAt(TimePoint now);

  // Makes WaitForFirst return without a view.
  void CancelWait();

  // The newest view, or null before the first Publish.
  MarkViewPtr view();

  // Blocks until the first view is published. Returns null if CancelWait was
  // called before.
  MarkViewPtr WaitForFirst();

  TimePoint confirmed_at() const;

  // Increases with every Publish.
  uint64_t version() const { return version_; }

 private:
  absl::Mutex mutex_;
  MarkViewPtr view_ ABSL_GUARDED_BY(mutex_);
  bool wait_cancelled_ ABSL_GUARDED_BY(mutex_) = false;
  std::atomic<uint64_t> version_{0};
  std::atomic<int64_t> confirmed_ms_{0};
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_SERVERS_MARKS_SHARED_MARK_VIEW_H_
