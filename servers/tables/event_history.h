#ifndef KNAPWEEDLIFT_SERVERS_TABLES_EVENT_HISTORY_H_
#define KNAPWEEDLIFT_SERVERS_TABLES_EVENT_HISTORY_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "core/ids.h"
#include "core/result_code.h"

namespace knapweedlift {

// One decision that an operator may ask about.
struct EventRecord {
  std::string time;
  ServiceNumber service = 0;
  ServerId server = kNoServer;
  uint16_t code = 0;
  std::string message;

  auto operator<=>(const EventRecord&) const = default;
};

// The last decisions, for `explain`. Bounded; the oldest record goes first.
class EventHistory {
 public:
  void Add(EventRecord record);

  // Entries about the service, newest first; also about one server where
  // `server` is not kNoServer.
  std::vector<EventRecord> Recent(ServiceNumber service, ServerId server);

 private:
  static constexpr size_t kMaxRecords = 1024;

  absl::Mutex mutex_;
  std::deque<EventRecord> records_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_SERVERS_TABLES_EVENT_HISTORY_H_
