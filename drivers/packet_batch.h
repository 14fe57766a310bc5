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
// Room for a header that is written before a payload.
inline constexpr size_t kMaxHeaderBytes = 32;

// Receives datagrams in batches with one system call each.
class ReceiveBatch {
 public:
  // `max_bytes` is the room for one datagram; longer ones are cut off.
  explicit ReceiveBatch(size_t max_bytes);

  // Waits for datagrams, up to the socket's receive timeout. Returns how many
  // were received.
  size_t Receive(const FileDescriptor& socket);

  // Waits up to `timeout_ms` instead.
  size_t ReceiveWithTimeout(const FileDescriptor& socket, int timeout_ms);

  // Bytes of the i-th datagram; valid until the next call of Receive.
  std::span<uint8_t> datagram(size_t index);

 private:
  size_t max_bytes_;
  // Not initialized: pages that no datagram reaches cost no memory.
  std::unique_ptr<uint8_t[]> buffer_;
  std::array<iovec, kBatchSize> iovecs_{};
  std::array<mmsghdr, kBatchSize> messages_{};
};

// Collects datagrams and sends them with one system call. Payloads are not
// copied and must stay valid until Flush.
class SendBatch {
 public:
  SendBatch();

  // A buffer of kMaxHeaderBytes for the header of the next datagram.
  std::span<uint8_t> NextHeader();

  // Adds a datagram of the first `header_size` bytes of NextHeader() and
  // `payload`. At most kBatchSize datagrams fit between two flushes.
  void Add(const SocketAddress& to, size_t header_size,
           std::span<const uint8_t> payload);

  // Sends what was added. Returns how many datagrams the kernel refused.
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
