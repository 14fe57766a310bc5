#ifndef KNAPWEEDLIFT_CORE_TABLE_BITMAP_H_
#define KNAPWEEDLIFT_CORE_TABLE_BITMAP_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace knapweedlift {

// Bit i refers to the i-th bucket of a set that sender and receiver both
// compute.
using Bitmap = std::vector<bool>;

// Encodes a bitmap in the shorter of two encodings: the plain bits, or the gaps
// between set bits as variable-length integers.
std::string EncodeBitmap(const Bitmap& bitmap);

// Decodes a bitmap of `size` bits. Returns nothing if the bytes are malformed.
std::optional<Bitmap> DecodeBitmap(const std::string& bytes, size_t size);

// Sets every bit in `into` that is set in `other`. A shorter bitmap is treated
// as padded with zeros.
void MergeBitmap(Bitmap& into, const Bitmap& other);

// Appends `value` as a variable-length integer of 7 bits per byte.
void AppendVarint(std::string& out, uint64_t value);

// Reads a variable-length integer at `offset` and advances `offset` past it.
// Returns nothing if the bytes end early or the integer exceeds 64 bits.
std::optional<uint64_t> ReadVarint(const std::string& bytes, size_t& offset);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_TABLE_BITMAP_H_
