#include "core/packet/geneve.h"

#include "core/packet/bytes.h"

namespace knapweedlift {
namespace {

constexpr size_t kOptionHeaderSize = 4;
constexpr size_t kOptionUnit = 4;
constexpr uint8_t kCriticalBit = 0x80;
constexpr uint8_t kOptionLengthMask = 0x1F;
constexpr uint8_t kHeaderOptionLengthMask = 0x3F;
constexpr int kVersionShift = 6;

GeneveParseResult ParseError(ResultCode code) { return {std::nullopt, code}; }

// Parses the options. Returns false if one is malformed, or is critical and
// unknown.
bool ParseOptions(std::span<const uint8_t> options, GenevePacket& packet) {
  size_t offset = 0;
  while (offset < options.size()) {
    if (options.size() - offset < kOptionHeaderSize) return false;
    const uint16_t option_class = ReadU16(options, offset);
    const uint8_t type = options[offset + 2];
    const size_t size = kOptionHeaderSize +
                        kOptionUnit * (options[offset + 3] & kOptionLengthMask);
    if (options.size() - offset < size) return false;
    const bool known =
        option_class == kRelayOptionClass && type == kRelayOptionType;
    if (known) {
      if (size != kRelayOptionSize) return false;
      packet.relay_option =
          RelayOption{.ingress_vm = ReadU32(options, offset + 4),
                      .hops = options[offset + 8],
                      .server_hint = ReadU16(options, offset + 10)};
    } else if ((type & kCriticalBit) != 0) {
      return false;
    }
    offset += size;
  }
  return true;
}

}  // namespace

GeneveParseResult ParseGeneve(std::span<const uint8_t> datagram) {
  if (datagram.size() < kGeneveHeaderSize) {
    return ParseError(ResultCode::kBadGeneveShort);
  }
  if ((datagram[0] >> kVersionShift) != 0) {
    return ParseError(ResultCode::kBadGeneveVersion);
  }
  const size_t options_size =
      kOptionUnit * (datagram[0] & kHeaderOptionLengthMask);
  const size_t header_size = kGeneveHeaderSize + options_size;
  if (datagram.size() < header_size) {
    return ParseError(ResultCode::kBadGeneveShort);
  }
  GenevePacket packet;
  packet.protocol = ReadU16(datagram, 2);
  if (packet.protocol != kGeneveProtocolIpv4 &&
      packet.protocol != kGeneveProtocolIpv6) {
    return ParseError(ResultCode::kBadGeneveProtocol);
  }
  packet.vni = ReadU32(datagram, 4) >> 8;
  if (!ParseOptions(datagram.subspan(kGeneveHeaderSize, options_size),
                    packet)) {
    return ParseError(ResultCode::kBadGeneveOption);
  }
  packet.payload = datagram.subspan(header_size);
  return {packet, {}};
}

size_t WriteGeneveHeader(uint32_t vni, uint16_t protocol,
                         const std::optional<RelayOption>& relay_option,
                         std::span<uint8_t> out) {
  const size_t options_size = relay_option.has_value() ? kRelayOptionSize : 0;
  out[0] = static_cast<uint8_t>(options_size / kOptionUnit);
  out[1] = 0;
  WriteU16(out, 2, protocol);
  WriteU32(out, 4, vni << 8);
  if (!relay_option.has_value()) return kGeneveHeaderSize;
  const std::span<uint8_t> option = out.subspan(kGeneveHeaderSize);
  WriteU16(option, 0, kRelayOptionClass);
  option[2] = kRelayOptionType;
  option[3] = (kRelayOptionSize - kOptionHeaderSize) / kOptionUnit;
  WriteU32(option, 4, relay_option->ingress_vm);
  WriteU16(option, 8, static_cast<uint16_t>(relay_option->hops << 8));
  WriteU16(option, 10, relay_option->server_hint);
  return kGeneveHeaderSize + kRelayOptionSize;
}

}  // namespace knapweedlift
