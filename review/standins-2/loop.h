#ifndef REVIEW_STANDINS_2_LOOP_H_
#define REVIEW_STANDINS_2_LOOP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

// Event loop, sockets and the record shared by all stand-ins.

using Millis = int64_t;

// Milliseconds since the start of the run, by the steady clock.
Millis NowMs();
// Unix time in milliseconds.
int64_t UnixMs();

class Loop {
 public:
  using Callback = std::function<void()>;
  void At(Millis when, Callback callback);
  void After(Millis delay, Callback callback);
  // Calls back whenever the descriptor is readable, or has an error.
  void OnReadable(int fd, Callback callback);
  // Calls back once when the descriptor is writable, or has an error.
  void OnWritable(int fd, Callback callback);
  // Stops watching the descriptor and closes it.
  void Close(int fd);
  void RunUntil(Millis end, const std::function<bool()>& stop);

 private:
  void Poll(Millis timeout);
  std::multimap<Millis, Callback> timers_;
  std::map<int, Callback> readable_;
  std::map<int, Callback> writable_;
};

// An IPv4 address in host byte order, and a port.
struct Address {
  uint32_t ip = 0;
  uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
};

std::string Text(uint32_t ip);
std::string Text(const Address& address);

// These return -1 if the address is in use.
int OpenUdp(const Address& address);
int OpenListener(const Address& address);
// Starts a connection attempt; never blocks.
int StartConnect(const Address& to);
void SendTo(int fd, const Address& to, const std::vector<uint8_t>& bytes);
// Share of all datagrams that the network loses from now on, between clients
// and machines and between endpoints and clients.
void SetLoss(double share);

// Appends a line with the time to the record.
void OpenRecord(const std::string& path);
void Record(const char* format, ...) __attribute__((format(printf, 1, 2)));

uint64_t Random();

#endif  // REVIEW_STANDINS_2_LOOP_H_
