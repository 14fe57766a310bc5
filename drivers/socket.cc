#include "drivers/socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "absl/strings/str_cat.h"
#include "core/result_code.h"

namespace knapweedlift {
namespace {

constexpr size_t kMappedV4Offset = 12;
constexpr size_t kV4Size = 4;
constexpr int kListenBacklog = 128;
// Holds bursts of several thousand packets.
constexpr int kUdpBufferBytes = 4 << 20;

absl::Status SocketError(const char* action, const Endpoint& endpoint) {
  return MakeStatus(
      ResultCode::kSocket,
      absl::StrCat("cannot ", action, " ", FormatEndpoint(endpoint), ": ",
                   std::strerror(errno)));
}

void SetNonblocking(int fd) {
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL, 0) | O_NONBLOCK);
}

absl::StatusOr<FileDescriptor> OpenAndBind(const Endpoint& endpoint, int type,
                                           const SocketOptions& options) {
  const int family = IsV4(endpoint.address) ? AF_INET : AF_INET6;
  FileDescriptor socket_fd(socket(family, type | SOCK_CLOEXEC, 0));
  if (!socket_fd.valid()) return SocketError("open a socket for", endpoint);
  const int enabled = 1;
  if (type == SOCK_STREAM) {
    setsockopt(socket_fd.value(), SOL_SOCKET, SO_REUSEADDR, &enabled,
               sizeof(enabled));
  }
  if (options.reuse_port) {
    setsockopt(socket_fd.value(), SOL_SOCKET, SO_REUSEPORT, &enabled,
               sizeof(enabled));
  }
  const SocketAddress address = ToSocketAddress(endpoint);
  const auto* socket_address =
      reinterpret_cast<const sockaddr*>(&address.storage);
  if (bind(socket_fd.value(), socket_address, address.size) != 0) {
    return SocketError("bind", endpoint);
  }
  if (options.nonblocking) SetNonblocking(socket_fd.value());
  return socket_fd;
}

}  // namespace

FileDescriptor::~FileDescriptor() {
  if (fd_ >= 0) close(fd_);
}

FileDescriptor::FileDescriptor(FileDescriptor&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)) {}

FileDescriptor& FileDescriptor::operator=(FileDescriptor&& other) noexcept {
  if (this == &other) return *this;
  if (fd_ >= 0) close(fd_);
  fd_ = std::exchange(other.fd_, -1);
  return *this;
}

SocketAddress ToSocketAddress(const Endpoint& endpoint) {
  SocketAddress address;
  if (IsV4(endpoint.address)) {
    auto* v4 = reinterpret_cast<sockaddr_in*>(&address.storage);
    v4->sin_family = AF_INET;
    v4->sin_port = htons(endpoint.port);
    std::copy_n(endpoint.address.bytes.begin() + kMappedV4Offset, kV4Size,
                reinterpret_cast<uint8_t*>(&v4->sin_addr));
    address.size = sizeof(sockaddr_in);
    return address;
  }
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
  v6->sin6_family = AF_INET6;
  v6->sin6_port = htons(endpoint.port);
  std::copy(endpoint.address.bytes.begin(), endpoint.address.bytes.end(),
            reinterpret_cast<uint8_t*>(&v6->sin6_addr));
  address.size = sizeof(sockaddr_in6);
  return address;
}

Endpoint FromSocketAddress(const sockaddr_storage& storage) {
  if (storage.ss_family == AF_INET) {
    const auto& v4 = reinterpret_cast<const sockaddr_in&>(storage);
    return {.address =
                IpAddressFromV4(reinterpret_cast<const uint8_t*>(&v4.sin_addr)),
            .port = ntohs(v4.sin_port)};
  }
  const auto& v6 = reinterpret_cast<const sockaddr_in6&>(storage);
  return {.address =
              IpAddressFromV6(reinterpret_cast<const uint8_t*>(&v6.sin6_addr)),
          .port = ntohs(v6.sin6_port)};
}

absl::StatusOr<FileDescriptor> BindUdp(const Endpoint& endpoint,
                                       const SocketOptions& options) {
  auto socket_fd = OpenAndBind(endpoint, SOCK_DGRAM, options);
  if (!socket_fd.ok()) return socket_fd.status();
  const int size = kUdpBufferBytes;
  setsockopt(socket_fd->value(), SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
  setsockopt(socket_fd->value(), SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
  constexpr int64_t kMicrosecondsPerMillisecond = 1'000;
  const timeval timeout{
      .tv_sec = 0, .tv_usec = kReceiveTimeoutMs * kMicrosecondsPerMillisecond};
  setsockopt(socket_fd->value(), SOL_SOCKET, SO_RCVTIMEO, &timeout,
             sizeof(timeout));
  return socket_fd;
}

absl::StatusOr<FileDescriptor> ListenTcp(const Endpoint& endpoint) {
  auto socket_fd = OpenAndBind(endpoint, SOCK_STREAM, {.nonblocking = true});
  if (!socket_fd.ok()) return socket_fd.status();
  if (listen(socket_fd->value(), kListenBacklog) != 0) {
    return SocketError("listen on", endpoint);
  }
  return socket_fd;
}

Endpoint LocalEndpoint(const FileDescriptor& socket) {
  sockaddr_storage storage{};
  socklen_t size = sizeof(storage);
  getsockname(socket.value(), reinterpret_cast<sockaddr*>(&storage), &size);
  return FromSocketAddress(storage);
}

}  // namespace knapweedlift
