#ifndef KNAPWEEDLIFT_LAB_MARKS_STAND_IN_STORE_H_
#define KNAPWEEDLIFT_LAB_MARKS_STAND_IN_STORE_H_

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
  kBusy,    // Refuses every call.
  kMany,    // Says that there are too many calls.
  kSilent,  // Answers nothing.
  kSlow,    // Answers late.
  kLost,    // Takes the call and loses the answer; the connection stays.
};

// A stand-in of the platform's metadata store: keys with values and revisions,
// paged range reads and watches over a bounded history. VMs reach it through
// doors, so that it can treat some of them otherwise than the rest.
class StandInStore {
 public:
  StandInStore();
  ~StandInStore();

  // Opens another door on loopback and returns its address.
  Endpoint AddDoor();
  void SetMode(size_t door, StoreMode mode);

  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);

  // Drops the history: watches that began before are told so.
  void ForgetHistory();

  // Calls of VMs so far.
  uint64_t calls() const { return calls_; }
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
  struct Door {
    FileDescriptor listener;
    std::atomic<StoreMode> mode{StoreMode::kServe};
    std::thread thread;
  };

  HttpResponse Answer(Door& door, const HttpRequest& request);
  HttpResponse AnswerRange(const std::string& target);
  HttpResponse AnswerWatch(const std::string& target);
  void Record(Event event);

  absl::Mutex mutex_;
  std::map<std::string, Item> items_ ABSL_GUARDED_BY(mutex_);
  std::deque<Event> history_ ABSL_GUARDED_BY(mutex_);
  uint64_t revision_ ABSL_GUARDED_BY(mutex_) = 1;
  // Watches after an older revision are told that the history is gone.
  uint64_t oldest_ ABSL_GUARDED_BY(mutex_) = 1;
  std::vector<std::unique_ptr<Door>> doors_;
  std::atomic<uint64_t> calls_{0};
  std::atomic<bool> stopping_{false};
};

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_MARKS_STAND_IN_STORE_H_
