#include "lab/request.h"

#include <xxhash.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"

namespace knapweedlift::lab {
namespace {

constexpr size_t kTagSize = 3;
constexpr size_t kHexDigits = 16;

std::string BuildMessage(const char* tag, uint64_t id) {
  const uint64_t checksum = XXH3_64bits_withSeed(&id, sizeof(id), *tag);
  return absl::StrFormat("%s%016x%016x", tag, id, checksum);
}

uint64_t ParseId(const char* tag, const std::string& text) {
  if (text.size() != kTagSize + 2 * kHexDigits) return 0;
  uint64_t id = 0;
  if (!absl::SimpleHexAtoi(text.substr(kTagSize, kHexDigits), &id)) return 0;
  return text == BuildMessage(tag, id) ? id : 0;
}

}  // namespace

std::string BuildRequest(uint64_t id) { return BuildMessage("REQ", id); }
std::string BuildResponse(uint64_t id) { return BuildMessage("ANS", id); }
uint64_t ParseRequestId(const std::string& text) {
  return ParseId("REQ", text);
}
uint64_t ParseResponseId(const std::string& text) {
  return ParseId("ANS", text);
}

}  // namespace knapweedlift::lab
