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

// A caller's request. Times are milliseconds of simulated time.
struct Request {
  // Failure domain of the caller.
  size_t domain = 0;
  double created_at_ms = 0;
  // Transmissions so far, including the first one.
  int attempts = 0;
};

// Events of the simulation. The comments give the meaning of Event::index.
enum class EventKind : uint8_t {
  kNewRequest,  // Failure domain of the caller.
  kRetry,       // Unused; the event carries the request.
  kArrival,     // Flow.
  kCompletion,  // Flow.
  kEstimateUpdate,
  kLoadReport,
  kDomainLoads,
  kVmRestart,
  kReplacement,
};

// An event. Those without a comment on their kind use neither `index` nor
// `request`.
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

// Queue of events, ordered by time. Events of equal time keep the order in
// which they were scheduled.
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

  // Returns true if an event is scheduled before that time.
  bool HasEventBefore(double at_ms) const {
    return !events_.empty() && events_.top().at_ms < at_ms;
  }

  // Removes and returns the next event. The queue must not be empty.
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
