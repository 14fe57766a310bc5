#ifndef KNAPWEEDLIFT_LAB_PACKET_CODEC_H_
#define KNAPWEEDLIFT_LAB_PACKET_CODEC_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/flow/flow_key.h"

namespace knapweedlift::lab {

inline constexpr uint8_t kFin = 0x01;
inline constexpr uint8_t kSyn = 0x02;
inline constexpr uint8_t kRst = 0x04;
inline constexpr uint8_t kAck = 0x10;

// A packet of a caller or a backend server.
struct Segment {
  FlowKey key;
  uint32_t sequence = 0;
  uint32_t acknowledged = 0;
  uint8_t flags = 0;
  std::string payload;

  auto operator<=>(const Segment&) const = default;
};

// Bytes of the IP packet.
std::vector<uint8_t> BuildPacket(const Segment& segment);

// Reads an IP packet; nothing where it is neither TCP nor UDP.
std::optional<Segment> ParsePacket(std::span<const uint8_t> bytes);

// Geneve protocol type of the packet's IP version.
uint16_t GeneveProtocolType(const FlowKey& key);

// The packet in a Geneve datagram.
std::vector<uint8_t> BuildGeneveDatagram(uint32_t vni, const Segment& segment);

// For maps by flow.
struct FlowKeyHash {
  size_t operator()(const FlowKey& key) const { return Fingerprint(key, 0); }
};

// The key of the opposite direction.
FlowKey Reverse(const FlowKey& key);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_PACKET_CODEC_H_
