#ifndef KNAPWEEDLIFT_DRIVERS_JSON_DOCUMENT_H_
#define KNAPWEEDLIFT_DRIVERS_JSON_DOCUMENT_H_

#include <rapidjson/document.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/json_limits.h"

namespace knapweedlift {

// Parses JSON in place. Its values refer to the text that it owns and are valid
// as long as the document.
class JsonDocument {
 public:
  explicit JsonDocument(std::string text);
  JsonDocument(const JsonDocument&) = delete;
  JsonDocument& operator=(const JsonDocument&) = delete;

  // The top-level value; null if the text is not valid JSON or nested deeper
  // than kMaxJsonDepth.
  const rapidjson::Value& root() const { return document_; }

 private:
  // Holds the values of a short text; larger ones allocate more.
  static constexpr size_t kInitialBufferBytes = 2'048;
  static constexpr size_t kChunkBytes = 16'384;
  static constexpr size_t kStackBytes = 1'024;

  std::string text_;
  std::array<char, kInitialBufferBytes> initial_buffer_;
  rapidjson::MemoryPoolAllocator<> allocator_{
      initial_buffer_.data(), initial_buffer_.size(), kChunkBytes};
  rapidjson::Document document_{&allocator_, kStackBytes};
};

// The field of an object, or null if it is absent.
inline const rapidjson::Value* FindField(const rapidjson::Value& object,
                                         const char* field) {
  const auto found = object.FindMember(field);
  return found == object.MemberEnd() ? nullptr : &found->value;
}

// The field as an integer from 0 to `max`; nothing if it is absent, of another
// type or out of range.
inline std::optional<uint64_t> UnsignedField(const rapidjson::Value& object,
                                             const char* field, uint64_t max) {
  const rapidjson::Value* value = FindField(object, field);
  if (value == nullptr || !value->IsUint64()) return {};
  if (value->GetUint64() > max) return {};
  return value->GetUint64();
}

// The field as a string of 1 to `max_bytes` bytes; nothing if it is absent, of
// another type or of another length. Valid as long as the document.
inline std::optional<std::string_view> StringField(
    const rapidjson::Value& object, const char* field, size_t max_bytes) {
  const rapidjson::Value* value = FindField(object, field);
  if (value == nullptr || !value->IsString()) return {};
  const std::string_view text(value->GetString(), value->GetStringLength());
  if (text.empty() || text.size() > max_bytes) return {};
  return text;
}

// The field as an array, or null if it is absent or of another type.
inline const rapidjson::Value* ArrayField(const rapidjson::Value& object,
                                          const char* field) {
  const rapidjson::Value* value = FindField(object, field);
  return value == nullptr || !value->IsArray() ? nullptr : value;
}

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_DRIVERS_JSON_DOCUMENT_H_
