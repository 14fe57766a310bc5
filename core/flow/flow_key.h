#ifndef KNAPWEEDLIFT_CORE_FLOW_FLOW_KEY_H_
#define KNAPWEEDLIFT_CORE_FLOW_FLOW_KEY_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace knapweedlift {

// An IPv4 or IPv6 address in network byte order. IPv4 addresses are stored in
// their IPv4-mapped form, ::ffff:a.b.c.d.
struct IpAddress {
  std::array<uint8_t, 16> bytes{};

  auto operator<=>(const IpAddress&) const = default;

  template <typename H>
  friend H AbslHashValue(H h, const IpAddress& address) {
    return H::combine(std::move(h), address.bytes);
  }
};

// Parses dotted-decimal IPv4 or textual IPv6. Returns nullopt if `text` is
// neither.
std::optional<IpAddress> ParseIpAddress(std::string_view text);

std::string FormatIpAddress(const IpAddress& address);

IpAddress IpAddressFromV4(const uint8_t* bytes);
IpAddress IpAddressFromV6(const uint8_t* bytes);

bool IsV4(const IpAddress& address);
bool IsLoopback(const IpAddress& address);

// The 5-tuple of a flow, as in the packets of its caller. The layout has no
// padding, so that the bytes can be hashed directly.
struct FlowKey {
  IpAddress source;
  IpAddress destination;
  uint16_t source_port = 0;
  uint16_t destination_port = 0;
  uint32_t protocol = 0;

  auto operator<=>(const FlowKey&) const = default;
};

// Returns the keyed 64-bit hash of a flow. The low bits select the flow's
// bucket.
uint64_t Fingerprint(const FlowKey& key, uint64_t hash_key);

// Mixes two numbers into a well-distributed hash, for rendezvous hashing.
inline uint64_t MixHash(uint64_t a, uint64_t b) {
  uint64_t x = a ^ (b * 0x9E3779B97F4A7C15ULL);
  x ^= x >> 32;
  x *= 0xD6E8FEB86659FD93ULL;
  x ^= x >> 32;
  x *= 0xD6E8FEB86659FD93ULL;
  return x ^ (x >> 32);
}

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_FLOW_FLOW_KEY_H_
