#include "drivers/fiber_sanitizer.h"

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>

#include <boost/fiber/properties.hpp>
#elif defined(__SANITIZE_ADDRESS__)
#include <pthread.h>
#include <sanitizer/asan_interface.h>
#include <sanitizer/common_interface_defs.h>
#endif

namespace knapweedlift {

#if defined(__SANITIZE_THREAD__)

namespace {

// ThreadSanitizer's state of a fiber, which ends with the fiber's context.
class TrackedFiber : public boost::fibers::fiber_properties {
 public:
  // `thread_state` is that of the thread's first context.
  TrackedFiber(boost::fibers::context* context, void* state, void* thread_state)
      : fiber_properties(context), state_(state), thread_state_(thread_state) {}
  ~TrackedFiber() override {
    if (state_ == thread_state_) return;
    // At the end of a thread Boost.Fiber returns to the first context without a
    // call of the event loop.
    if (__tsan_get_current_fiber() == state_) {
      __tsan_switch_to_fiber(thread_state_, 0);
    }
    __tsan_destroy_fiber(state_);
  }
  TrackedFiber(const TrackedFiber&) = delete;
  TrackedFiber& operator=(const TrackedFiber&) = delete;

  void* state() const { return state_; }

 private:
  void* state_;
  void* thread_state_;
};

}  // namespace

void FiberSanitizer::AnnounceSwitch(boost::fibers::context& next) {
  // Boost.Fiber deletes the properties together with the context.
  boost::fibers::context* current = boost::fibers::context::active();
  if (thread_state_ == nullptr) {
    thread_state_ = __tsan_get_current_fiber();
    current->set_properties(
        new TrackedFiber(current, thread_state_, thread_state_));
  }
  if (next.get_properties() == nullptr) {
    next.set_properties(
        new TrackedFiber(&next, __tsan_create_fiber(0), thread_state_));
  }
  __tsan_switch_to_fiber(
      static_cast<TrackedFiber*>(next.get_properties())->state(), 0);
}

#elif defined(__SANITIZE_ADDRESS__)

namespace {

struct Stack {
  void* bottom = nullptr;
  size_t size = 0;
};

Stack ThreadStack() {
  Stack stack;
  pthread_attr_t attributes;
  if (pthread_getattr_np(pthread_self(), &attributes) != 0) return stack;
  pthread_attr_getstack(&attributes, &stack.bottom, &stack.size);
  pthread_attr_destroy(&attributes);
  return stack;
}

// A fiber's context is at the top of its stack, which is a block of the heap.
Stack StackOf(const boost::fibers::context& context) {
  if (context.is_context(boost::fibers::type::main_context)) {
    return ThreadStack();
  }
  Stack stack;
  char name = 0;
  __asan_locate_address(const_cast<boost::fibers::context*>(&context), &name,
                        sizeof(name), &stack.bottom, &stack.size);
  return stack;
}

}  // namespace

// The end of a switch is reported at the next one. AddressSanitizer allows for
// that: during a switch it accepts both stacks.
void FiberSanitizer::AnnounceSwitch(boost::fibers::context& next) {
  if (switching_) {
    __sanitizer_finish_switch_fiber(nullptr, nullptr, nullptr);
  }
  const Stack stack = StackOf(next);
  switching_ = stack.bottom != nullptr;
  if (!switching_) return;
  void* fake_stack = nullptr;
  __sanitizer_start_switch_fiber(&fake_stack, stack.bottom, stack.size);
}

#endif

}  // namespace knapweedlift
