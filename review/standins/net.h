// Sockets, addresses and constants that the parts of the world share.
#ifndef REVIEW_STANDINS_NET_H_
#define REVIEW_STANDINS_NET_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "world.h"

namespace review {

inline constexpr Ms kHeartbeat = 1'200;
inline constexpr Ms kRestartDelay = 500;
inline constexpr Ms kProbeInterval = 500;
inline constexpr Ms kSynTimes[] = {0, 200, 600};
inline constexpr Ms kOpeningTime = 1'400;
inline constexpr Ms kMaxResendInterval = 1'600;
inline constexpr Ms kDeadline = 1'200;
inline constexpr uint32_t kResetWindow = 76'800;
inline constexpr size_t kSlots = 2;
inline constexpr int64_t kIdleTimeoutMs = 15'000;

inline sockaddr_in SocketAddress(uint32_t address, uint16_t port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(address);
  at.sin_port = htons(port);
  return at;
}

inline int OpenSocket(int type, uint32_t address, uint16_t port) {
  const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int one = 1;
  if (type == SOCK_STREAM) {
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  }
  const sockaddr_in at = SocketAddress(address, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 ||
      (type == SOCK_STREAM && listen(fd, 64) != 0)) {
    close(fd);
    return -1;
  }
  return fd;
}

inline uint16_t PortOf(int fd) {
  sockaddr_in at{};
  socklen_t size = sizeof(at);
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}

// A port that is free for TCP and UDP at the address. It stays bound until the
// sockets in `held` are closed, so that it is not returned twice.
inline uint16_t FreePort(uint32_t address, std::vector<int>& held) {
  while (true) {
    const int udp = OpenSocket(SOCK_DGRAM, address, 0);
    if (udp < 0) return 0;
    held.push_back(udp);
    const int tcp = OpenSocket(SOCK_STREAM, address, PortOf(udp));
    if (tcp < 0) continue;
    held.push_back(tcp);
    return PortOf(udp);
  }
}

inline std::string Text(uint32_t address) {
  const in_addr in{.s_addr = htonl(address)};
  char text[INET_ADDRSTRLEN];
  return inet_ntop(AF_INET, &in, text, sizeof(text));
}

inline std::string Text(uint32_t address, uint16_t port) {
  return Text(address) + ":" + std::to_string(port);
}

inline uint32_t Number(const std::string& address) {
  in_addr in{};
  inet_pton(AF_INET, address.c_str(), &in);
  return ntohl(in.s_addr);
}

inline std::string Quoted(const std::string& text) {
  return "\"" + text + "\"";
}

inline void Replace(std::string& text, const std::string& what,
                    const std::string& with) {
  for (size_t at = text.find(what); at != std::string::npos;
       at = text.find(what, at + with.size())) {
    text.replace(at, what.size(), with);
  }
}

inline uint64_t FlowKey(uint32_t address, uint16_t port) {
  return (static_cast<uint64_t>(address) << 16) | port;
}

inline uint64_t Hash(uint64_t value) {
  value ^= value >> 33;
  value *= 0xff51afd7ed558ccdULL;
  value ^= value >> 33;
  value *= 0xc4ceb9fe1a85ec53ULL;
  return value ^ (value >> 33);
}

inline std::string Header(const std::string& text, const std::string& name) {
  const size_t at = text.find(name + ": ");
  if (at == std::string::npos) return {};
  const size_t begin = at + name.size() + 2;
  return text.substr(begin, text.find('\r', begin) - begin);
}

inline int64_t SteadyNs() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace review

#endif  // REVIEW_STANDINS_NET_H_
