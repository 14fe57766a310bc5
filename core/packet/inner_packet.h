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

// What the decision needs to know of a caller's packet.
struct PacketMetadata {
  FlowKey key;
  // TCP with SYN alone and no payload: the only packet that may open a flow.
  bool bare_syn = false;
  bool fin = false;
  bool rst = false;
  // An ICMP error; `key` is the flow that it quotes, in the caller's direction.
  bool icmp_error = false;

  bool operator==(const PacketMetadata&) const = default;
};

struct InnerPacketParseResult {
  std::optional<PacketMetadata> metadata;
  ResultCode error = ResultCode::kBadIpShort;
};

// Reads the IP packet inside a Geneve datagram of the given protocol type.
// Never reads past `bytes`.
InnerPacketParseResult ParseInnerPacket(uint16_t geneve_protocol,
                                        std::span<const uint8_t> bytes);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_PACKET_INNER_PACKET_H_
