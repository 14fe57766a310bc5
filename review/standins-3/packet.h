#ifndef REVIEW_STANDINS_3_PACKET_H_
#define REVIEW_STANDINS_3_PACKET_H_

// Time, the record of a run, sockets, and the packets of the platform.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace standin {

// Figures of the pages (deployment cuna-medellin and mondego-lift).
inline constexpr int64_t kHistoryMs = 20'000;
inline constexpr int64_t kHeartbeatMs = 1'200;
inline constexpr int64_t kDrainMs = 3'000;
inline constexpr int64_t kConfigApplyMs = 3'000;
inline constexpr int64_t kStableWindowMs = 4'000;
inline constexpr int64_t kMaxStretchMs = 12'000;
inline constexpr size_t kValueBytes = 1'048'576;
inline constexpr int64_t kGiveUpMs = 1'400;

inline constexpr int kVms = 6;
inline constexpr int kZones = 3;
inline constexpr uint8_t kSyn = 2, kAck = 16, kFin = 4, kRst = 32;

inline int64_t NowMs() {
  timespec time{};
  clock_gettime(CLOCK_MONOTONIC, &time);
  return time.tv_sec * 1'000 + time.tv_nsec / 1'000'000;
}
inline int64_t start_ms;
inline int64_t Elapsed() { return NowMs() - start_ms; }

inline FILE* record_file;
inline void Record(const char* format, ...) {
  fprintf(record_file, "%7.3f ", static_cast<double>(Elapsed()) / 1'000);
  va_list arguments;
  va_start(arguments, format);
  vfprintf(record_file, format, arguments);
  va_end(arguments);
  fputc('\n', record_file);
  fflush(record_file);
}
[[noreturn]] inline void CannotRun(const char* why) {
  fprintf(stderr, "the case could not run: %s\n", why);
  if (record_file != nullptr) Record("the case could not run: %s", why);
  exit(2);
}

inline std::string Format(const char* format, ...) {
  char text[2'048];
  va_list arguments;
  va_start(arguments, format);
  vsnprintf(text, sizeof(text), format, arguments);
  va_end(arguments);
  return text;
}

inline uint32_t Address(int net, int host) {
  return (127u << 24) | (static_cast<uint32_t>(net) << 16) |
         static_cast<uint32_t>(host);
}
inline std::string Text(uint32_t a) {
  return Format("%u.%u.%u.%u", a >> 24, (a >> 16) & 255, (a >> 8) & 255,
                a & 255);
}
inline sockaddr_in SocketAddress(uint32_t address, uint16_t port) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_addr.s_addr = htonl(address);
  result.sin_port = htons(port);
  return result;
}
inline int OpenSocket(int type, uint32_t address, uint16_t port,
                      bool required) {
  const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (type == SOCK_STREAM) {
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  }
  const sockaddr_in at = SocketAddress(address, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 ||
      (type == SOCK_STREAM && listen(fd, 128) != 0)) {
    close(fd);
    if (required) CannotRun("an address is in use");
    return -1;
  }
  return fd;
}
// Ports that are free for UDP and TCP on the addresses of all VMs.
inline uint16_t FreePort() {
  static std::set<uint16_t> taken;
  for (int attempt = 0; attempt < 200; ++attempt) {
    const uint16_t port = static_cast<uint16_t>(
        20'000 + (static_cast<unsigned>(getpid()) * 37u +
                  static_cast<unsigned>(NowMs()) + attempt * 131u) %
                     10'000);
    if (!taken.insert(port).second) continue;
    bool free = true;
    for (int net = 1; net <= 5 && free; ++net) {
      for (int host = 1; host <= 16 && free; ++host) {
        for (const int type : {SOCK_DGRAM, SOCK_STREAM}) {
          const int fd = OpenSocket(type, Address(net, host), port, false);
          free = free && fd >= 0;
          if (fd >= 0) close(fd);
        }
      }
    }
    if (free) return port;
  }
  CannotRun("no free port");
}

// ---- Packets -------------------------------------------------------------

struct Packet {
  uint16_t len = 0;
  uint32_t sum = 0;
  uint8_t flags = 0;
  uint32_t echo = 0, seq = 0, ack = 0, src = 0, dst = 0;
  uint16_t dport = 0, sport = 0;
  std::string data;
};
inline void Put(std::string& out, uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) out += static_cast<char>(value >> (8 * i));
}
inline uint64_t Get(const std::string& in, size_t offset, int bytes) {
  uint64_t value = 0;
  for (int i = 0; i < bytes; ++i) {
    value |= static_cast<uint64_t>(static_cast<uint8_t>(in[offset + i]))
             << (8 * i);
  }
  return value;
}
inline uint32_t SumOf(const Packet& p) {
  uint64_t hash = 0x9E3779B97F4A7C15u;
  const auto add = [&hash](uint64_t v) {
    hash = (hash ^ v) * 0x100000001B3u;
    hash ^= hash >> 29;
  };
  add(p.len), add(p.flags), add(p.seq), add(p.ack), add(p.src), add(p.dst);
  add(p.dport), add(p.sport);
  for (const char c : p.data) add(static_cast<uint8_t>(c));
  return static_cast<uint32_t>(hash) | 1;
}
inline std::string Encode(Packet p) {
  p.len = static_cast<uint16_t>(p.data.size());
  std::string out;
  Put(out, p.len, 2), Put(out, SumOf(p), 4), Put(out, p.flags, 1);
  Put(out, 0, 1), Put(out, p.echo, 4), Put(out, p.seq, 4), Put(out, p.ack, 4);
  Put(out, p.src, 4), Put(out, p.dport, 2), Put(out, p.dst, 4);
  Put(out, p.sport, 2);
  return out + p.data;
}
inline bool Decode(const std::string& in, Packet& p) {
  if (in.size() < 32) return false;
  p.len = static_cast<uint16_t>(Get(in, 0, 2));
  p.sum = static_cast<uint32_t>(Get(in, 2, 4));
  p.flags = static_cast<uint8_t>(in[6]);
  p.echo = static_cast<uint32_t>(Get(in, 8, 4));
  p.seq = static_cast<uint32_t>(Get(in, 12, 4));
  p.ack = static_cast<uint32_t>(Get(in, 16, 4));
  p.src = static_cast<uint32_t>(Get(in, 20, 4));
  p.dport = static_cast<uint16_t>(Get(in, 24, 2));
  p.dst = static_cast<uint32_t>(Get(in, 26, 4));
  p.sport = static_cast<uint16_t>(Get(in, 30, 2));
  p.data = in.substr(32);
  return p.data.size() == p.len;
}
inline void SendTo(int fd, uint32_t address, uint16_t port,
                   const std::string& bytes) {
  const sockaddr_in to = SocketAddress(address, port);
  sendto(fd, bytes.data(), bytes.size(), MSG_DONTWAIT,
         reinterpret_cast<const sockaddr*>(&to), sizeof(to));
}
inline bool ReceiveFrom(int fd, std::string& bytes) {
  char buffer[2'048];
  const ssize_t size = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
  if (size <= 0) return false;
  bytes.assign(buffer, static_cast<size_t>(size));
  return true;
}

}  // namespace standin

#endif  // REVIEW_STANDINS_3_PACKET_H_
