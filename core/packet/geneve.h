#ifndef KNAPWEEDLIFT_CORE_PACKET_GENEVE_H_
#define KNAPWEEDLIFT_CORE_PACKET_GENEVE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "core/ids.h"
#include "core/result_code.h"

namespace knapweedlift {

// Large enough for a jumbo frame with its encapsulation.
inline constexpr size_t kMaxGeneveDatagramBytes = 9'216;

// Geneve (RFC 8926) carries packets from the fabric, between VMs and to the
// backend servers.

inline constexpr size_t kGeneveHeaderSize = 8;
inline constexpr uint16_t kGeneveProtocolIpv4 = 0x0800;
inline constexpr uint16_t kGeneveProtocolIpv6 = 0x86DD;

// Option class from the range that RFC 8926 reserves for experimental use.
inline constexpr uint16_t kRelayOptionClass = 0xFF4B;
inline constexpr uint8_t kRelayOptionType = 0x01;
inline constexpr size_t kRelayOptionSize = 12;

// Geneve option of a packet that one VM relays to another.
struct RelayOption {
  // VM that received the packet from the fabric. It is notified of the flow's
  // backend server.
  VmId ingress_vm = kNoVm;
  // Number of times that the packet was relayed; 1 at the first receiver.
  uint8_t hops = 0;
  // Backend server to which a VM on the path forwarded the flow's SYN;
  // kNoServer if none knows it.
  ServerId server_hint = kNoServer;

  bool operator==(const RelayOption&) const = default;
};

struct GenevePacket {
  uint32_t vni = 0;
  uint16_t protocol = 0;
  std::optional<RelayOption> relay_option;
  std::span<const uint8_t> payload;
};

// The parsed packet, or the reason for its rejection if `packet` is empty.
struct GeneveParseResult {
  std::optional<GenevePacket> packet;
  ResultCode error = ResultCode::kBadGeneveShort;
};

// Parses a Geneve datagram. The returned payload points into `datagram`.
GeneveParseResult ParseGeneve(std::span<const uint8_t> datagram);

// Maximum size in bytes of a header written by WriteGeneveHeader.
inline constexpr size_t kMaxGeneveHeaderSize =
    kGeneveHeaderSize + kRelayOptionSize;

// Writes a Geneve header to `out`, which must hold at least
// kMaxGeneveHeaderSize bytes. Returns the header's size in bytes.
size_t WriteGeneveHeader(uint32_t vni, uint16_t protocol,
                         const std::optional<RelayOption>& relay_option,
                         std::span<uint8_t> out);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_PACKET_GENEVE_H_
