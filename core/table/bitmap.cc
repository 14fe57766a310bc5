#include "core/table/bitmap.h"

#include <cstdint>

namespace knapweedlift {
namespace {

constexpr char kPlainEncoding = 'p';
constexpr char kGapEncoding = 'g';
constexpr int kBitsPerByte = 8;
constexpr int kVarintBits = 7;
constexpr uint8_t kVarintMore = 0x80;
constexpr int kMaxVarintShift = 63;

std::string EncodePlain(const Bitmap& bitmap) {
  std::string bytes(1 + (bitmap.size() + kBitsPerByte - 1) / kBitsPerByte, 0);
  bytes[0] = kPlainEncoding;
  for (size_t i = 0; i < bitmap.size(); ++i) {
    if (bitmap[i]) {
      bytes[1 + i / kBitsPerByte] |= static_cast<char>(1 << (i % kBitsPerByte));
    }
  }
  return bytes;
}

std::string EncodeGaps(const Bitmap& bitmap) {
  std::string bytes(1, kGapEncoding);
  size_t previous = 0;
  for (size_t i = 0; i < bitmap.size(); ++i) {
    if (!bitmap[i]) continue;
    AppendVarint(bytes, i - previous);
    previous = i;
  }
  return bytes;
}

std::optional<Bitmap> DecodePlain(const std::string& bytes, size_t size) {
  if (bytes.size() != 1 + (size + kBitsPerByte - 1) / kBitsPerByte) {
    return std::nullopt;
  }
  Bitmap bitmap(size);
  for (size_t i = 0; i < size; ++i) {
    bitmap[i] = (bytes[1 + i / kBitsPerByte] >> (i % kBitsPerByte)) & 1;
  }
  return bitmap;
}

std::optional<Bitmap> DecodeGaps(const std::string& bytes, size_t size) {
  Bitmap bitmap(size);
  size_t offset = 1;
  uint64_t position = 0;
  while (offset < bytes.size()) {
    const auto gap = ReadVarint(bytes, offset);
    if (!gap.has_value() || *gap >= size) return std::nullopt;
    position += *gap;
    if (position >= size) return std::nullopt;
    bitmap[position] = true;
  }
  return bitmap;
}

}  // namespace

std::string EncodeBitmap(const Bitmap& bitmap) {
  std::string plain = EncodePlain(bitmap);
  std::string gaps = EncodeGaps(bitmap);
  return gaps.size() < plain.size() ? gaps : plain;
}

std::optional<Bitmap> DecodeBitmap(const std::string& bytes, size_t size) {
  if (bytes.empty()) return std::nullopt;
  if (bytes[0] == kPlainEncoding) return DecodePlain(bytes, size);
  if (bytes[0] == kGapEncoding) return DecodeGaps(bytes, size);
  return std::nullopt;
}

void MergeBitmap(Bitmap& into, const Bitmap& other) {
  if (into.size() < other.size()) into.resize(other.size());
  for (size_t i = 0; i < other.size(); ++i) {
    if (other[i]) into[i] = true;
  }
}

void AppendVarint(std::string& out, uint64_t value) {
  while (value >= kVarintMore) {
    out.push_back(static_cast<char>((value & 0x7F) | kVarintMore));
    value >>= kVarintBits;
  }
  out.push_back(static_cast<char>(value));
}

std::optional<uint64_t> ReadVarint(const std::string& bytes, size_t& offset) {
  uint64_t value = 0;
  for (int shift = 0; shift <= kMaxVarintShift; shift += kVarintBits) {
    if (offset >= bytes.size()) return std::nullopt;
    const auto byte = static_cast<uint8_t>(bytes[offset++]);
    value |= static_cast<uint64_t>(byte & 0x7F) << shift;
    if ((byte & kVarintMore) == 0) return value;
  }
  return std::nullopt;
}

}  // namespace knapweedlift
