#ifndef KNAPWEEDLIFT_DRIVERS_EVENT_LOOP_H_
#define KNAPWEEDLIFT_DRIVERS_EVENT_LOOP_H_

#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/scheduler.hpp>
#include <chrono>
#include <cstdint>
#include <map>

#include "core/time.h"
#include "drivers/fiber_sanitizer.h"
#include "drivers/socket.h"

namespace knapweedlift {

// Fiber scheduler of one thread. Runs ready fibers in FIFO order. While no
// fiber is ready, the thread blocks in a single epoll_wait for sockets and
// timers.
class EventLoop : public boost::fibers::algo::algorithm {
 public:
  // Returns the calling thread's event loop. The first call on a thread creates
  // it and installs it as the thread's scheduler.
  static EventLoop& ForCurrentThread();

  EventLoop();

  // State of one fiber's wait for one socket, allocated on the fiber's stack.
  struct Waiter {
    const void* owner = nullptr;
    bool completed = false;
    bool ready = false;
    boost::fibers::condition_variable_any completion;
  };

  // Suspends the calling fiber until the socket has one of the epoll `events`.
  // Returns false if the deadline passes or Cancel is called for `owner` first.
  bool Wait(int fd, uint32_t events, TimePoint deadline, const void* owner);

  // Completes all pending waits of `owner` with the result false.
  void Cancel(const void* owner);

  // Interface of boost::fibers::algo::algorithm.
  void awakened(boost::fibers::context* context) noexcept override;
  boost::fibers::context* pick_next() noexcept override;
  bool has_ready_fibers() const noexcept override;
  void suspend_until(
      const std::chrono::steady_clock::time_point& deadline) noexcept override;
  void notify() noexcept override;

 private:
  void CompleteWait(Waiter& waiter, bool ready);

  FileDescriptor epoll_;
  FileDescriptor wake_event_;
  boost::fibers::scheduler::ready_queue_type ready_;
  uint64_t next_id_ = 1;
  std::map<uint64_t, Waiter*> waiters_;
  FiberSanitizer sanitizer_;
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_DRIVERS_EVENT_LOOP_H_
