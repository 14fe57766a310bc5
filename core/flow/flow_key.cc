#include "core/flow/flow_key.h"

#include <arpa/inet.h>
#include <xxhash.h>

#include <algorithm>

namespace knapweedlift {
namespace {

constexpr std::array<uint8_t, 12> kV4MappedPrefix = {0, 0, 0, 0, 0,    0,
                                                     0, 0, 0, 0, 0xFF, 0xFF};

}  // namespace

std::optional<IpAddress> ParseIpAddress(std::string_view text) {
  const std::string copy(text);
  std::array<uint8_t, 16> bytes{};
  if (inet_pton(AF_INET, copy.c_str(), bytes.data()) == 1) {
    return IpAddressFromV4(bytes.data());
  }
  if (inet_pton(AF_INET6, copy.c_str(), bytes.data()) == 1) {
    return IpAddressFromV6(bytes.data());
  }
  return std::nullopt;
}

std::string FormatIpAddress(const IpAddress& address) {
  char text[INET6_ADDRSTRLEN] = {};
  const bool v4 = IsV4(address);
  const uint8_t* bytes =
      address.bytes.data() + (v4 ? kV4MappedPrefix.size() : 0);
  inet_ntop(v4 ? AF_INET : AF_INET6, bytes, text, sizeof(text));
  return text;
}

IpAddress IpAddressFromV4(const uint8_t* bytes) {
  IpAddress address;
  std::copy(kV4MappedPrefix.begin(), kV4MappedPrefix.end(),
            address.bytes.begin());
  std::copy_n(bytes, 4, address.bytes.begin() + kV4MappedPrefix.size());
  return address;
}

IpAddress IpAddressFromV6(const uint8_t* bytes) {
  IpAddress address;
  std::copy_n(bytes, address.bytes.size(), address.bytes.begin());
  return address;
}

bool IsV4(const IpAddress& address) {
  return std::equal(kV4MappedPrefix.begin(), kV4MappedPrefix.end(),
                    address.bytes.begin());
}

bool IsLoopback(const IpAddress& address) {
  constexpr uint8_t kLoopbackNet = 127;
  return IsV4(address) && address.bytes[kV4MappedPrefix.size()] == kLoopbackNet;
}

uint64_t Fingerprint(const FlowKey& key, uint64_t hash_key) {
  static_assert(sizeof(FlowKey) == 40);
  return XXH3_64bits_withSeed(&key, sizeof(key), hash_key);
}

}  // namespace knapweedlift
