#include "lab/packet_codec.h"

#include <tins/tins.h>

#include <memory>

#include "core/packet/geneve.h"
#include "core/packet/inner_packet.h"

namespace knapweedlift::lab {
namespace {

template <typename Transport>
void ParsePortsAndPayload(const Transport& transport, Segment& segment) {
  segment.key.source_port = transport.sport();
  segment.key.destination_port = transport.dport();
  const auto* raw = transport.template find_pdu<Tins::RawPDU>();
  if (raw == nullptr) return;
  segment.payload.assign(raw->payload().begin(), raw->payload().end());
}

bool ParseTransport(const Tins::PDU& packet, Segment& segment) {
  if (const auto* tcp = packet.find_pdu<Tins::TCP>()) {
    segment.key.protocol = kProtocolTcp;
    segment.sequence = tcp->seq();
    segment.acknowledged = tcp->ack_seq();
    segment.flags = static_cast<uint8_t>(tcp->flags());
    ParsePortsAndPayload(*tcp, segment);
    return true;
  }
  if (const auto* udp = packet.find_pdu<Tins::UDP>()) {
    segment.key.protocol = kProtocolUdp;
    ParsePortsAndPayload(*udp, segment);
    return true;
  }
  return false;
}

IpAddress ToIpAddress(const Tins::IPv4Address& address) {
  const uint32_t raw = address;
  return IpAddressFromV4(reinterpret_cast<const uint8_t*>(&raw));
}

IpAddress ToIpAddress(const Tins::IPv6Address& address) {
  return IpAddressFromV6(&*address.begin());
}

std::unique_ptr<Tins::PDU> BuildTransport(const Segment& segment) {
  if (segment.key.protocol == kProtocolTcp) {
    auto tcp = std::make_unique<Tins::TCP>(segment.key.destination_port,
                                           segment.key.source_port);
    tcp->seq(segment.sequence);
    tcp->ack_seq(segment.acknowledged);
    tcp->flags(segment.flags);
    return tcp;
  }
  return std::make_unique<Tins::UDP>(segment.key.destination_port,
                                     segment.key.source_port);
}

}  // namespace

std::vector<uint8_t> BuildPacket(const Segment& segment) {
  std::unique_ptr<Tins::PDU> packet;
  const std::string source = FormatIpAddress(segment.key.source);
  const std::string destination = FormatIpAddress(segment.key.destination);
  if (IsV4(segment.key.source)) {
    packet = std::make_unique<Tins::IP>(destination, source);
  } else {
    packet = std::make_unique<Tins::IPv6>(destination, source);
  }
  const std::unique_ptr<Tins::PDU> transport = BuildTransport(segment);
  if (!segment.payload.empty()) *transport /= Tins::RawPDU(segment.payload);
  *packet /= *transport;
  return packet->serialize();
}

std::optional<Segment> ParsePacket(std::span<const uint8_t> bytes) {
  if (bytes.empty()) return std::nullopt;
  Segment segment;
  try {
    const auto size = static_cast<uint32_t>(bytes.size());
    if ((bytes[0] >> 4) == 4) {
      const Tins::IP ip(bytes.data(), size);
      segment.key.source = ToIpAddress(ip.src_addr());
      segment.key.destination = ToIpAddress(ip.dst_addr());
      if (!ParseTransport(ip, segment)) return std::nullopt;
      return segment;
    }
    const Tins::IPv6 ip(bytes.data(), size);
    segment.key.source = ToIpAddress(ip.src_addr());
    segment.key.destination = ToIpAddress(ip.dst_addr());
    if (!ParseTransport(ip, segment)) return std::nullopt;
    return segment;
  } catch (const Tins::exception_base&) {
    return std::nullopt;
  }
}

uint16_t GeneveProtocolType(const FlowKey& key) {
  return IsV4(key.source) ? kGeneveProtocolIpv4 : kGeneveProtocolIpv6;
}

std::vector<uint8_t> BuildGeneveDatagram(uint32_t vni, const Segment& segment) {
  std::vector<uint8_t> bytes(kMaxGeneveHeaderSize);
  bytes.resize(WriteGeneveHeader(vni, GeneveProtocolType(segment.key),
                                 std::nullopt, bytes));
  const std::vector<uint8_t> packet = BuildPacket(segment);
  bytes.insert(bytes.end(), packet.begin(), packet.end());
  return bytes;
}

FlowKey Reverse(const FlowKey& key) {
  return {.source = key.destination,
          .destination = key.source,
          .source_port = key.destination_port,
          .destination_port = key.source_port,
          .protocol = key.protocol};
}

}  // namespace knapweedlift::lab
