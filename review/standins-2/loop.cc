#include "loop.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <random>

namespace {

const auto start = std::chrono::steady_clock::now();
FILE* record = nullptr;
double lost_share = 0;

sockaddr_in SocketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_addr.s_addr = htonl(address.ip);
  result.sin_port = htons(address.port);
  return result;
}

int OpenSocket(int type) {
  return socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

int Bind(int fd, const Address& address) {
  const sockaddr_in to = SocketAddress(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0) {
    return fd;
  }
  close(fd);
  return -1;
}

}  // namespace

Millis NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void Loop::At(Millis when, Callback callback) {
  timers_.emplace(when, std::move(callback));
}

void Loop::After(Millis delay, Callback callback) {
  At(NowMs() + delay, std::move(callback));
}

void Loop::OnReadable(int fd, Callback callback) {
  readable_[fd] = std::move(callback);
}

void Loop::OnWritable(int fd, Callback callback) {
  writable_[fd] = std::move(callback);
}

void Loop::Close(int fd) {
  readable_.erase(fd);
  writable_.erase(fd);
  close(fd);
}

void Loop::Poll(Millis timeout) {
  std::map<int, short> wanted;
  for (const auto& [fd, callback] : readable_) wanted[fd] |= POLLIN;
  for (const auto& [fd, callback] : writable_) wanted[fd] |= POLLOUT;
  std::vector<pollfd> entries;
  for (const auto& [fd, events] : wanted) entries.push_back({fd, events, 0});
  poll(entries.data(), entries.size(), static_cast<int>(timeout));
  for (const pollfd& entry : entries) {
    if (entry.revents == 0) continue;
    const auto writer = writable_.find(entry.fd);
    if (writer != writable_.end() && (entry.revents & ~POLLIN) != 0) {
      const Callback callback = writer->second;
      writable_.erase(writer);
      callback();
    }
    const auto reader = readable_.find(entry.fd);
    if (reader != readable_.end() && (entry.revents & ~POLLOUT) != 0) {
      const Callback callback = reader->second;
      callback();
    }
  }
}

void Loop::RunUntil(Millis end, const std::function<bool()>& stop) {
  while (NowMs() < end && !stop()) {
    while (!timers_.empty() && timers_.begin()->first <= NowMs()) {
      const Callback callback = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      callback();
    }
    Millis next = end;
    if (!timers_.empty()) next = std::min(next, timers_.begin()->first);
    Poll(std::clamp<Millis>(next - NowMs(), 0, 20));
  }
}

std::string Text(uint32_t ip) {
  char text[32];
  std::snprintf(text, sizeof(text), "%u.%u.%u.%u", ip >> 24, (ip >> 16) & 255,
                (ip >> 8) & 255, ip & 255);
  return text;
}

std::string Text(const Address& address) {
  return Text(address.ip) + ":" + std::to_string(address.port);
}

int OpenUdp(const Address& address) {
  const int fd = OpenSocket(SOCK_DGRAM);
  const int size = 1 << 20;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
  return Bind(fd, address);
}

int OpenListener(const Address& address) {
  int fd = OpenSocket(SOCK_STREAM);
  const int enabled = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  fd = Bind(fd, address);
  if (fd >= 0) listen(fd, 128);
  return fd;
}

int StartConnect(const Address& to) {
  const int fd = OpenSocket(SOCK_STREAM);
  const sockaddr_in address = SocketAddress(to);
  // The outcome shows when the socket becomes writable.
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    return fd;
  }
  return fd;
}

void SetLoss(double share) { lost_share = share; }

void SendTo(int fd, const Address& to, const std::vector<uint8_t>& bytes) {
  constexpr double kParts = 1e6;
  if (static_cast<double>(Random() % 1'000'000) < lost_share * kParts) return;
  const sockaddr_in address = SocketAddress(to);
  sendto(fd, bytes.data(), bytes.size(), MSG_DONTWAIT,
         reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

void OpenRecord(const std::string& path) { record = fopen(path.c_str(), "w"); }

void Record(const char* format, ...) {
  if (record == nullptr) return;
  const Millis now = NowMs();
  std::fprintf(record, "%8.3f s  ", static_cast<double>(now) / 1000);
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(record, format, arguments);
  va_end(arguments);
  std::fputc('\n', record);
  std::fflush(record);
}

uint64_t Random() {
  static std::mt19937_64 engine{std::random_device{}()};
  return engine();
}
