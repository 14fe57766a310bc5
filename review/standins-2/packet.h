#ifndef REVIEW_STANDINS_2_PACKET_H_
#define REVIEW_STANDINS_2_PACKET_H_

#include <algorithm>
#include <compare>
#include <cstdint>
#include <cstring>
#include <optional>
#include <string>
#include <vector>

// Packets of flows as PROTOCOL.md, "Packets", lays them out.

constexpr uint8_t kSyn = 2;
constexpr uint8_t kAck = 16;
constexpr uint8_t kFin = 4;
constexpr uint8_t kRst = 32;
constexpr size_t kHeaderBytes = 32;
constexpr size_t kMaxDataBytes = 1200;

struct Packet {
  uint32_t sum = 0;
  uint8_t flags = 0;
  uint32_t echo = 0;
  uint32_t seq = 0;
  uint32_t ack = 0;
  uint32_t src = 0;
  uint16_t sport = 0;
  uint32_t dst = 0;
  uint16_t dport = 0;
  std::string data;
};

// The caller's and the route's end of a flow.
struct FlowId {
  uint32_t client = 0;
  uint16_t client_port = 0;
  uint32_t host = 0;
  uint16_t host_port = 0;
  auto operator<=>(const FlowId&) const = default;
};

// The system does not know the key of the sum, and resets of its own have sum
// 0. All other senders here write this checksum with a key of their own.
inline uint32_t KeyedSum(const Packet& packet) {
  uint64_t hash = 0x9E3779B97F4A7C15;
  const auto mix = [&hash](uint64_t value) {
    hash = (hash ^ value) * 0x100000001B3;
  };
  mix(packet.flags);
  mix(packet.seq);
  mix(packet.ack);
  mix(packet.src);
  mix(packet.sport);
  mix(packet.dst);
  mix(packet.dport);
  for (const char byte : packet.data) mix(static_cast<uint8_t>(byte));
  const auto sum = static_cast<uint32_t>(hash ^ (hash >> 32));
  return sum == 0 ? 1 : sum;
}

inline void Put(std::vector<uint8_t>& bytes, size_t offset, size_t size,
                uint64_t value) {
  for (size_t i = 0; i < size; ++i) bytes[offset + i] = value >> (8 * i);
}

inline uint64_t Take(const uint8_t* bytes, size_t offset, size_t size) {
  uint64_t value = 0;
  for (size_t i = 0; i < size; ++i) {
    value |= static_cast<uint64_t>(bytes[offset + i]) << (8 * i);
  }
  return value;
}

inline std::vector<uint8_t> Encode(const Packet& packet) {
  std::vector<uint8_t> bytes(kHeaderBytes + packet.data.size());
  Put(bytes, 0, 2, packet.data.size());
  Put(bytes, 2, 4, KeyedSum(packet));
  Put(bytes, 6, 1, packet.flags);
  Put(bytes, 8, 4, packet.echo);
  Put(bytes, 12, 4, packet.seq);
  Put(bytes, 16, 4, packet.ack);
  Put(bytes, 20, 4, packet.src);
  Put(bytes, 24, 2, packet.dport);
  Put(bytes, 26, 4, packet.dst);
  Put(bytes, 30, 2, packet.sport);
  std::copy(packet.data.begin(), packet.data.end(),
            bytes.begin() + kHeaderBytes);
  return bytes;
}

inline std::optional<Packet> Decode(const uint8_t* bytes, size_t size) {
  if (size < kHeaderBytes) return {};
  if (size != kHeaderBytes + Take(bytes, 0, 2)) return {};
  Packet packet{.sum = static_cast<uint32_t>(Take(bytes, 2, 4)),
                .flags = bytes[6],
                .echo = static_cast<uint32_t>(Take(bytes, 8, 4)),
                .seq = static_cast<uint32_t>(Take(bytes, 12, 4)),
                .ack = static_cast<uint32_t>(Take(bytes, 16, 4)),
                .src = static_cast<uint32_t>(Take(bytes, 20, 4)),
                .sport = static_cast<uint16_t>(Take(bytes, 30, 2)),
                .dst = static_cast<uint32_t>(Take(bytes, 26, 4)),
                .dport = static_cast<uint16_t>(Take(bytes, 24, 2))};
  packet.data.assign(reinterpret_cast<const char*>(bytes) + kHeaderBytes,
                     size - kHeaderBytes);
  return packet;
}

// True if a packet with an end's own checksum arrived unchanged.
inline bool IsIntact(const Packet& packet) {
  return packet.sum == KeyedSum(packet);
}

// A reset that the system itself sent.
inline bool IsSystemReset(const Packet& packet) {
  return packet.flags == kRst && packet.sum == 0 && packet.data.empty();
}

#endif  // REVIEW_STANDINS_2_PACKET_H_
