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

// What the decision needs to know of a caller's packet that can carry a mark.
struct MarkedPacket {
  FlowKey key;
  bool syn = false;
  bool ack = false;
  bool fin = false;
  bool rst = false;
  Mark mark = kNoMark;
  uint32_t sequence = 0;
  // Next byte that the caller expects; 0 in a SYN.
  uint32_t acknowledged = 0;
  // How many copies of this SYN the caller sent before; 0 in other packets.
  uint32_t retransmit_count = 0;
  uint16_t payload_size = 0;

  bool operator==(const MarkedPacket&) const = default;
};

// Room for any packet that can carry a mark; none is fragmented.
inline constexpr size_t kMaxMarkedDatagramBytes = 1'536;
// Bytes that WriteInstanceHeader writes at most.
inline constexpr size_t kMaxInstanceHeaderBytes = 16;
// Bytes that WriteReset writes at most.
inline constexpr size_t kMaxResetBytes = 64;

// How packets with marks look on the network.
class MarkedPacketCodec {
 public:
  virtual ~MarkedPacketCodec() = default;

  // Reads a caller's packet; nothing where the bytes are none.
  virtual std::optional<MarkedPacket> Parse(
      std::span<const uint8_t> packet) const = 0;

  // The id of the request that begins in a packet that Read has accepted; empty
  // where the packet shows none. Points into the packet.
  virtual std::string_view RequestId(std::span<const uint8_t> packet) const = 0;

  // Replaces the mark in a packet that Read has accepted.
  virtual void WriteMark(std::span<uint8_t> packet, Mark mark) const = 0;

  // Writes what stands before a packet for the server with this number.
  // Returns the size.
  virtual size_t WriteInstanceHeader(uint64_t instance,
                                     std::span<uint8_t> header) const = 0;

  // Writes a packet that ends the flow of `packet` at its caller. Returns the
  // size.
  virtual size_t WriteReset(const MarkedPacket& packet,
                            std::span<uint8_t> reset) const = 0;
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_PACKET_MARKED_PACKET_H_
