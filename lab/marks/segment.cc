#include "lab/marks/segment.h"

#include <xxhash.h>

#include <algorithm>

namespace knapweedlift::lab {
namespace {

constexpr uint64_t kSumKey = 0x5EA1;

uint32_t SumOf(const Segment& segment) {
  platform::PacketHeader head = segment.head;
  head.checksum = 0;
  head.mark = kNoMark;
  std::vector<uint8_t> bytes(platform::kPacketHeaderBytes +
                             segment.data.size());
  platform::WritePacketHeader(head, bytes);
  std::copy(segment.data.begin(), segment.data.end(),
            bytes.begin() + platform::kPacketHeaderBytes);
  const auto sum =
      static_cast<uint32_t>(XXH64(bytes.data(), bytes.size(), kSumKey));
  // 0 is what resets of the system carry.
  return sum == 0 ? 1 : sum;
}

}  // namespace

std::vector<uint8_t> EncodeSegment(Segment segment) {
  segment.head.payload_size = static_cast<uint16_t>(segment.data.size());
  segment.head.checksum = SumOf(segment);
  std::vector<uint8_t> bytes(platform::kPacketHeaderBytes +
                             segment.data.size());
  platform::WritePacketHeader(segment.head, bytes);
  std::copy(segment.data.begin(), segment.data.end(),
            bytes.begin() + platform::kPacketHeaderBytes);
  return bytes;
}

ReadSegment DecodeSegment(std::span<const uint8_t> bytes) {
  const auto head = platform::ParsePacketHeader(bytes);
  if (!head.has_value()) return {.forged = true};
  Segment segment{.head = *head};
  const auto data = bytes.subspan(platform::kPacketHeaderBytes);
  segment.data.assign(data.begin(), data.end());
  const bool own_reset = head->flags == platform::kFlagRst &&
                         head->checksum == 0 && segment.data.empty();
  const bool good = own_reset || head->checksum == SumOf(segment);
  return {.segment = std::move(segment), .forged = !good};
}

platform::PacketHeader AnswerHead(const platform::PacketHeader& head) {
  return {.mark = head.mark,
          .source = head.destination,
          .source_port = head.destination_port,
          .destination = head.source,
          .destination_port = head.source_port};
}

bool HasFlag(const Segment& segment, uint8_t flag) {
  return (segment.head.flags & flag) != 0;
}

}  // namespace knapweedlift::lab
