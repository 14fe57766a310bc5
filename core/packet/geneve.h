#ifndef KNAPWEEDLIFT_CORE_PACKET_GENEVE_H_
#define KNAPWEEDLIFT_CORE_PACKET_GENEVE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "core/ids.h"
#include "core/result_code.h"

namespace knapweedlift {

// Room for a jumbo frame with its encapsulation.
inline constexpr size_t kMaxGeneveDatagramBytes = 9'216;

// Geneve (RFC 8926) carries packets from the fabric, between VMs and to the
// backend servers.

inline constexpr size_t kGeneveHeaderSize = 8;
inline constexpr uint16_t kGeneveProtocolIpv4 = 0x0800;
inline constexpr uint16_t kGeneveProtocolIpv6 = 0x86DD;

// Option class of the range that RFC 8926 reserves for experimental use.
inline constexpr uint16_t kRelayOptionClass = 0xFF4B;
inline constexpr uint8_t kRelayOptionType = 0x01;
inline constexpr size_t kRelayOptionSize = 12;

// Accompanies a packet that one VM hands to another.
struct RelayOption {
  // The VM that the fabric gave the packet to; it hears of the flow's server.
  VmId ingress_vm = kNoVm;
  // VMs that have passed the packet on, 1 for the first.
  uint8_t hops = 0;
  // Where a VM on the way sent the flow's SYN; kNoServer where none knows.
  ServerId server_hint = kNoServer;

  bool operator==(const RelayOption&) const = default;
};

struct GenevePacket {
  uint32_t vni = 0;
  uint16_t protocol = 0;
  std::optional<RelayOption> relay_option;
  std::span<const uint8_t> payload;
};

// Either a value or the reason why the bytes were refused.
struct GeneveParseResult {
  std::optional<GenevePacket> packet;
  ResultCode error = ResultCode::kBadGeneveShort;
};

// Reads a datagram. The payload refers to `datagram`.
GeneveParseResult ParseGeneve(std::span<const uint8_t> datagram);

// Largest header that WriteGeneveHeader writes, in bytes.
inline constexpr size_t kMaxGeneveHeaderSize =
    kGeneveHeaderSize + kRelayOptionSize;

// Writes a header into `out`, which holds at least kMaxGeneveHeaderSize bytes.
// Returns the bytes written.
size_t WriteGeneveHeader(uint32_t vni, uint16_t protocol,
                         const std::optional<RelayOption>& relay_option,
                         std::span<uint8_t> out);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_PACKET_GENEVE_H_
