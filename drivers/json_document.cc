#include "drivers/json_document.h"

#include <rapidjson/reader.h>

#include <charconv>
#include <cmath>
#include <cstdint>
#include <string_view>
#include <system_error>
#include <utility>

#include "absl/strings/charconv.h"

namespace knapweedlift {
namespace {

using rapidjson::Document;
using rapidjson::SizeType;

// The parser reads past the end of the text if it ends within a multi-byte
// UTF-8 character.
constexpr size_t kPaddingBytes = 3;

// Parses all of `text` as an integer. Returns false if it is none or does not
// fit.
template <typename Integer>
bool ParseInteger(std::string_view text, Integer& value) {
  const char* end = text.data() + text.size();
  const std::from_chars_result result =
      std::from_chars(text.data(), end, value);
  return result.ec == std::errc() && result.ptr == end;
}

// Adds a number, given in the syntax of JSON, to the document. Returns false if
// it is too large.
bool AddNumber(Document& document, std::string_view text) {
  uint64_t positive = 0;
  if (ParseInteger(text, positive)) return document.Uint64(positive);
  int64_t negative = 0;
  if (ParseInteger(text, negative)) return document.Int64(negative);
  double value = 0;
  const absl::from_chars_result result =
      absl::from_chars(text.data(), text.data() + text.size(), value);
  // Numbers that are too close to 0 are out of range, too.
  const bool too_large =
      result.ec == std::errc::result_out_of_range && std::abs(value) > 1;
  return !too_large && document.Double(value);
}

// Passes the parser's events on to the document that they build. Stops the
// parser where the text is nested too deeply.
class DocumentBuilder {
 public:
  explicit DocumentBuilder(Document& document) : document_(document) {}

  // Names and parameters of these are those of RapidJSON's handlers.
  // NOLINTBEGIN(google-runtime-int)
  bool Null() { return document_.Null(); }
  bool Bool(bool value) { return document_.Bool(value); }
  bool Int(int value) { return document_.Int(value); }
  bool Uint(unsigned value) { return document_.Uint(value); }
  bool Int64(int64_t value) { return document_.Int64(value); }
  bool Uint64(uint64_t value) { return document_.Uint64(value); }
  bool Double(double value) { return document_.Double(value); }
  bool RawNumber(const char* text, SizeType size, bool /*copy*/) {
    return AddNumber(document_, std::string_view(text, size));
  }
  bool String(const char* text, SizeType size, bool copy) {
    return document_.String(text, size, copy);
  }
  bool Key(const char* text, SizeType size, bool copy) {
    return document_.Key(text, size, copy);
  }
  bool StartObject() {
    return ++depth_ <= kMaxJsonDepth && document_.StartObject();
  }
  bool StartArray() {
    return ++depth_ <= kMaxJsonDepth && document_.StartArray();
  }
  bool EndObject(SizeType members) {
    --depth_;
    return document_.EndObject(members);
  }
  bool EndArray(SizeType elements) {
    --depth_;
    return document_.EndArray(elements);
  }
  // NOLINTEND(google-runtime-int)

 private:
  Document& document_;
  int depth_ = 0;
};

}  // namespace

JsonDocument::JsonDocument(std::string text) : text_(std::move(text)) {
  text_.append(kPaddingBytes, '\0');
  // RapidJSON's own conversion of numbers adds up exponents beyond the range of
  // int.
  constexpr unsigned kFlags = rapidjson::kParseInsituFlag |
                              rapidjson::kParseValidateEncodingFlag |
                              rapidjson::kParseNumbersAsStringsFlag;
  const auto parse = [this](Document& document) {
    rapidjson::InsituStringStream stream(text_.data());
    DocumentBuilder builder(document);
    return !rapidjson::Reader().Parse<kFlags>(stream, builder).IsError();
  };
  // Leaves the document null if the parser fails.
  document_.Populate(parse);
}

}  // namespace knapweedlift
