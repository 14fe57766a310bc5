#ifndef KNAPWEEDLIFT_CORE_PACKET_MARKED_PACKET_H_
#define KNAPWEEDLIFT_CORE_PACKET_MARKED_PACKET_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "core/flow/flow_key.h"
#include "core/mark/mark.h"

namespace knapweedlift {

// Fields of a caller's packet that can carry a mark, as far as the forwarding
// decision depends on them.
struct MarkedPacket {
  FlowKey key;
  bool syn = false;
  bool ack = false;
  bool fin = false;
  bool rst = false;
  Mark mark = kNoMark;
  uint32_t sequence = 0;
  // Sequence number of the next byte that the caller expects; 0 in a SYN.
  uint32_t acknowledged = 0;
  // Number of times that the caller sent this SYN before; 0 in other packets.
  uint32_t retransmit_count = 0;
  uint16_t payload_size = 0;

  bool operator==(const MarkedPacket&) const = default;
};

// Large enough for any packet that can carry a mark; these are never
// fragmented.
inline constexpr size_t kMaxMarkedDatagramBytes = 1'536;
// Maximum size of a header written by WriteInstanceHeader.
inline constexpr size_t kMaxInstanceHeaderBytes = 16;
// Maximum size of a packet written by WriteReset.
inline constexpr size_t kMaxResetBytes = 64;

// Wire format of packets that carry marks.
class MarkedPacketCodec {
 public:
  virtual ~MarkedPacketCodec() = default;

  // Parses a caller's packet. Returns nothing if the bytes are not a valid one.
  virtual std::optional<MarkedPacket> Parse(
      std::span<const uint8_t> packet) const = 0;

  // Returns the id of the request that starts in a packet accepted by Parse, or
  // an empty view if there is none. The view points into the packet.
  virtual std::string_view RequestId(std::span<const uint8_t> packet) const = 0;

  // Replaces the mark in a packet accepted by Parse.
  virtual void WriteMark(std::span<uint8_t> packet, Mark mark) const = 0;

  // Writes the header that precedes a packet on its way to the backend server
  // with this instance number. Returns the header's size in bytes.
  virtual size_t WriteInstanceHeader(uint64_t instance,
                                     std::span<uint8_t> header) const = 0;

  // Writes a reset that terminates the flow of `packet` at its caller. Returns
  // its size in bytes.
  virtual size_t WriteReset(const MarkedPacket& packet,
                            std::span<uint8_t> reset) const = 0;
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_PACKET_MARKED_PACKET_H_
