#ifndef KNAPWEEDLIFT_LAB_MARKS_SEGMENT_H_
#define KNAPWEEDLIFT_LAB_MARKS_SEGMENT_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "platform/packet_header.h"

namespace knapweedlift::lab {

// A packet between the two endpoints of a flow.
struct Segment {
  platform::PacketHeader header;
  std::string data;

  auto operator<=>(const Segment&) const = default;
};

// Encodes a packet with a keyed checksum, so that an endpoint detects packets
// that the load balancer has altered or made up.
std::vector<uint8_t> EncodeSegment(Segment segment);

// Result of decoding a received packet.
struct DecodedSegment {
  std::optional<Segment> segment;
  // The header is malformed or the checksum does not match. A reset without
  // data whose checksum is 0 is valid: the load balancer sends those.
  bool invalid = false;
};

// Parses a packet and verifies its checksum.
DecodedSegment DecodeSegment(std::span<const uint8_t> bytes);

// Returns the header of a reply: source and destination swapped, mark echoed.
platform::PacketHeader MakeReplyHeader(const platform::PacketHeader& header);

bool HasFlag(const Segment& segment, uint8_t flag);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_MARKS_SEGMENT_H_
