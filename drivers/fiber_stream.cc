#include "drivers/fiber_stream.h"

#include <netinet/tcp.h>

#include <boost/asio/error.hpp>
#include <cerrno>
#include <cstring>

#include "absl/strings/str_cat.h"
#include "core/result_code.h"

namespace knapweedlift {
namespace {

boost::system::error_code LastSystemError() {
  return {errno, boost::system::system_category()};
}

FileDescriptor OpenSocket(const Endpoint& to) {
  const int family = IsV4(to.address) ? AF_INET : AF_INET6;
  return FileDescriptor(
      socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

// Makes the kernel drop a connection whose peer has not responded for two
// seconds, including idle connections on which no data is sent.
void EnableKeepAlive(const FileDescriptor& fd) {
  constexpr int kEnabled = 1;
  constexpr int kIdleSeconds = 1;
  constexpr int kIntervalSeconds = 1;
  constexpr int kProbes = 1;
  constexpr unsigned kUserTimeoutMs = 2'000;
  const auto set_option = [&fd](int level, int name, const auto& value) {
    setsockopt(fd.value(), level, name, &value, sizeof(value));
  };
  set_option(SOL_SOCKET, SO_KEEPALIVE, kEnabled);
  set_option(IPPROTO_TCP, TCP_KEEPIDLE, kIdleSeconds);
  set_option(IPPROTO_TCP, TCP_KEEPINTVL, kIntervalSeconds);
  set_option(IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  set_option(IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
}

// Returns 0 on success, ETIMEDOUT at the deadline, or the error of connect.
int ConnectSocket(Reactor& reactor, const FileDescriptor& fd,
                  const Endpoint& to, TimePoint deadline) {
  const SocketAddress address = ToSocketAddress(to);
  const auto* socket_address =
      reinterpret_cast<const sockaddr*>(&address.storage);
  if (connect(fd.value(), socket_address, address.size) == 0) return 0;
  if (errno != EINPROGRESS) return errno;
  if (!reactor.WaitWritable(fd.value(), deadline)) return ETIMEDOUT;
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(fd.value(), SOL_SOCKET, SO_ERROR, &error, &size);
  return error;
}

}  // namespace

absl::StatusOr<FiberStream> FiberStream::Connect(Reactor& reactor,
                                                 const Endpoint& to,
                                                 TimePoint deadline) {
  FileDescriptor fd = OpenSocket(to);
  const int error = ConnectSocket(reactor, fd, to, deadline);
  if (error == 0) {
    EnableKeepAlive(fd);
    return FiberStream(reactor, std::move(fd), deadline);
  }
  return MakeStatus(ResultCode::kSocket,
                    absl::StrCat("cannot connect to ", FormatEndpoint(to), ": ",
                                 std::strerror(error)));
}

ConnectResult ProbeConnection(Reactor& reactor, const Endpoint& to,
                              TimePoint deadline) {
  const FileDescriptor fd = OpenSocket(to);
  const int error = ConnectSocket(reactor, fd, to, deadline);
  if (error == 0) return ConnectResult::kConnected;
  return error == ECONNREFUSED || error == ECONNRESET
             ? ConnectResult::kRefused
             : ConnectResult::kUnanswered;
}

size_t FiberStream::ReadBytes(void* data, size_t size,
                              boost::system::error_code& error) {
  while (true) {
    const ssize_t count = recv(socket_.value(), data, size, 0);
    if (count > 0) return static_cast<size_t>(count);
    if (count == 0) {
      error = boost::asio::error::eof;
      return 0;
    }
    if (errno != EAGAIN && errno != EINTR) {
      error = LastSystemError();
      return 0;
    }
    if (!reactor_->WaitReadable(socket_.value(), deadline_)) {
      error = boost::asio::error::timed_out;
      return 0;
    }
  }
}

size_t FiberStream::WriteBytes(const void* data, size_t size,
                               boost::system::error_code& error) {
  while (true) {
    const ssize_t count = send(socket_.value(), data, size, MSG_NOSIGNAL);
    if (count >= 0) return static_cast<size_t>(count);
    if (errno != EAGAIN && errno != EINTR) {
      error = LastSystemError();
      return 0;
    }
    if (!reactor_->WaitWritable(socket_.value(), deadline_)) {
      error = boost::asio::error::timed_out;
      return 0;
    }
  }
}

FileDescriptor AcceptConnection(Reactor& reactor,
                                const FileDescriptor& listener,
                                TimePoint deadline) {
  while (true) {
    FileDescriptor accepted(accept4(listener.value(), nullptr, nullptr,
                                    SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (accepted.valid()) return accepted;
    if (!reactor.WaitReadable(listener.value(), deadline)) return accepted;
  }
}

}  // namespace knapweedlift
