#include "drivers/reactor.h"

#include <sys/epoll.h>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <utility>

#include "drivers/event_loop.h"

namespace knapweedlift {
namespace {

constexpr Duration kStopPollInterval{20};

}  // namespace

bool Reactor::WaitReadable(int fd, TimePoint deadline) {
  return Wait(fd, EPOLLIN, deadline);
}

bool Reactor::WaitWritable(int fd, TimePoint deadline) {
  return Wait(fd, EPOLLOUT, deadline);
}

void Reactor::Stop() {
  if (stopping_) return;
  stopping_ = true;
  EventLoop::ForCurrentThread().Cancel(this);
}

void Reactor::StopWhen(std::function<bool()> should_stop) {
  boost::fibers::fiber([this, should_stop = std::move(should_stop)] {
    while (!should_stop()) boost::this_fiber::sleep_for(kStopPollInterval);
    Stop();
  }).detach();
}

bool Reactor::Wait(int fd, uint32_t events, TimePoint deadline) {
  if (stopping_) return false;
  return EventLoop::ForCurrentThread().Wait(fd, events, deadline, this);
}

}  // namespace knapweedlift
