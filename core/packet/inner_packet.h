#ifndef KNAPWEEDLIFT_CORE_PACKET_INNER_PACKET_H_
#define KNAPWEEDLIFT_CORE_PACKET_INNER_PACKET_H_

#include <cstdint>
#include <optional>
#include <span>

#include "core/flow/flow_key.h"
#include "core/result_code.h"

namespace knapweedlift {

inline constexpr uint8_t kProtocolIcmp = 1;
inline constexpr uint8_t kProtocolTcp = 6;
inline constexpr uint8_t kProtocolUdp = 17;
inline constexpr uint8_t kProtocolIcmpV6 = 58;

// Fields of a caller's packet that the forwarding decision depends on.
struct PacketMetadata {
  FlowKey key;
  // TCP segment with SYN but neither ACK nor payload. Only such a packet may
  // open a flow.
  bool bare_syn = false;
  bool fin = false;
  bool rst = false;
  // The packet is an ICMP error. `key` identifies the flow of the packet that
  // it quotes, in the direction from the caller to the server.
  bool icmp_error = false;

  bool operator==(const PacketMetadata&) const = default;
};

// The parsed metadata, or the reason for the packet's rejection if `metadata`
// is empty.
struct InnerPacketParseResult {
  std::optional<PacketMetadata> metadata;
  ResultCode error = ResultCode::kBadIpShort;
};

// Parses the IP packet inside a Geneve datagram with the given protocol type.
// Never reads past the end of `bytes`.
InnerPacketParseResult ParseInnerPacket(uint16_t geneve_protocol,
                                        std::span<const uint8_t> bytes);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_PACKET_INNER_PACKET_H_
