#ifndef KNAPWEEDLIFT_LAB_MARKS_SEGMENT_H_
#define KNAPWEEDLIFT_LAB_MARKS_SEGMENT_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "platform/packet_header.h"

namespace knapweedlift::lab {

// A packet between the two ends of a flow.
struct Segment {
  platform::PacketHeader header;
  std::string data;

  auto operator<=>(const Segment&) const = default;
};

// Bytes of a packet whose sum only the two ends can make.
std::vector<uint8_t> EncodeSegment(Segment segment);

// What a received packet is to its reader.
struct DecodedSegment {
  std::optional<Segment> segment;
  // Somebody else made or altered it. A reset without a sum is the system's
  // own.
  bool invalid = false;
};

DecodedSegment DecodeSegment(std::span<const uint8_t> bytes);

// The answer's head for a packet: addresses turned round, its echo sent back.
platform::PacketHeader MakeReplyHeader(const platform::PacketHeader& header);

bool HasFlag(const Segment& segment, uint8_t flag);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_MARKS_SEGMENT_H_
