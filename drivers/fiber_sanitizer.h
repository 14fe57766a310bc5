#ifndef KNAPWEEDLIFT_DRIVERS_FIBER_SANITIZER_H_
#define KNAPWEEDLIFT_DRIVERS_FIBER_SANITIZER_H_

#include <boost/fiber/context.hpp>

namespace knapweedlift {

// Tells AddressSanitizer and ThreadSanitizer which fiber of a thread runs,
// since the packaged Boost.Fiber does not. Does nothing in other builds.
class FiberSanitizer {
 public:
  // Must be called right before the thread switches to `next`.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
  void AnnounceSwitch(boost::fibers::context& next);
#else
  void AnnounceSwitch(boost::fibers::context& /*next*/) {}
#endif

 private:
  // AddressSanitizer: a switch was announced, and its end was not.
  [[maybe_unused]] bool switching_ = false;
  // ThreadSanitizer: its state of the thread's first context.
  [[maybe_unused]] void* thread_state_ = nullptr;
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_DRIVERS_FIBER_SANITIZER_H_
