// A stand-in for the platform's store: reads, ranges and watches over HTTP/1.1.
#ifndef REVIEW_STANDINS_STORE_H_
#define REVIEW_STANDINS_STORE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace review {

class Store {
 public:
  // Listens on ADDRESS:PORT of the loopback net; `port` 0 chooses a free one.
  bool Listen(uint32_t address, uint16_t& port);

  // Both return the revision of the change.
  uint64_t Put(const std::string& key, const std::string& value);
  uint64_t Remove(const std::string& key);

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
    uint64_t created = 0;
  };
  struct Event {
    std::string key;
    Item item;
    bool removed = false;
    std::chrono::steady_clock::time_point at;
  };

  void AddEvent(Event event);

  void Accept();
  void Serve(int fd);
  std::string Answer(const std::string& target, int& status);
  std::string Range(const std::string& target);
  std::string Watch(const std::string& target, int& status);
  static std::string ItemJson(const std::string& key, const Item& item);

  int listener_ = -1;
  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t revision_ = 100;
  std::map<std::string, Item> items_;
  std::deque<Event> history_;
  // Changes up to this revision are no longer in the history.
  uint64_t dropped_ = 100;
};

}  // namespace review

#endif  // REVIEW_STANDINS_STORE_H_
