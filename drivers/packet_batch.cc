#include "drivers/packet_batch.h"

#include <poll.h>

namespace knapweedlift {

ReceiveBatch::ReceiveBatch(size_t max_bytes)
    : max_bytes_(max_bytes),
      buffer_(
          std::make_unique_for_overwrite<uint8_t[]>(kBatchSize * max_bytes)) {
  for (size_t i = 0; i < kBatchSize; ++i) {
    iovecs_[i] = {.iov_base = &buffer_[i * max_bytes], .iov_len = max_bytes};
    messages_[i].msg_hdr.msg_iov = &iovecs_[i];
    messages_[i].msg_hdr.msg_iovlen = 1;
  }
}

size_t ReceiveBatch::Receive(const FileDescriptor& socket) {
  const int count = recvmmsg(socket.value(), messages_.data(), kBatchSize,
                             MSG_WAITFORONE, nullptr);
  return count > 0 ? static_cast<size_t>(count) : 0;
}

size_t ReceiveBatch::ReceiveWithTimeout(const FileDescriptor& socket,
                                        int timeout_ms) {
  pollfd poll_entry{.fd = socket.value(), .events = POLLIN, .revents = 0};
  return poll(&poll_entry, 1, timeout_ms) > 0 ? Receive(socket) : 0;
}

std::span<uint8_t> ReceiveBatch::datagram(size_t index) {
  return {&buffer_[index * max_bytes_], messages_[index].msg_len};
}

SendBatch::SendBatch() {
  for (size_t i = 0; i < kBatchSize; ++i) {
    iovecs_[i][0].iov_base = headers_[i].data();
    messages_[i].msg_hdr.msg_name = &addresses_[i].storage;
    messages_[i].msg_hdr.msg_iov = iovecs_[i].data();
    messages_[i].msg_hdr.msg_iovlen = iovecs_[i].size();
  }
}

std::span<uint8_t> SendBatch::NextHeader() { return headers_[size_]; }

void SendBatch::Add(const SocketAddress& to, size_t header_size,
                    std::span<const uint8_t> payload) {
  addresses_[size_] = to;
  messages_[size_].msg_hdr.msg_namelen = to.size;
  iovecs_[size_][0].iov_len = header_size;
  iovecs_[size_][1] = {.iov_base = const_cast<uint8_t*>(payload.data()),
                       .iov_len = payload.size()};
  ++size_;
}

size_t SendBatch::Flush(const FileDescriptor& socket) {
  size_t next = 0;
  size_t failed_count = 0;
  while (next < size_) {
    const int count =
        sendmmsg(socket.value(), &messages_[next], size_ - next, 0);
    if (count > 0) {
      next += static_cast<size_t>(count);
      continue;
    }
    // Skips the datagram that the kernel rejected and tries the following ones.
    ++next;
    ++failed_count;
  }
  size_ = 0;
  return failed_count;
}

}  // namespace knapweedlift
