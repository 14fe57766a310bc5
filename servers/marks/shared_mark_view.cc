#include "servers/marks/shared_mark_view.h"

#include <utility>

namespace knapweedlift {

void SharedMarkView::Publish(MarkViewPtr view) {
  absl::MutexLock lock(&mutex_);
  view_ = std::move(view);
  ++version_;
}

void SharedMarkView::SetConfirmedAt(TimePoint now) {
  confirmed_ms_ = now.time_since_epoch().count();
}

void SharedMarkView::CancelWait() {
  absl::MutexLock lock(&mutex_);
  wait_cancelled_ = true;
}

MarkViewPtr SharedMarkView::view() {
  absl::MutexLock lock(&mutex_);
  return view_;
}

MarkViewPtr SharedMarkView::WaitForFirst() {
  const auto ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return view_ != nullptr || wait_cancelled_;
  };
  absl::MutexLock lock(&mutex_);
  mutex_.Await(absl::Condition(&ready));
  return view_;
}

TimePoint SharedMarkView::confirmed_at() const {
  return TimePoint(Duration(confirmed_ms_.load(std::memory_order_relaxed)));
}

}  // namespace knapweedlift
