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

// A decision on a packet, or a new table generation. Shown by `explain`.
struct EventRecord {
  // Wall clock time as text.
  std::string time;
  ServiceNumber service = 0;
  // kNoServer if no server was chosen or the record is about a generation.
  ServerId server = kNoServer;
  // ResultCode of a decision; 0 for a generation.
  uint16_t code = 0;
  std::string message;

  auto operator<=>(const EventRecord&) const = default;
};

// The most recent decisions and generations of this VM. When it is full, the
// oldest record is dropped. Thread-safe.
class EventHistory {
 public:
  void Add(EventRecord record);

  // Returns the records about a service, newest first. Unless `server` is
  // kNoServer, only records about that server are returned.
  std::vector<EventRecord> Recent(ServiceNumber service, ServerId server);

 private:
  static constexpr size_t kMaxRecords = 1024;

  absl::Mutex mutex_;
  std::deque<EventRecord> records_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_SERVERS_TABLES_EVENT_HISTORY_H_
