#include "drivers/reactor.h"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <thread>

#include "drivers/clock.h"
#include "drivers/fiber_stream.h"
#include "tests/support/properties.h"

using namespace knapweedlift;
using boost::fibers::fiber;

namespace {

Endpoint Loopback() { return {.address = *ParseIpAddress("127.0.0.1")}; }

constexpr Duration kLongTimeout{30'000};

}  // namespace

Test(reactor, wait_ends_at_deadline) {
  const FileDescriptor idle = *BindUdp(Loopback(), {});
  Reactor reactor;
  const TimePoint started_at = Now();
  cr_expect(not reactor.WaitReadable(idle.value(), started_at + Duration(30)));
  cr_expect(Now() - started_at >= Duration(30));
}

Test(reactor, wait_ends_when_socket_is_ready) {
  const FileDescriptor receiver = *BindUdp(Loopback(), {});
  const FileDescriptor sender = *BindUdp(Loopback(), {});
  const SocketAddress to = ToSocketAddress(LocalEndpoint(receiver));
  Reactor reactor;
  bool ready = false;
  fiber waiting([&] {
    ready = reactor.WaitReadable(receiver.value(), Now() + kLongTimeout);
  });
  fiber sending([&] {
    sendto(sender.value(), "x", 1, 0,
           reinterpret_cast<const sockaddr*>(&to.storage), to.size);
  });
  waiting.join();
  sending.join();
  cr_expect(ready);
}

Test(reactor, fibers_sleep_while_other_fibers_wait) {
  const FileDescriptor idle = *BindUdp(Loopback(), {});
  Reactor reactor;
  std::vector<int> order;
  fiber first([&] {
    reactor.WaitReadable(idle.value(), Now() + Duration(60));
    order.push_back(2);
  });
  fiber second([&] {
    boost::this_fiber::sleep_for(Duration(20));
    order.push_back(1);
  });
  first.join();
  second.join();
  cr_expect(order == std::vector<int>({1, 2}));
}

Test(reactor, stop_ends_current_and_future_waits) {
  const FileDescriptor one = *BindUdp(Loopback(), {});
  const FileDescriptor two = *BindUdp(Loopback(), {});
  Reactor reactor;
  Reactor other;
  int ended = 0;
  fiber first(
      [&] { ended += !reactor.WaitReadable(one.value(), kNoDeadline); });
  bool other_wait_ended = false;
  fiber second([&] {
    other_wait_ended = !other.WaitReadable(two.value(), Now() + Duration(50));
  });
  fiber stopping([&] { reactor.Stop(); });
  first.join();
  cr_expect(ended == 1);
  cr_expect(not other_wait_ended, "waits of another reactor continue");
  cr_expect(not reactor.WaitReadable(one.value(), kNoDeadline));
  second.join();
  stopping.join();
}

Test(reactor, late_thread_still_reports_ready_socket) {
  const FileDescriptor receiver = *BindUdp(Loopback(), {});
  const FileDescriptor sender = *BindUdp(Loopback(), {});
  const SocketAddress to = ToSocketAddress(LocalEndpoint(receiver));
  Reactor reactor;
  bool ready = false;
  fiber waiting([&] {
    ready = reactor.WaitReadable(receiver.value(), Now() + Duration(20));
  });
  fiber busy([&] {
    boost::this_fiber::yield();
    sendto(sender.value(), "x", 1, 0,
           reinterpret_cast<const sockaddr*>(&to.storage), to.size);
    // Blocks the thread, so that its scheduler runs only after the deadline.
    std::this_thread::sleep_for(Duration(60));
  });
  waiting.join();
  busy.join();
  cr_expect(ready);
}

Test(reactor, probe_reports_whether_connection_is_accepted) {
  const FileDescriptor listener = *ListenTcp(Loopback());
  const Endpoint listening = LocalEndpoint(listener);
  Endpoint closed_endpoint;
  {
    const FileDescriptor closed = *ListenTcp(Loopback());
    closed_endpoint = LocalEndpoint(closed);
  }
  Reactor reactor;
  cr_expect(ProbeConnection(reactor, listening, Now() + kLongTimeout) ==
            ConnectResult::kConnected);
  cr_expect(ProbeConnection(reactor, closed_endpoint, Now() + kLongTimeout) ==
            ConnectResult::kRefused);
}
