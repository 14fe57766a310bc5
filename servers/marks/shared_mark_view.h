#ifndef KNAPWEEDLIFT_SERVERS_MARKS_SHARED_MARK_VIEW_H_
#define KNAPWEEDLIFT_SERVERS_MARKS_SHARED_MARK_VIEW_H_

#include <atomic>
#include <cstdint>

#include "absl/synchronization/mutex.h"
#include "core/placement/mark_view.h"

namespace knapweedlift {

// Gives the packet path the newest view. The control part writes it.
class SharedMarkView {
 public:
  void Publish(MarkViewPtr view);

  // Notes when the view was last known to be the newest there is.
  void SetConfirmedAt(TimePoint now);

  // Ends WaitForFirst.
  void CancelWait();

  // The newest view, or null where there is none yet.
  MarkViewPtr view();

  // Waits for the first view; null where CancelWait was called instead.
  MarkViewPtr WaitForFirst();

  TimePoint confirmed_at() const;

  // Grows with every Publish.
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
