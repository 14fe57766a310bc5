#ifndef KNAPWEEDLIFT_CORE_CONTROL_SEND_QUEUE_H_
#define KNAPWEEDLIFT_CORE_CONTROL_SEND_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "core/control/messages.h"
#include "core/time.h"

namespace knapweedlift {

// A message ready to be sent.
struct QueuedMessage {
  VmId to = kNoVm;
  std::string bytes;
  // What the bucket has already given for it.
  size_t charged_bytes = 0;

  auto operator<=>(const QueuedMessage&) const = default;
};

// Messages to peers, held back by a token bucket and sent by priority. When a
// priority's queue is full its oldest message is discarded: every message is
// sent again, or replaced by newer facts, by those who made it.
class SendQueue {
 public:
  // `bytes_per_second` refills the bucket, which holds `burst_bytes`.
  SendQueue(size_t bytes_per_second, size_t burst_bytes, TimePoint now);

  void Push(Priority priority, QueuedMessage message);

  // The next message that the budget allows now. A message that costs more than
  // the bucket holds is paid off over time; more urgent ones go first
  // meanwhile.
  std::optional<QueuedMessage> Pop(TimePoint now);

  // Bytes sent, and messages discarded, since the start.
  uint64_t sent_bytes() const { return sent_bytes_; }
  uint64_t discarded() const { return discarded_; }

 private:
  void Refill(TimePoint now);

  double bytes_per_millisecond_;
  double burst_bytes_;
  double tokens_;
  TimePoint last_refill_;
  uint64_t sent_bytes_ = 0;
  uint64_t discarded_ = 0;
  std::array<std::deque<QueuedMessage>, kPriorityCount> queues_;
};

// IP and UDP headers, which count against the budget.
inline constexpr size_t kDatagramOverheadBytes = 28;

inline constexpr size_t kMaxQueuedMessages = 256;

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_CONTROL_SEND_QUEUE_H_
