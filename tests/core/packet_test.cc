#include "core/packet/geneve.h"
#include "core/packet/inner_packet.h"
#include "tests/support/properties.h"

using namespace knapweedlift;

namespace {

using Bytes = std::vector<uint8_t>;

// Builds an IPv4 packet from 10.0.0.0:4608 to 11.0.0.0:443 with TCP headers
// without options.
Bytes TcpPacket(uint8_t flags, size_t payload) {
  Bytes bytes(40 + payload, 0);
  bytes[0] = 0x45;
  bytes[3] = static_cast<uint8_t>(bytes.size());
  bytes[9] = kProtocolTcp;
  bytes[12] = 10;
  bytes[16] = 11;
  bytes[20] = 0x12;
  bytes[22] = 0x01;
  bytes[23] = 0xBB;
  bytes[32] = 0x50;
  bytes[33] = flags;
  return bytes;
}

ResultCode ErrorOf(const Bytes& bytes, uint16_t protocol = 0x0800) {
  const InnerPacketParseResult result = ParseInnerPacket(protocol, bytes);
  cr_assert(!result.metadata.has_value());
  return result.error;
}

}  // namespace

Test(packet, only_a_syn_without_payload_opens_a_flow) {
  cr_expect(ParseInnerPacket(0x0800, TcpPacket(0x02, 0)).metadata->bare_syn);
  cr_expect(not ParseInnerPacket(0x0800, TcpPacket(0x02, 5)).metadata->bare_syn,
            "TCP Fast Open data counts as payload");
  cr_expect(
      not ParseInnerPacket(0x0800, TcpPacket(0x12, 0)).metadata->bare_syn);
}

Test(packet, malformed_packets_are_rejected_with_a_reason) {
  using enum ResultCode;
  cr_expect(ErrorOf({}) == kBadIpShort);
  cr_expect(ErrorOf(TcpPacket(0x02, 0), 0x86DD) == kBadIpVersion);
  cr_expect(ErrorOf(TcpPacket(0x03, 0)) == kBadTcpFlags);
  Bytes fragment = TcpPacket(0x10, 0);
  fragment[6] = 0x20;
  cr_expect(ErrorOf(fragment) == kBadFragment);
  Bytes truncated = TcpPacket(0x10, 0);
  truncated.resize(30);
  cr_expect(ErrorOf(truncated) == kBadIpLength);
  Bytes protocol = TcpPacket(0x10, 0);
  protocol[9] = 132;
  cr_expect(ErrorOf(protocol) == kBadTransportProtocol);
}

Test(packet, an_icmp_error_belongs_to_the_quoted_flow) {
  // The service (11.0.0.0) sent the quoted packet to the caller (10.0.0.0).
  Bytes quoted = TcpPacket(0x10, 0);
  std::swap(quoted[12], quoted[16]);
  std::swap_ranges(&quoted[20], &quoted[22], &quoted[22]);
  Bytes icmp(28, 0);
  icmp[0] = 0x45;
  icmp[3] = 28 + 28;
  icmp[9] = kProtocolIcmp;
  icmp[20] = 3;
  icmp[21] = 4;
  icmp.insert(icmp.end(), quoted.begin(), quoted.begin() + 28);
  const auto metadata = ParseInnerPacket(0x0800, icmp).metadata;
  const auto flow = ParseInnerPacket(0x0800, TcpPacket(0x10, 0)).metadata;
  cr_assert(metadata.has_value());
  cr_expect(metadata->icmp_error);
  cr_expect(metadata->key == flow->key);
}

Test(packet, geneve_header_survives_a_round_trip) {
  ExpectProperty("round trip", [](uint32_t vni, uint32_t ingress_vm,
                                  uint8_t hops, bool relayed,
                                  const Bytes& payload) {
    const std::optional<RelayOption> relay_option =
        relayed ? std::optional(RelayOption{ingress_vm, hops}) : std::nullopt;
    Bytes bytes(kMaxGeneveHeaderSize);
    bytes.resize(
        WriteGeneveHeader(vni & 0xFFFFFF, 0x0800, relay_option, bytes));
    bytes.insert(bytes.end(), payload.begin(), payload.end());
    const auto packet = ParseGeneve(bytes).packet;
    RC_ASSERT(packet.has_value());
    RC_ASSERT(packet->vni == (vni & 0xFFFFFF));
    RC_ASSERT(packet->relay_option == relay_option);
    RC_ASSERT(std::ranges::equal(packet->payload, payload));
  });
}

Test(packet, an_unknown_critical_option_is_rejected) {
  Bytes bytes = {0x01, 0, 0x08, 0, 0, 0, 1, 0, 0x01, 0x02, 0x80, 0};
  cr_expect(ParseGeneve(bytes).error == ResultCode::kBadGeneveOption);
  bytes[10] = 0x01;
  cr_expect(ParseGeneve(bytes).packet.has_value(),
            "an unknown option that is not critical is skipped");
}

Test(packet, arbitrary_bytes_do_not_crash_the_parsers) {
  // Mutated and truncated valid packets reach deeper into the parsers than
  // random bytes do.
  ExpectProperty("mutated packets", [](const Bytes& noise, bool v6) {
    Bytes bytes = TcpPacket(0x10, 20);
    if (v6) bytes[0] = 0x60;
    for (size_t i = 0; i + 1 < noise.size(); i += 2) {
      bytes[noise[i] % bytes.size()] = noise[i + 1];
    }
    if (!noise.empty()) bytes.resize(noise[0] % (bytes.size() + 1));
    const uint16_t protocol = v6 ? 0x86DD : 0x0800;
    const auto first = ParseInnerPacket(protocol, bytes);
    const auto again = ParseInnerPacket(protocol, bytes);
    RC_ASSERT(first.metadata == again.metadata);
    ParseGeneve(bytes);
    ParseGeneve(noise);
  });
}
