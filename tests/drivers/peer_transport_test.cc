#include "drivers/peer_transport.h"

#include <vector>

#include "tests/support/properties.h"

using namespace knapweedlift;

// The load: many loopback connections occupy TCP ports that the kernel may
// choose for UDP.
Test(peer_transport, opens_while_other_sockets_occupy_tcp_ports) {
  constexpr size_t kOccupiedPorts = 3'000;
  constexpr size_t kTransports = 200;
  const Endpoint loopback{.address = *ParseIpAddress("127.0.0.1")};
  std::vector<FileDescriptor> occupied;
  for (size_t i = 0; i < kOccupiedPorts; ++i) {
    auto listener = ListenTcp(loopback);
    cr_assert(listener.ok());
    occupied.push_back(*std::move(listener));
  }
  Reactor reactor;
  for (size_t i = 0; i < kTransports; ++i) {
    cr_expect(PeerTransport::Open(reactor, loopback).ok());
  }
}
