#ifndef REVIEW_STANDINS_2_STORE_H_
#define REVIEW_STANDINS_2_STORE_H_

#include <map>
#include <memory>
#include <string>

#include "loop.h"

// The platform's store: reads and watches over HTTP, PROTOCOL.md, "The
// platform's metadata store". It answers every call at once and completely.
class Store {
 public:
  Store(Loop& loop, const Address& address);
  bool listening() const { return listener_ >= 0; }

  // Writes a key, and returns once the write is acknowledged.
  void Write(const std::string& key, const std::string& value);
  void Delete(const std::string& key);

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
    uint64_t created = 0;
  };
  struct Connection {
    int fd = -1;
    std::string input;
    // What the socket has had no room for yet.
    std::string output;
    // A watch that waits: its position, and when it is answered without events.
    bool watching = false;
    uint64_t after = 0;
    uint64_t watch_number = 0;
  };

  void Accept();
  void Read(const std::shared_ptr<Connection>& connection);
  void Answer(const std::shared_ptr<Connection>& connection,
              const std::string& target);
  void AnswerWatch(const std::shared_ptr<Connection>& connection);
  void Send(const std::shared_ptr<Connection>& connection, int status,
            const std::string& body);
  void Flush(const std::shared_ptr<Connection>& connection);
  void WakeWatches();

  Loop& loop_;
  int listener_ = -1;
  uint64_t revision_ = 100;
  std::map<std::string, Item> items_;
  // Events by revision.
  std::map<uint64_t, std::string> history_;
  std::map<int, std::shared_ptr<Connection>> connections_;
};

#endif  // REVIEW_STANDINS_2_STORE_H_
