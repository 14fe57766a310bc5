#include "lab/marks/segment.h"

#include <xxhash.h>

#include <algorithm>

namespace knapweedlift::lab {
namespace {

constexpr uint64_t kChecksumSeed = 0x5EA1;

uint32_t ComputeChecksum(const Segment& segment) {
  platform::PacketHeader header = segment.header;
  header.checksum = 0;
  header.mark = kNoMark;
  std::vector<uint8_t> bytes(platform::kPacketHeaderBytes +
                             segment.data.size());
  platform::WritePacketHeader(header, bytes);
  std::copy(segment.data.begin(), segment.data.end(),
            bytes.begin() + platform::kPacketHeaderBytes);
  const auto checksum =
      static_cast<uint32_t>(XXH64(bytes.data(), bytes.size(), kChecksumSeed));
  // 0 is reserved for resets that the load balancer sends.
  return checksum == 0 ? 1 : checksum;
}

}  // namespace

std::vector<uint8_t> EncodeSegment(Segment segment) {
  segment.header.payload_size = static_cast<uint16_t>(segment.data.size());
  segment.header.checksum = ComputeChecksum(segment);
  std::vector<uint8_t> bytes(platform::kPacketHeaderBytes +
                             segment.data.size());
  platform::WritePacketHeader(segment.header, bytes);
  std::copy(segment.data.begin(), segment.data.end(),
            bytes.begin() + platform::kPacketHeaderBytes);
  return bytes;
}

DecodedSegment DecodeSegment(std::span<const uint8_t> bytes) {
  const auto header = platform::ParsePacketHeader(bytes);
  if (!header.has_value()) return {.invalid = true};
  Segment segment{.header = *header};
  const auto data = bytes.subspan(platform::kPacketHeaderBytes);
  segment.data.assign(data.begin(), data.end());
  const bool system_reset = header->flags == platform::kFlagRst &&
                            header->checksum == 0 && segment.data.empty();
  const bool valid =
      system_reset || header->checksum == ComputeChecksum(segment);
  return {.segment = std::move(segment), .invalid = !valid};
}

platform::PacketHeader MakeReplyHeader(const platform::PacketHeader& header) {
  return {.mark = header.mark,
          .source = header.destination,
          .source_port = header.destination_port,
          .destination = header.source,
          .destination_port = header.source_port};
}

bool HasFlag(const Segment& segment, uint8_t flag) {
  return (segment.header.flags & flag) != 0;
}

}  // namespace knapweedlift::lab
