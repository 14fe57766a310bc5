#ifndef KNAPWEEDLIFT_LAB_MARKS_FAKE_STORE_H_
#define KNAPWEEDLIFT_LAB_MARKS_FAKE_STORE_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "drivers/http.h"

namespace knapweedlift::lab {

// How a listener of the store treats requests.
enum class StoreMode : uint8_t {
  kServe,
  // Responds with HTTP status 503.
  kUnavailable,
  // Responds with HTTP status 429.
  kTooManyRequests,
  // Does not respond.
  kUnresponsive,
  // Responds after a delay.
  kSlow,
  // Accepts the request and loses the response; the connection stays open.
  kResponseLost,
};

// The last write of a key that the store has lost; a removal if it has no
// value.
struct LostWrite {
  std::string key;
  std::optional<std::string> value;

  auto operator<=>(const LostWrite&) const = default;
};

// A fake of the platform's metadata store: keys with values and revisions,
// paged range reads, and watches over a bounded history. It has several
// listeners, so that a test can make it fail for some VMs only. It can go away
// and return from an older copy. Thread-safe except for AddListener.
class FakeStore {
 public:
  FakeStore();
  ~FakeStore();

  // Opens another listener on loopback and returns its address.
  Endpoint AddListener();
  // Sets the mode of a listener, numbered from 0 in the order of AddListener.
  void SetMode(size_t listener, StoreMode mode);

  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);

  // While stalled, watches report no change; reads show it.
  void SetWatchesStalled(bool stalled) { watches_stalled_ = stalled; }

  // Delays all pages of a read but the first one, so that entries change in
  // between.
  void SetLaterPagesSlow(bool slow) { later_pages_slow_ = slow; }

  // Drops the history; watches from an older revision fail with HTTP status
  // 410.
  void CompactHistory();

  // Copies the content for ReturnFromCopy.
  void TakeCopy();
  // While away, the store refuses all requests and cuts its watches.
  void SetAway(bool away) { away_ = away; }
  // Replaces the content by the copy and begins the next era. Returns what was
  // written since the copy.
  std::vector<LostWrite> ReturnFromCopy();
  // Sends `value` as the header of the era from now on, or no such header if it
  // is empty; nothing sends the era again.
  void SetEraHeader(const std::optional<std::string>& value);

  // Number of requests received.
  uint64_t request_count() const { return request_count_; }
  // Number of pages of complete reads that were served.
  uint64_t page_count() const { return page_count_; }
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
  HttpResponse ServeRequest(Listener& listener, const HttpRequest& request);
  HttpResponse HandleRange(const std::string& target);
  HttpResponse HandleWatch(const std::string& target);
  void AppendEvent(Event event);

  absl::Mutex mutex_;
  std::map<std::string, Item> items_ ABSL_GUARDED_BY(mutex_);
  std::deque<Event> history_ ABSL_GUARDED_BY(mutex_);
  uint64_t revision_ ABSL_GUARDED_BY(mutex_) = 1;
  // Oldest revision from which a watch is possible.
  uint64_t compacted_revision_ ABSL_GUARDED_BY(mutex_) = 1;
  uint64_t era_ ABSL_GUARDED_BY(mutex_) = 1;
  std::optional<std::string> era_header_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, Item> copied_items_ ABSL_GUARDED_BY(mutex_);
  uint64_t copied_revision_ ABSL_GUARDED_BY(mutex_) = 1;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::atomic<uint64_t> request_count_{0};
  std::atomic<uint64_t> page_count_{0};
  std::atomic<bool> away_{false};
  std::atomic<bool> watches_stalled_{false};
  std::atomic<bool> later_pages_slow_{false};
  std::atomic<bool> stopping_{false};
};

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_MARKS_FAKE_STORE_H_
