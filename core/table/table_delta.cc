#include "core/table/table_delta.h"

#include <map>

#include "core/table/bitmap.h"

namespace knapweedlift {
namespace {

constexpr uint64_t kForcedFlag = 1;
constexpr uint64_t kClosingFlag = 2;
constexpr uint64_t kOldFlowsKnownFlag = 4;
constexpr uint64_t kMaxFlags = kForcedFlag | kClosingFlag | kOldFlowsKnownFlag;
constexpr size_t kMaxPalette = 1 << 20;

// A delta starts with a palette of the distinct bucket contents. Each bucket
// that deviates from its target follows as a gap and a palette index. This
// marker replaces the bucket's target server in the palette, so that moves to
// different targets share one palette entry.
constexpr ServerId kTargetMarker = 0xFFFE;

ServerId ToMarker(ServerId server, ServerId target) {
  return server != kNoServer && server == target ? kTargetMarker : server;
}

ServerId FromMarker(ServerId server, ServerId target) {
  return server == kTargetMarker ? target : server;
}

Bucket ToRelative(Bucket bucket, ServerId target) {
  bucket.current = ToMarker(bucket.current, target);
  bucket.next = ToMarker(bucket.next, target);
  bucket.oldest = ToMarker(bucket.oldest, target);
  return bucket;
}

Bucket ToAbsolute(Bucket bucket, ServerId target) {
  bucket.current = FromMarker(bucket.current, target);
  bucket.next = FromMarker(bucket.next, target);
  bucket.oldest = FromMarker(bucket.oldest, target);
  return bucket;
}

bool IsOnTarget(const Bucket& relative) {
  return relative == Bucket{.current = kTargetMarker};
}

void AppendBucket(std::string& out, const Bucket& bucket) {
  AppendVarint(out, bucket.current);
  AppendVarint(out, bucket.next);
  AppendVarint(out, bucket.oldest);
  AppendVarint(out, (bucket.forced ? kForcedFlag : 0) |
                        (bucket.closing ? kClosingFlag : 0) |
                        (bucket.old_flows_known ? kOldFlowsKnownFlag : 0));
}

std::optional<Bucket> ReadBucket(const std::string& bytes, size_t& offset) {
  uint64_t fields[4] = {};
  for (uint64_t& field : fields) {
    const auto value = ReadVarint(bytes, offset);
    if (!value.has_value() || *value > kNoServer) return std::nullopt;
    field = *value;
  }
  if (fields[3] > kMaxFlags) return std::nullopt;
  return Bucket{.current = static_cast<ServerId>(fields[0]),
                .next = static_cast<ServerId>(fields[1]),
                .oldest = static_cast<ServerId>(fields[2]),
                .forced = (fields[3] & kForcedFlag) != 0,
                .closing = (fields[3] & kClosingFlag) != 0,
                .old_flows_known = (fields[3] & kOldFlowsKnownFlag) != 0};
}

std::optional<std::vector<Bucket>> ReadPalette(const std::string& bytes,
                                               size_t& offset) {
  const auto size = ReadVarint(bytes, offset);
  if (!size.has_value() || *size > kMaxPalette) return std::nullopt;
  std::vector<Bucket> palette;
  for (uint64_t i = 0; i < *size; ++i) {
    const auto bucket = ReadBucket(bytes, offset);
    if (!bucket.has_value()) return std::nullopt;
    palette.push_back(*bucket);
  }
  return palette;
}

}  // namespace

std::string EncodeTableDelta(const BucketTable& table,
                             const std::vector<ServerId>& targets) {
  std::map<Bucket, size_t> palette_index;
  std::string palette;
  std::string body;
  size_t previous = 0;
  for (size_t i = 0; i < table.buckets.size(); ++i) {
    const Bucket relative = ToRelative(table.buckets[i], targets[i]);
    const bool is_default = IsOnTarget(relative) ||
                            (targets[i] == kNoServer && relative == Bucket{});
    if (is_default) continue;
    const auto [entry, added] =
        palette_index.emplace(relative, palette_index.size());
    if (added) AppendBucket(palette, relative);
    AppendVarint(body, i - previous);
    AppendVarint(body, entry->second);
    previous = i;
  }
  std::string out;
  AppendVarint(out, palette_index.size());
  return out + palette + body;
}

std::optional<BucketTable> DecodeTableDelta(
    const std::string& bytes, const GenerationId& generation,
    const std::vector<ServerId>& targets) {
  size_t offset = 0;
  const auto palette = ReadPalette(bytes, offset);
  if (!palette.has_value()) return std::nullopt;
  BucketTable table;
  table.generation = generation;
  table.buckets.resize(targets.size());
  for (size_t i = 0; i < targets.size(); ++i) {
    table.buckets[i].current = targets[i];
  }
  uint64_t position = 0;
  while (offset < bytes.size()) {
    const auto gap = ReadVarint(bytes, offset);
    const auto entry = ReadVarint(bytes, offset);
    if (!gap.has_value() || !entry.has_value()) return std::nullopt;
    if (*gap > targets.size() || *entry >= palette->size()) return std::nullopt;
    position += *gap;
    if (position >= targets.size()) return std::nullopt;
    table.buckets[position] = ToAbsolute((*palette)[*entry], targets[position]);
  }
  return table;
}

}  // namespace knapweedlift
