#ifndef KNAPWEEDLIFT_CORE_PACKET_BYTES_H_
#define KNAPWEEDLIFT_CORE_PACKET_BYTES_H_

#include <cstddef>
#include <cstdint>
#include <span>

namespace knapweedlift {

// Read and write big-endian fields. The caller must check the bounds.

inline uint16_t ReadU16(std::span<const uint8_t> bytes, size_t offset) {
  return static_cast<uint16_t>((bytes[offset] << 8) | bytes[offset + 1]);
}

inline uint32_t ReadU32(std::span<const uint8_t> bytes, size_t offset) {
  return (static_cast<uint32_t>(ReadU16(bytes, offset)) << 16) |
         ReadU16(bytes, offset + 2);
}

inline void WriteU16(std::span<uint8_t> bytes, size_t offset, uint16_t value) {
  bytes[offset] = static_cast<uint8_t>(value >> 8);
  bytes[offset + 1] = static_cast<uint8_t>(value);
}

inline void WriteU32(std::span<uint8_t> bytes, size_t offset, uint32_t value) {
  WriteU16(bytes, offset, static_cast<uint16_t>(value >> 16));
  WriteU16(bytes, offset + 2, static_cast<uint16_t>(value));
}

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_PACKET_BYTES_H_
