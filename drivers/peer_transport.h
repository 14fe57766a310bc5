#ifndef KNAPWEEDLIFT_DRIVERS_PEER_TRANSPORT_H_
#define KNAPWEEDLIFT_DRIVERS_PEER_TRANSPORT_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "drivers/reactor.h"

namespace knapweedlift {

// Carries encoded messages between VMs: small ones by UDP, large ones by a TCP
// connection each. Messages may be lost, doubled or reordered.
class PeerTransport {
 public:
  // Binds UDP and TCP to the same endpoint.
  static absl::StatusOr<std::unique_ptr<PeerTransport>> Open(
      Reactor& reactor, const Endpoint& endpoint);

  // Where it is bound.
  Endpoint endpoint() const { return LocalEndpoint(udp_); }

  using MessageHandler = std::function<void(const std::string& bytes)>;

  // Receive in the calling fiber until the reactor is stopped.
  void ReceiveDatagrams(const MessageHandler& handler);
  void ReceiveStreams(const MessageHandler& handler);

  // Sends without waiting; large messages go out from a fiber of their own.
  void Send(const Endpoint& to, const std::string& bytes);

 private:
  PeerTransport(Reactor& reactor, FileDescriptor udp, FileDescriptor tcp)
      : reactor_(reactor), udp_(std::move(udp)), tcp_(std::move(tcp)) {}

  void SendStream(const Endpoint& to, const std::string& bytes);

  Reactor& reactor_;
  FileDescriptor udp_;
  FileDescriptor tcp_;
};

// Messages up to this size fit a datagram that no common network fragments.
inline constexpr size_t kMaxDatagramMessageBytes = 1'200;
// Larger messages are refused.
inline constexpr size_t kMaxStreamMessageBytes = 64 << 20;

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_DRIVERS_PEER_TRANSPORT_H_
