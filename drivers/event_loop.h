#ifndef KNAPWEEDLIFT_DRIVERS_EVENT_LOOP_H_
#define KNAPWEEDLIFT_DRIVERS_EVENT_LOOP_H_

#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/scheduler.hpp>
#include <chrono>
#include <cstdint>
#include <map>

#include "core/time.h"
#include "drivers/socket.h"

namespace knapweedlift {

// A thread's fiber scheduler: runs ready fibers in the order in which they
// became ready, and waits for sockets and timers in one epoll_wait when there
// are none.
class EventLoop : public boost::fibers::algo::algorithm {
 public:
  // The calling thread's loop. The first call makes it the thread's scheduler.
  static EventLoop& ForCurrentThread();

  EventLoop();

  // One fiber's wait for one socket. Lives on the fiber's stack.
  struct Waiter {
    const void* owner = nullptr;
    bool completed = false;
    bool ready = false;
    boost::fibers::condition_variable_any completion;
  };

  // Suspends the calling fiber until the socket has one of the epoll `events`.
  // Returns false when the deadline passed, or the owner was cancelled, first.
  bool Wait(int fd, uint32_t events, TimePoint deadline, const void* owner);

  // Ends all waits that began with this owner.
  void Cancel(const void* owner);

  // Required by Boost.Fiber.
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
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_DRIVERS_EVENT_LOOP_H_
