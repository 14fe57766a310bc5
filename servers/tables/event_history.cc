#include "servers/tables/event_history.h"

#include <utility>

namespace knapweedlift {

void EventHistory::Add(EventRecord record) {
  absl::MutexLock lock(&mutex_);
  if (records_.size() >= kMaxRecords) records_.pop_front();
  records_.push_back(std::move(record));
}

std::vector<EventRecord> EventHistory::Recent(ServiceNumber service,
                                              ServerId server) {
  std::vector<EventRecord> recent;
  absl::MutexLock lock(&mutex_);
  for (auto it = records_.rbegin(); it != records_.rend(); ++it) {
    const bool match =
        it->service == service && (server == kNoServer || it->server == server);
    if (match) recent.push_back(*it);
  }
  return recent;
}

}  // namespace knapweedlift
