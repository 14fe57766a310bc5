#include "core/control/send_queue.h"

#include <algorithm>
#include <utility>

namespace knapweedlift {

SendQueue::SendQueue(size_t bytes_per_second, size_t burst_bytes, TimePoint now)
    : bytes_per_millisecond_(static_cast<double>(bytes_per_second) / 1000),
      burst_bytes_(static_cast<double>(burst_bytes)),
      tokens_(burst_bytes_),
      last_refill_(now) {}

void SendQueue::Push(Priority priority, QueuedMessage message) {
  auto& queue = queues_[static_cast<size_t>(priority)];
  if (queue.size() >= kMaxQueuedMessages) {
    queue.pop_front();
    ++discarded_;
  }
  queue.push_back(std::move(message));
}

std::optional<QueuedMessage> SendQueue::Pop(TimePoint now) {
  Refill(now);
  for (auto& queue : queues_) {
    if (queue.empty()) continue;
    QueuedMessage& head = queue.front();
    const size_t cost = head.bytes.size() + kDatagramOverheadBytes;
    const auto charge = static_cast<size_t>(
        std::min(tokens_, static_cast<double>(cost - head.charged_bytes)));
    head.charged_bytes += charge;
    tokens_ -= static_cast<double>(charge);
    sent_bytes_ += charge;
    if (head.charged_bytes < cost) return std::nullopt;
    QueuedMessage message = std::move(head);
    queue.pop_front();
    return message;
  }
  return std::nullopt;
}

void SendQueue::Refill(TimePoint now) {
  const auto passed = static_cast<double>((now - last_refill_).count());
  last_refill_ = now;
  tokens_ = std::min(burst_bytes_, tokens_ + passed * bytes_per_millisecond_);
}

}  // namespace knapweedlift
