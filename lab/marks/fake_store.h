#ifndef KNAPWEEDLIFT_LAB_MARKS_FAKE_STORE_H_
#define KNAPWEEDLIFT_LAB_MARKS_FAKE_STORE_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "drivers/http.h"

namespace knapweedlift::lab {

// How a door of the store treats its callers.
enum class StoreMode : uint8_t {
  kServe,
  kUnavailable,      // Refuses every call.
  kTooManyRequests,  // Says that there are too many calls.
  kUnresponsive,     // Answers nothing.
  kSlow,             // Answers late.
  kResponseLost,  // Takes the call and loses the answer; the connection stays.
};

// A stand-in of the platform's metadata store: keys with values and revisions,
// paged range reads and watches over a bounded history. VMs reach it through
// doors, so that it can treat some of them otherwise than the rest.
class FakeStore {
 public:
  FakeStore();
  ~FakeStore();

  // Opens another door on loopback and returns its address.
  Endpoint AddListener();
  void SetMode(size_t listener, StoreMode mode);

  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);

  // Drops the history: watches that began before are told so.
  void CompactHistory();

  // Calls of VMs so far.
  uint64_t request_count() const { return request_count_; }
  uint64_t revision();

 private:
  struct Event {
    std::string key;
    std::string value;
    uint64_t revision = 0;
    bool removed = false;
  };
  struct Item {
    std::string value;
    uint64_t revision = 0;
  };
  struct Listener {
    FileDescriptor socket;
    std::atomic<StoreMode> mode{StoreMode::kServe};
    std::thread thread;
  };

  HttpResponse HandleRequest(Listener& listener, const HttpRequest& request);
  HttpResponse HandleRange(const std::string& target);
  HttpResponse HandleWatch(const std::string& target);
  void AppendEvent(Event event);

  absl::Mutex mutex_;
  std::map<std::string, Item> items_ ABSL_GUARDED_BY(mutex_);
  std::deque<Event> history_ ABSL_GUARDED_BY(mutex_);
  uint64_t revision_ ABSL_GUARDED_BY(mutex_) = 1;
  // Watches after an older revision are told that the history is gone.
  uint64_t compacted_revision_ ABSL_GUARDED_BY(mutex_) = 1;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::atomic<uint64_t> request_count_{0};
  std::atomic<bool> stopping_{false};
};

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_MARKS_FAKE_STORE_H_
