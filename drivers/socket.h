#ifndef KNAPWEEDLIFT_DRIVERS_SOCKET_H_
#define KNAPWEEDLIFT_DRIVERS_SOCKET_H_

#include <netinet/in.h>
#include <sys/socket.h>

#include "absl/status/statusor.h"
#include "core/sheet/sheet.h"

namespace knapweedlift {

// Owns a file descriptor and closes it on destruction.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int fd) : fd_(fd) {}
  ~FileDescriptor();
  FileDescriptor(FileDescriptor&& other) noexcept;
  FileDescriptor& operator=(FileDescriptor&& other) noexcept;
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;

  int value() const { return fd_; }
  bool valid() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

// A socket address and its length in bytes, as system calls take them.
struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t size = 0;
};

SocketAddress ToSocketAddress(const Endpoint& endpoint);
Endpoint FromSocketAddress(const sockaddr_storage& storage);

struct SocketOptions {
  // Sets SO_REUSEPORT: the kernel distributes datagrams among all sockets that
  // are bound to the port.
  bool reuse_port = false;
  bool nonblocking = false;
};

// Receive time-out of blocking sockets. It bounds the time until a receiving
// thread notices a stop request.
inline constexpr int kReceiveTimeoutMs = 100;

// Binds a UDP socket. With port 0 the kernel chooses the port. Fails with
// kSocket.
absl::StatusOr<FileDescriptor> BindUdp(const Endpoint& endpoint,
                                       const SocketOptions& options);

// Listens on a non-blocking TCP socket. With port 0 the kernel chooses the
// port. Fails with kSocket.
absl::StatusOr<FileDescriptor> ListenTcp(const Endpoint& endpoint);

// The endpoint to which the socket is bound.
Endpoint LocalEndpoint(const FileDescriptor& socket);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_DRIVERS_SOCKET_H_
