#ifndef KNAPWEEDLIFT_DRIVERS_REACTOR_H_
#define KNAPWEEDLIFT_DRIVERS_REACTOR_H_

#include <cstdint>
#include <functional>

#include "core/time.h"
#include "drivers/socket.h"

namespace knapweedlift {

// Lets the fibers of a thread wait for sockets. The thread itself sleeps in
// epoll_wait while no fiber can run; no other thread is needed. Only the thread
// whose fibers wait may use a reactor.
class Reactor {
 public:
  Reactor() = default;
  ~Reactor() { Stop(); }
  Reactor(const Reactor&) = delete;
  Reactor& operator=(const Reactor&) = delete;

  // Suspends the calling fiber until the socket is ready. Returns false when
  // the deadline passed first or the reactor is stopping. At most one fiber
  // waits for a socket at a time.
  bool WaitReadable(int fd, TimePoint deadline);
  bool WaitWritable(int fd, TimePoint deadline);

  // Ends all waits, now and in future.
  void Stop();

  // Stops soon after `should_stop` returns true, which a fiber of its own asks.
  void StopWhen(std::function<bool()> should_stop);

  bool stopped() const { return stopping_; }

 private:
  bool Wait(int fd, uint32_t events, TimePoint deadline);

  bool stopping_ = false;
};

// A deadline that never passes.
inline constexpr TimePoint kNoDeadline = TimePoint::max();

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_DRIVERS_REACTOR_H_
