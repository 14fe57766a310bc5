#ifndef KNAPWEEDLIFT_DRIVERS_PEER_TRANSPORT_H_
#define KNAPWEEDLIFT_DRIVERS_PEER_TRANSPORT_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "drivers/reactor.h"

namespace knapweedlift {

// Transports encoded messages between VMs: small messages over UDP, each large
// message over a TCP connection of its own. Messages may be lost, duplicated or
// reordered.
class PeerTransport {
 public:
  // Binds UDP and TCP sockets to the same endpoint. Fails with kSocket.
  static absl::StatusOr<std::unique_ptr<PeerTransport>> Open(
      Reactor& reactor, const Endpoint& endpoint);

  // The endpoint to which the sockets are bound.
  Endpoint endpoint() const { return LocalEndpoint(udp_); }

  using MessageHandler = std::function<void(const std::string& bytes)>;

  // Receive messages in the calling fiber until the reactor is stopped.
  void ReceiveDatagrams(const MessageHandler& handler);
  void ReceiveStreams(const MessageHandler& handler);

  // Sends without blocking the caller; large messages are sent by a new fiber.
  // Errors count as loss and are not reported.
  void Send(const Endpoint& to, std::shared_ptr<const std::string> bytes);

  // Number of large messages that are being sent.
  size_t open_streams() const { return open_streams_; }

  // Sets the function that is called after each large message, sent or lost.
  void OnStreamEnd(std::function<void()> handler) {
    handle_stream_end_ = std::move(handler);
  }

 private:
  PeerTransport(Reactor& reactor, FileDescriptor udp, FileDescriptor tcp)
      : reactor_(reactor), udp_(std::move(udp)), tcp_(std::move(tcp)) {}

  void SendStream(const Endpoint& to, const std::string& bytes);

  Reactor& reactor_;
  FileDescriptor udp_;
  FileDescriptor tcp_;
  size_t open_streams_ = 0;
  std::function<void()> handle_stream_end_ = [] {};
};

// Messages up to this size are sent as datagrams. They fit the MTU of all
// common networks without fragmentation.
inline constexpr size_t kMaxDatagramMessageBytes = 1'200;
// Larger messages are discarded by the receiver.
inline constexpr size_t kMaxStreamMessageBytes = 64 << 20;

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_DRIVERS_PEER_TRANSPORT_H_
