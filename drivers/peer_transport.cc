#include "drivers/peer_transport.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

#include "core/packet/bytes.h"
#include "drivers/clock.h"
#include "drivers/fiber_stream.h"

namespace knapweedlift {
namespace {

constexpr Duration kStreamTimeout{5'000};
// A machine without power does not respond. Allows for the retransmit of a
// lost SYN after one second.
constexpr Duration kConnectTimeout{1'500};
constexpr size_t kLengthPrefixBytes = 4;
constexpr int kMaxPortAttempts = 16;

// Reads a length-prefixed message. Returns an empty string on errors and if the
// message is too long.
std::string ReadMessage(FiberStream& stream) {
  boost::system::error_code error;
  std::array<uint8_t, kLengthPrefixBytes> length{};
  boost::asio::read(stream, boost::asio::buffer(length), error);
  if (error) return {};
  const size_t size = ReadU32(length, 0);
  if (size > kMaxStreamMessageBytes) return {};
  std::string bytes(size, 0);
  boost::asio::read(stream, boost::asio::buffer(bytes), error);
  return error ? std::string{} : bytes;
}

}  // namespace

absl::StatusOr<std::unique_ptr<PeerTransport>> PeerTransport::Open(
    Reactor& reactor, const Endpoint& endpoint) {
  // The kernel may choose a UDP port whose TCP port is in use.
  const int attempts = endpoint.port == 0 ? kMaxPortAttempts : 1;
  absl::Status status;
  for (int i = 0; i < attempts; ++i) {
    auto udp = BindUdp(endpoint, {.nonblocking = true});
    if (!udp.ok()) return udp.status();
    auto tcp = ListenTcp(LocalEndpoint(*udp));
    if (tcp.ok()) {
      return std::unique_ptr<PeerTransport>(
          new PeerTransport(reactor, *std::move(udp), *std::move(tcp)));
    }
    status = tcp.status();
  }
  return status;
}

void PeerTransport::ReceiveDatagrams(const MessageHandler& handler) {
  std::string buffer(kMaxDatagramMessageBytes, 0);
  while (!reactor_.stopped()) {
    // Peers send no empty datagrams and none above kMaxDatagramMessageBytes.
    const ssize_t size = recv(udp_.value(), buffer.data(), buffer.size(),
                              MSG_DONTWAIT | MSG_TRUNC);
    if (size > 0) {
      handler(buffer.substr(0, static_cast<size_t>(size)));
      continue;
    }
    reactor_.WaitReadable(udp_.value(), kNoDeadline);
  }
}

void PeerTransport::ReceiveStreams(const MessageHandler& handler) {
  while (!reactor_.stopped()) {
    FileDescriptor accepted = AcceptConnection(reactor_, tcp_, kNoDeadline);
    if (!accepted.valid()) continue;
    boost::fibers::fiber([this, handler, fd = std::move(accepted)]() mutable {
      FiberStream stream(reactor_, std::move(fd), Now() + kStreamTimeout);
      const std::string bytes = ReadMessage(stream);
      if (!bytes.empty()) handler(bytes);
    }).detach();
  }
}

void PeerTransport::Send(const Endpoint& to,
                         std::shared_ptr<const std::string> bytes) {
  if (bytes->size() > kMaxDatagramMessageBytes) {
    ++open_streams_;
    boost::fibers::fiber([this, to, bytes = std::move(bytes)] {
      SendStream(to, *bytes);
      --open_streams_;
      handle_stream_end_();
    }).detach();
    return;
  }
  const SocketAddress address = ToSocketAddress(to);
  // A datagram for which the socket buffer has no room is lost.
  sendto(udp_.value(), bytes->data(), bytes->size(), MSG_DONTWAIT,
         reinterpret_cast<const sockaddr*>(&address.storage), address.size);
}

void PeerTransport::SendStream(const Endpoint& to, const std::string& bytes) {
  auto stream = FiberStream::Connect(reactor_, to, Now() + kConnectTimeout);
  if (!stream.ok()) return;
  stream->set_deadline(Now() + kStreamTimeout);
  std::array<uint8_t, kLengthPrefixBytes> length{};
  WriteU32(length, 0, static_cast<uint32_t>(bytes.size()));
  boost::system::error_code error;
  boost::asio::write(*stream, boost::asio::buffer(length), error);
  if (!error) boost::asio::write(*stream, boost::asio::buffer(bytes), error);
}

}  // namespace knapweedlift
