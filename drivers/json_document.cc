#include "drivers/json_document.h"

#include <rapidjson/reader.h>

#include <utility>

namespace knapweedlift {
namespace {

using rapidjson::Document;
using rapidjson::SizeType;

// The parser reads past the end of the text if it ends within a multi-byte
// UTF-8 character.
constexpr size_t kPaddingBytes = 3;

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
  bool RawNumber(const char* text, SizeType size, bool copy) {
    return document_.RawNumber(text, size, copy);
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
  constexpr unsigned kFlags =
      rapidjson::kParseInsituFlag | rapidjson::kParseValidateEncodingFlag;
  const auto parse = [this](Document& document) {
    rapidjson::InsituStringStream stream(text_.data());
    DocumentBuilder builder(document);
    return !rapidjson::Reader().Parse<kFlags>(stream, builder).IsError();
  };
  // Leaves the document null if the parser fails.
  document_.Populate(parse);
}

}  // namespace knapweedlift
