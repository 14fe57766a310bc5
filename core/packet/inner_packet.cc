#include "core/packet/inner_packet.h"

#include "core/packet/bytes.h"
#include "core/packet/geneve.h"

namespace knapweedlift {
namespace {

constexpr size_t kIpv4HeaderSize = 20;
constexpr size_t kIpv6HeaderSize = 40;
constexpr size_t kIpv6ExtensionUnit = 8;
constexpr size_t kTcpHeaderSize = 20;
constexpr size_t kUdpHeaderSize = 8;
constexpr size_t kIcmpHeaderSize = 8;
// An ICMP error quotes at least the ports of the transport header.
constexpr size_t kQuotedPortsSize = 4;

constexpr uint16_t kIpv4FragmentMask = 0x3FFF;
constexpr uint8_t kIpv6HopByHop = 0;
constexpr uint8_t kIpv6Routing = 43;
constexpr uint8_t kIpv6Fragment = 44;
constexpr uint8_t kIpv6Destination = 60;
constexpr int kMaxIpv6Extensions = 8;

constexpr uint8_t kTcpFin = 0x01;
constexpr uint8_t kTcpSyn = 0x02;
constexpr uint8_t kTcpRst = 0x04;
constexpr uint8_t kTcpAck = 0x10;

// The fields of an IP header that a flow's key consists of, and the data after
// the header.
struct IpHeader {
  IpAddress source;
  IpAddress destination;
  uint8_t protocol = 0;
  std::span<const uint8_t> transport;
};

struct IpParseResult {
  std::optional<IpHeader> header;
  ResultCode error = ResultCode::kBadIpShort;
};

IpParseResult IpError(ResultCode code) { return {std::nullopt, code}; }
InnerPacketParseResult ParseError(ResultCode code) {
  return {std::nullopt, code};
}

// Parses an IPv4 packet. A packet quoted by an ICMP error is truncated, so its
// length field is not checked.
IpParseResult ParseIpv4(std::span<const uint8_t> bytes, bool truncated) {
  if (bytes.size() < kIpv4HeaderSize) return IpError(ResultCode::kBadIpShort);
  if ((bytes[0] >> 4) != 4) return IpError(ResultCode::kBadIpVersion);
  const size_t header_size = (bytes[0] & 0x0F) * size_t{4};
  const size_t total_size = ReadU16(bytes, 2);
  const bool header_fits =
      header_size >= kIpv4HeaderSize && header_size <= bytes.size();
  if (!header_fits) return IpError(ResultCode::kBadIpLength);
  if (!truncated && (total_size < header_size || total_size > bytes.size())) {
    return IpError(ResultCode::kBadIpLength);
  }
  if (!truncated && (ReadU16(bytes, 6) & kIpv4FragmentMask) != 0) {
    return IpError(ResultCode::kBadFragment);
  }
  const size_t end = truncated ? bytes.size() : total_size;
  return {IpHeader{.source = IpAddressFromV4(&bytes[12]),
                   .destination = IpAddressFromV4(&bytes[16]),
                   .protocol = bytes[9],
                   .transport = bytes.subspan(header_size, end - header_size)},
          {}};
}

// Skips the IPv6 extension headers before the transport header.
IpParseResult SkipIpv6Extensions(IpHeader header) {
  for (int i = 0; i < kMaxIpv6Extensions; ++i) {
    if (header.protocol == kIpv6Fragment) {
      return IpError(ResultCode::kBadFragment);
    }
    const bool extension = header.protocol == kIpv6HopByHop ||
                           header.protocol == kIpv6Routing ||
                           header.protocol == kIpv6Destination;
    if (!extension) return {header, {}};
    if (header.transport.size() < kIpv6ExtensionUnit) {
      return IpError(ResultCode::kBadIpShort);
    }
    const size_t size = kIpv6ExtensionUnit * (size_t{1} + header.transport[1]);
    if (header.transport.size() < size) {
      return IpError(ResultCode::kBadIpShort);
    }
    header.protocol = header.transport[0];
    header.transport = header.transport.subspan(size);
  }
  return IpError(ResultCode::kBadIpLength);
}

IpParseResult ParseIpv6(std::span<const uint8_t> bytes, bool truncated) {
  if (bytes.size() < kIpv6HeaderSize) return IpError(ResultCode::kBadIpShort);
  if ((bytes[0] >> 4) != 6) return IpError(ResultCode::kBadIpVersion);
  const size_t payload_size = ReadU16(bytes, 4);
  const size_t available = bytes.size() - kIpv6HeaderSize;
  if (!truncated && payload_size > available) {
    return IpError(ResultCode::kBadIpLength);
  }
  const size_t size = truncated ? available : payload_size;
  return SkipIpv6Extensions(
      IpHeader{.source = IpAddressFromV6(&bytes[8]),
               .destination = IpAddressFromV6(&bytes[24]),
               .protocol = bytes[6],
               .transport = bytes.subspan(kIpv6HeaderSize, size)});
}

IpParseResult ParseIp(uint16_t geneve_protocol, std::span<const uint8_t> bytes,
                      bool truncated) {
  return geneve_protocol == kGeneveProtocolIpv4 ? ParseIpv4(bytes, truncated)
                                                : ParseIpv6(bytes, truncated);
}

InnerPacketParseResult ParseTcp(const IpHeader& ip, PacketMetadata metadata) {
  const std::span<const uint8_t> tcp = ip.transport;
  if (tcp.size() < kTcpHeaderSize)
    return ParseError(ResultCode::kBadTransportShort);
  const size_t header_size = (tcp[12] >> 4) * size_t{4};
  if (header_size < kTcpHeaderSize || header_size > tcp.size()) {
    return ParseError(ResultCode::kBadTransportShort);
  }
  const uint8_t flags = tcp[13];
  const bool syn = (flags & kTcpSyn) != 0;
  metadata.fin = (flags & kTcpFin) != 0;
  metadata.rst = (flags & kTcpRst) != 0;
  if (syn && (metadata.fin || metadata.rst))
    return ParseError(ResultCode::kBadTcpFlags);
  // A SYN with data (TCP Fast Open) carries payload, so the flow must not be
  // placed again.
  const bool has_payload = tcp.size() > header_size;
  metadata.bare_syn = syn && (flags & kTcpAck) == 0 && !has_payload;
  return {metadata, {}};
}

InnerPacketParseResult ParseIcmp(const IpHeader& ip, uint16_t geneve_protocol) {
  if (ip.transport.size() < kIcmpHeaderSize) {
    return ParseError(ResultCode::kBadTransportShort);
  }
  const uint8_t type = ip.transport[0];
  const bool v4 = geneve_protocol == kGeneveProtocolIpv4;
  // ICMP errors are types 3 (unreachable, includes "fragmentation needed"), 11
  // (time exceeded) and 12 (parameter problem). ICMPv6 errors are types 1 to 4.
  const bool is_error =
      v4 ? (type == 3 || type == 11 || type == 12) : (type >= 1 && type <= 4);
  if (!is_error) return ParseError(ResultCode::kBadIcmpType);
  const IpParseResult quoted =
      ParseIp(geneve_protocol, ip.transport.subspan(kIcmpHeaderSize), true);
  if (!quoted.header.has_value()) return ParseError(quoted.error);
  const IpHeader& quoted_ip = *quoted.header;
  if (quoted_ip.protocol != kProtocolTcp &&
      quoted_ip.protocol != kProtocolUdp) {
    return ParseError(ResultCode::kBadTransportProtocol);
  }
  if (quoted_ip.transport.size() < kQuotedPortsSize) {
    return ParseError(ResultCode::kBadTransportShort);
  }
  // The backend server sent the quoted packet to the caller, so source and
  // destination are swapped.
  return {PacketMetadata{
              .key = {.source = quoted_ip.destination,
                      .destination = quoted_ip.source,
                      .source_port = ReadU16(quoted_ip.transport, 2),
                      .destination_port = ReadU16(quoted_ip.transport, 0),
                      .protocol = quoted_ip.protocol},
              .icmp_error = true},
          {}};
}

}  // namespace

InnerPacketParseResult ParseInnerPacket(uint16_t geneve_protocol,
                                        std::span<const uint8_t> bytes) {
  const IpParseResult result = ParseIp(geneve_protocol, bytes, false);
  if (!result.header.has_value()) return ParseError(result.error);
  const IpHeader& ip = *result.header;
  const bool v4 = geneve_protocol == kGeneveProtocolIpv4;
  if (ip.protocol == (v4 ? kProtocolIcmp : kProtocolIcmpV6)) {
    return ParseIcmp(ip, geneve_protocol);
  }
  if (ip.protocol != kProtocolTcp && ip.protocol != kProtocolUdp) {
    return ParseError(ResultCode::kBadTransportProtocol);
  }
  if (ip.transport.size() < kUdpHeaderSize) {
    return ParseError(ResultCode::kBadTransportShort);
  }
  PacketMetadata metadata{.key = {.source = ip.source,
                                  .destination = ip.destination,
                                  .source_port = ReadU16(ip.transport, 0),
                                  .destination_port = ReadU16(ip.transport, 2),
                                  .protocol = ip.protocol}};
  if (ip.protocol == kProtocolTcp) return ParseTcp(ip, metadata);
  return {metadata, {}};
}

}  // namespace knapweedlift
