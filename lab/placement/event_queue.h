#ifndef KNAPWEEDLIFT_LAB_PLACEMENT_EVENT_QUEUE_H_
#define KNAPWEEDLIFT_LAB_PLACEMENT_EVENT_QUEUE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace knapweedlift::lab {

// A caller's request, with the tries that it took so far.
struct Request {
  size_t domain = 0;
  double created_at_ms = 0;
  int attempts = 0;
};

// What happens next in a played deployment.
enum class EventKind : uint8_t {
  kNewRequest,
  kRetry,
  kArrival,
  kCompletion,
  kEstimateUpdate,
  kLoadReport,
  kDomainLoads,
  kVmRestart,
  kReplacement,
};

struct Event {
  double at_ms = 0;
  uint64_t sequence = 0;
  EventKind kind = EventKind::kNewRequest;
  size_t index = 0;
  Request request;

  bool operator>(const Event& other) const {
    return std::pair(at_ms, sequence) > std::pair(other.at_ms, other.sequence);
  }
};

// Events in the order of their times; those of one time in the order of
// posting.
class EventQueue {
 public:
  void Schedule(double at_ms, EventKind kind, size_t index = 0,
                const Request& request = {}) {
    events_.push({.at_ms = at_ms,
                  .sequence = ++last_sequence_,
                  .kind = kind,
                  .index = index,
                  .request = request});
  }

  // True where an event comes before that time.
  bool HasEventBefore(double at_ms) const {
    return !events_.empty() && events_.top().at_ms < at_ms;
  }

  Event Pop() {
    const Event event = events_.top();
    events_.pop();
    return event;
  }

 private:
  uint64_t last_sequence_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_PLACEMENT_EVENT_QUEUE_H_
