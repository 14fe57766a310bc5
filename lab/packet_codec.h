#ifndef KNAPWEEDLIFT_LAB_PACKET_CODEC_H_
#define KNAPWEEDLIFT_LAB_PACKET_CODEC_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/flow/flow_key.h"

namespace knapweedlift::lab {

// Flags of the TCP header.
inline constexpr uint8_t kFin = 0x01;
inline constexpr uint8_t kSyn = 0x02;
inline constexpr uint8_t kRst = 0x04;
inline constexpr uint8_t kAck = 0x10;

// A TCP segment or UDP datagram of a client or a backend server. The sequence
// numbers and flags apply to TCP only.
struct Segment {
  FlowKey key;
  uint32_t sequence = 0;
  uint32_t acknowledged = 0;
  uint8_t flags = 0;
  std::string payload;

  auto operator<=>(const Segment&) const = default;
};

// Serializes the segment as an IP packet.
std::vector<uint8_t> BuildPacket(const Segment& segment);

// Parses an IP packet. Returns nothing if it is malformed or neither TCP nor
// UDP.
std::optional<Segment> ParsePacket(std::span<const uint8_t> bytes);

// Returns the Geneve protocol type for the IP version of the flow.
uint16_t GeneveProtocolType(const FlowKey& key);

// Serializes the segment as an IP packet encapsulated in Geneve.
std::vector<uint8_t> BuildGeneveDatagram(uint32_t vni, const Segment& segment);

// Hash for unordered maps keyed by flow.
struct FlowKeyHash {
  size_t operator()(const FlowKey& key) const { return Fingerprint(key, 0); }
};

// Returns the key of the opposite direction.
FlowKey Reverse(const FlowKey& key);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_PACKET_CODEC_H_
