#ifndef KNAPWEEDLIFT_CORE_TABLE_TABLE_DELTA_H_
#define KNAPWEEDLIFT_CORE_TABLE_TABLE_DELTA_H_

#include <optional>
#include <string>
#include <vector>

#include "core/table/bucket_table.h"

namespace knapweedlift {

// Encodes a complete generation as its difference from the sheet's targets, so
// that a joining VM that has the sheet receives a table of half a million
// buckets in a few kilobytes. Costs about two bytes for each bucket that
// deviates.
std::string EncodeTableDelta(const BucketTable& table,
                             const std::vector<ServerId>& targets);

// Decodes a generation. Returns nothing if the bytes are malformed.
std::optional<BucketTable> DecodeTableDelta(
    const std::string& bytes, const GenerationId& generation,
    const std::vector<ServerId>& targets);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_TABLE_TABLE_DELTA_H_
