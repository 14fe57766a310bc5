#ifndef KNAPWEEDLIFT_DRIVERS_REACTOR_H_
#define KNAPWEEDLIFT_DRIVERS_REACTOR_H_

#include <cstdint>
#include <functional>

#include "core/time.h"
#include "drivers/socket.h"

namespace knapweedlift {

// Lets the fibers of a thread wait for sockets. While no fiber can run, the
// thread blocks in epoll_wait; no helper thread is needed. A reactor may only
// be used by the thread whose fibers wait on it.
class Reactor {
 public:
  Reactor() = default;
  ~Reactor() { Stop(); }
  Reactor(const Reactor&) = delete;
  Reactor& operator=(const Reactor&) = delete;

  // Suspends the calling fiber until the socket is ready. Returns false if the
  // deadline passes first or the reactor is stopped. At most one fiber may wait
  // for a socket at a time.
  bool WaitReadable(int fd, TimePoint deadline);
  bool WaitWritable(int fd, TimePoint deadline);

  // Ends all pending waits. Later waits return false at once.
  void Stop();

  // Starts a fiber that polls `should_stop` and stops the reactor once it
  // returns true.
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
