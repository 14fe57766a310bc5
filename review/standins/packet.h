// Packets between clients and endpoints, as the users' protocol page describes
// them: a header of 32 bytes, little-endian, followed by data.
#ifndef REVIEW_STANDINS_PACKET_H_
#define REVIEW_STANDINS_PACKET_H_

#include <cstdint>
#include <optional>
#include <string>

namespace review {

inline constexpr size_t kHeaderBytes = 32;
inline constexpr uint8_t kSyn = 2;
inline constexpr uint8_t kFin = 4;
inline constexpr uint8_t kAck = 16;
inline constexpr uint8_t kRst = 32;

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

// The keyed sum over everything but `echo`. Only the stand-ins know the key.
inline uint32_t KeyedSum(const Packet& packet) {
  uint32_t hash = 0x9E3779B9U;
  const auto mix = [&hash](uint32_t value) {
    hash = (hash ^ value) * 0x01000193U;
    hash ^= hash >> 15;
  };
  mix(packet.flags);
  mix(packet.seq);
  mix(packet.ack);
  mix(packet.src);
  mix(packet.sport);
  mix(packet.dst);
  mix(packet.dport);
  for (const char byte : packet.data) mix(static_cast<uint8_t>(byte));
  return hash | 1;  // 0 marks a reset of the system's own.
}

template <typename Number>
void StoreNumber(std::string& bytes, size_t offset, Number value) {
  for (size_t i = 0; i < sizeof(Number); ++i) {
    bytes[offset + i] = static_cast<char>(value >> (8 * i));
  }
}

template <typename Number>
Number LoadNumber(const uint8_t* bytes, size_t offset) {
  Number value = 0;
  for (size_t i = 0; i < sizeof(Number); ++i) {
    value = static_cast<Number>(value | static_cast<Number>(bytes[offset + i])
                                            << (8 * i));
  }
  return value;
}

inline std::string Encode(Packet packet) {
  packet.sum = KeyedSum(packet);
  std::string bytes(kHeaderBytes, '\0');
  StoreNumber<uint16_t>(bytes, 0, static_cast<uint16_t>(packet.data.size()));
  StoreNumber<uint32_t>(bytes, 2, packet.sum);
  bytes[6] = static_cast<char>(packet.flags);
  StoreNumber<uint32_t>(bytes, 8, packet.echo);
  StoreNumber<uint32_t>(bytes, 12, packet.seq);
  StoreNumber<uint32_t>(bytes, 16, packet.ack);
  StoreNumber<uint32_t>(bytes, 20, packet.src);
  StoreNumber<uint16_t>(bytes, 24, packet.dport);
  StoreNumber<uint32_t>(bytes, 26, packet.dst);
  StoreNumber<uint16_t>(bytes, 30, packet.sport);
  return bytes + packet.data;
}

inline std::optional<Packet> Decode(const uint8_t* bytes, size_t size) {
  if (size < kHeaderBytes) return std::nullopt;
  if (size != kHeaderBytes + LoadNumber<uint16_t>(bytes, 0))
    return std::nullopt;
  Packet packet;
  packet.sum = LoadNumber<uint32_t>(bytes, 2);
  packet.flags = bytes[6];
  packet.echo = LoadNumber<uint32_t>(bytes, 8);
  packet.seq = LoadNumber<uint32_t>(bytes, 12);
  packet.ack = LoadNumber<uint32_t>(bytes, 16);
  packet.src = LoadNumber<uint32_t>(bytes, 20);
  packet.dport = LoadNumber<uint16_t>(bytes, 24);
  packet.dst = LoadNumber<uint32_t>(bytes, 26);
  packet.sport = LoadNumber<uint16_t>(bytes, 30);
  packet.data.assign(reinterpret_cast<const char*>(bytes) + kHeaderBytes,
                     size - kHeaderBytes);
  return packet;
}

}  // namespace review

#endif  // REVIEW_STANDINS_PACKET_H_
