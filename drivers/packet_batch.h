#ifndef KNAPWEEDLIFT_DRIVERS_PACKET_BATCH_H_
#define KNAPWEEDLIFT_DRIVERS_PACKET_BATCH_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>

#include "drivers/socket.h"

namespace knapweedlift {

inline constexpr size_t kBatchSize = 64;
// Maximum size of the header that is sent in front of a payload.
inline constexpr size_t kMaxHeaderBytes = 32;

// Receives up to kBatchSize datagrams with one system call.
class ReceiveBatch {
 public:
  // `max_bytes` is the buffer size for one datagram; longer ones are truncated.
  explicit ReceiveBatch(size_t max_bytes);

  // Waits for datagrams for at most the socket's receive time-out. Returns the
  // number of datagrams received.
  size_t Receive(const FileDescriptor& socket);

  // As Receive, but waits for at most `timeout_ms` milliseconds.
  size_t ReceiveWithTimeout(const FileDescriptor& socket, int timeout_ms);

  // Contents of a received datagram; valid until the next receive call.
  std::span<uint8_t> datagram(size_t index);

 private:
  size_t max_bytes_;
  // Left uninitialized, so that pages no datagram is written to are not
  // allocated.
  std::unique_ptr<uint8_t[]> buffer_;
  std::array<iovec, kBatchSize> iovecs_{};
  std::array<mmsghdr, kBatchSize> messages_{};
};

// Queues datagrams and sends them in a batch. Payloads are not copied and must
// stay valid until Flush.
class SendBatch {
 public:
  SendBatch();

  // Buffer of kMaxHeaderBytes bytes for the header of the next datagram.
  std::span<uint8_t> NextHeader();

  // Queues a datagram that consists of the first `header_size` bytes of
  // NextHeader() and `payload`. The caller flushes after at most kBatchSize
  // datagrams.
  void Add(const SocketAddress& to, size_t header_size,
           std::span<const uint8_t> payload);

  // Sends all queued datagrams. Returns the number that the kernel rejected.
  size_t Flush(const FileDescriptor& socket);

  size_t size() const { return size_; }

 private:
  size_t size_ = 0;
  std::array<std::array<uint8_t, kMaxHeaderBytes>, kBatchSize> headers_{};
  std::array<SocketAddress, kBatchSize> addresses_{};
  std::array<std::array<iovec, 2>, kBatchSize> iovecs_{};
  std::array<mmsghdr, kBatchSize> messages_{};
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_DRIVERS_PACKET_BATCH_H_
