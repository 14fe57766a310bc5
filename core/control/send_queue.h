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

// An encoded message that waits to be sent.
struct QueuedMessage {
  VmId to = kNoVm;
  std::string bytes;
  // Bytes already charged to the token bucket for this message.
  size_t charged_bytes = 0;

  auto operator<=>(const QueuedMessage&) const = default;
};

// Queue of messages to peers, rate-limited by a token bucket and sent by
// priority. If the queue of a priority is full, its oldest message is
// discarded: the sender repeats every message or replaces it by a newer one.
class SendQueue {
 public:
  // `bytes_per_second` is the fill rate of the token bucket and `burst_bytes`
  // its capacity.
  SendQueue(size_t bytes_per_second, size_t burst_bytes, TimePoint now);

  void Push(Priority priority, QueuedMessage message);

  // Returns the next message that the budget allows at `now`. A message that
  // costs more than the bucket holds is charged over several calls; messages of
  // a higher priority are sent in the meantime.
  std::optional<QueuedMessage> Pop(TimePoint now);

  // Bytes charged, headers included, and messages discarded since the start.
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

// Size of the IP and UDP headers, which count against the budget.
inline constexpr size_t kDatagramOverheadBytes = 28;

// Maximum length of the queue of one priority.
inline constexpr size_t kMaxQueuedMessages = 256;

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_CONTROL_SEND_QUEUE_H_
