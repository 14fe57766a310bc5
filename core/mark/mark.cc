#include "core/mark/mark.h"

#include <xxhash.h>

namespace knapweedlift {

Mark ComputeMark(std::string_view server_name, int64_t started_at_ms) {
  const uint64_t hash = XXH64(server_name.data(), server_name.size(),
                              static_cast<uint64_t>(started_at_ms));
  const auto mark = static_cast<Mark>(hash);
  // kNoMark is reserved; the high half of the hash, made odd, replaces it.
  return mark == kNoMark ? static_cast<Mark>(hash >> 32) | 1 : mark;
}

}  // namespace knapweedlift
