#ifndef KNAPWEEDLIFT_CORE_SHEET_SHEET_PARSER_H_
#define KNAPWEEDLIFT_CORE_SHEET_SHEET_PARSER_H_

#include <cstddef>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core/sheet/sheet.h"

namespace knapweedlift {

// The platform's store holds values of up to 1 MB; larger sheets are split into
// chunks.
inline constexpr size_t kMaxChunkBytes = 1'000'000;
inline constexpr size_t kMaxChunks = 256;
inline constexpr size_t kMaxServices = 40'000;
inline constexpr size_t kMaxServersPerService = 4'096;
inline constexpr uint32_t kMinBuckets = 256;
inline constexpr uint32_t kMaxBuckets = 1U << 22;

// Returns the total number of chunks of the sheet that the chunk `text` belongs
// to. Fails if `text` is not a valid chunk.
absl::StatusOr<size_t> SheetChunkCount(const std::string& text);

// Parses and validates a sheet from its chunks, which are given in order. The
// result depends only on the input bytes. On failure the status carries a
// result code and names the field, the error and the remedy.
absl::StatusOr<Sheet> ParseSheet(const std::vector<std::string>& chunks);

// Validates that `next` may replace `current`: its revision is higher, bucket
// counts are unchanged and no VNI moves to another service.
absl::Status CheckSheetChange(const Sheet& current, const Sheet& next);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_SHEET_SHEET_PARSER_H_
