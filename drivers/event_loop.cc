#include "drivers/event_loop.h"

#include <poll.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/fiber/operations.hpp>
#include <limits>

#include "drivers/clock.h"

namespace knapweedlift {
namespace {

// Identifies the eventfd by which another thread interrupts epoll_wait.
constexpr uint64_t kWakeEventId = 0;
constexpr size_t kMaxEventsPerWait = 32;
// Longer waits are split so that the time-out in milliseconds fits an int.
constexpr int64_t kMaxWaitMs = 3'600'000;

// Satisfies the lock parameter of condition variables. Fibers of one thread
// never run concurrently, so no mutual exclusion is needed.
struct NoLock {
  void lock() {}    // NOLINT(readability-convert-member-functions-to-static)
  void unlock() {}  // NOLINT(readability-convert-member-functions-to-static)
};

// Milliseconds until the deadline, rounded up; -1 if there is no deadline.
int WaitMilliseconds(const std::chrono::steady_clock::time_point& deadline) {
  using std::chrono::steady_clock;
  if (deadline == steady_clock::time_point::max()) return -1;
  const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(
      deadline - steady_clock::now());
  return static_cast<int>(
      std::clamp<int64_t>(remaining.count(), 0, kMaxWaitMs));
}

// Checks once more after a time-out: if the thread was scheduled late, the
// socket may have become ready before the deadline. The values of poll and
// epoll events are the same.
bool PollSocket(int fd, uint32_t events) {
  pollfd poll_entry{.fd = fd, .events = static_cast<int16_t>(events)};
  return poll(&poll_entry, 1, 0) > 0;
}

}  // namespace

EventLoop& EventLoop::ForCurrentThread() {
  thread_local EventLoop* loop = nullptr;
  if (loop == nullptr) {
    auto algorithm = boost::intrusive_ptr<EventLoop>(new EventLoop());
    loop = algorithm.get();
    boost::fibers::context::active()->get_scheduler()->set_algo(
        boost::fibers::algo::algorithm::ptr_t(algorithm));
  }
  return *loop;
}

EventLoop::EventLoop()
    : epoll_(epoll_create1(EPOLL_CLOEXEC)),
      wake_event_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  epoll_event event{.events = EPOLLIN, .data = {.u64 = kWakeEventId}};
  epoll_ctl(epoll_.value(), EPOLL_CTL_ADD, wake_event_.value(), &event);
}

bool EventLoop::Wait(int fd, uint32_t events, TimePoint deadline,
                     const void* owner) {
  Waiter waiter{.owner = owner};
  const uint64_t id = next_id_++;
  waiters_[id] = &waiter;
  epoll_event event{.events = events | EPOLLONESHOT, .data = {.u64 = id}};
  if (epoll_ctl(epoll_.value(), EPOLL_CTL_MOD, fd, &event) != 0) {
    epoll_ctl(epoll_.value(), EPOLL_CTL_ADD, fd, &event);
  }
  NoLock lock;
  const auto completed = [&waiter] { return waiter.completed; };
  if (deadline == TimePoint::max()) {
    waiter.completion.wait(lock, completed);
  } else {
    const Duration remaining = std::max(Duration(0), deadline - Now());
    waiter.completion.wait_for(lock, remaining, completed);
  }
  waiters_.erase(id);
  if (!waiter.completed) return PollSocket(fd, events);
  return waiter.ready;
}

void EventLoop::Cancel(const void* owner) {
  for (auto& [id, waiter] : waiters_) {
    if (waiter->owner == owner) CompleteWait(*waiter, false);
  }
}

void EventLoop::CompleteWait(Waiter& waiter, bool ready) {
  if (waiter.completed) return;
  waiter.completed = true;
  waiter.ready = ready;
  waiter.completion.notify_one();
}

void EventLoop::awakened(boost::fibers::context* context) noexcept {
  context->ready_link(ready_);
}

boost::fibers::context* EventLoop::pick_next() noexcept {
  if (ready_.empty()) return nullptr;
  boost::fibers::context* next = &ready_.front();
  ready_.pop_front();
  sanitizer_.AnnounceSwitch(*next);
  return next;
}

bool EventLoop::has_ready_fibers() const noexcept { return !ready_.empty(); }

void EventLoop::suspend_until(
    const std::chrono::steady_clock::time_point& deadline) noexcept {
  std::array<epoll_event, kMaxEventsPerWait> events{};
  const int count = epoll_wait(epoll_.value(), events.data(), kMaxEventsPerWait,
                               WaitMilliseconds(deadline));
  for (int i = 0; i < count; ++i) {
    const uint64_t id = events[i].data.u64;
    if (id == kWakeEventId) {
      uint64_t wake_count = 0;
      [[maybe_unused]] const ssize_t size =
          read(wake_event_.value(), &wake_count, sizeof(wake_count));
      continue;
    }
    const auto found = waiters_.find(id);
    if (found != waiters_.end()) CompleteWait(*found->second, true);
  }
}

void EventLoop::notify() noexcept {
  const uint64_t one = 1;
  [[maybe_unused]] const ssize_t size =
      write(wake_event_.value(), &one, sizeof(one));
}

}  // namespace knapweedlift
