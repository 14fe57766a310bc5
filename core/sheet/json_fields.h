#ifndef KNAPWEEDLIFT_CORE_SHEET_JSON_FIELDS_H_
#define KNAPWEEDLIFT_CORE_SHEET_JSON_FIELDS_H_

#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "core/result_code.h"
#include "core/sheet/sheet.h"

namespace knapweedlift {

// Reads typed fields of one JSON object and keeps the first error together with
// the field's path, so that a caller can read all fields in sequence and check
// for errors once.
class JsonFields {
 public:
  // `path` identifies the object in error messages.
  JsonFields(const nlohmann::json& object, std::string path);

  // Read required fields. Bounds are inclusive, sizes are in bytes. After an
  // error all readers return an empty value.
  uint64_t Integer(absl::string_view name, uint64_t min, uint64_t max);
  std::string String(absl::string_view name, size_t max_size);
  IpAddress Address(absl::string_view name);
  const nlohmann::json& Array(absl::string_view name);

  // Reads a string that equals one of `choices` and returns its index.
  size_t OneOf(absl::string_view name,
               std::initializer_list<absl::string_view> choices);

  // Like Integer, but returns `fallback` if the field is absent.
  uint64_t OptionalInteger(absl::string_view name, uint64_t min, uint64_t max,
                           uint64_t fallback);

  // Reports an error if the object has a field that was not read before.
  void RejectUnknownFields();

  const absl::Status& status() const { return status_; }
  bool ok() const { return status_.ok(); }

 private:
  const nlohmann::json* Find(absl::string_view name, bool required);
  void SetError(ResultCode code, absl::string_view name,
                absl::string_view problem);

  const nlohmann::json& object_;
  std::string path_;
  std::vector<std::string> requested_fields_;
  absl::Status status_;
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_SHEET_JSON_FIELDS_H_
