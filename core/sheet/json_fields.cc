#include "core/sheet/json_fields.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace knapweedlift {
namespace {

// Invalid values are shortened to this size in error messages.
constexpr size_t kMaxQuotedValueBytes = 40;

const nlohmann::json& EmptyArray() {
  static const nlohmann::json empty = nlohmann::json::array();
  return empty;
}

}  // namespace

JsonFields::JsonFields(const nlohmann::json& object, std::string path)
    : object_(object), path_(std::move(path)) {
  if (object_.is_object()) return;
  status_ = MakeStatus(ResultCode::kSheetField,
                       absl::StrCat(path_, " must be a JSON object"));
}

uint64_t JsonFields::Integer(absl::string_view name, uint64_t min,
                             uint64_t max) {
  const nlohmann::json* field = Find(name, true);
  if (field == nullptr) return 0;
  const bool valid = field->is_number_unsigned() &&
                     field->get<uint64_t>() >= min &&
                     field->get<uint64_t>() <= max;
  if (!valid) {
    SetError(
        ResultCode::kSheetField, name,
        absl::StrCat("must be an integer from ", min, " to ", max, ", got ",
                     field->dump().substr(0, kMaxQuotedValueBytes)));
    return 0;
  }
  return field->get<uint64_t>();
}

uint64_t JsonFields::OptionalInteger(absl::string_view name, uint64_t min,
                                     uint64_t max, uint64_t fallback) {
  requested_fields_.emplace_back(name);
  if (!object_.is_object() || !object_.contains(std::string(name)))
    return fallback;
  return Integer(name, min, max);
}

std::string JsonFields::String(absl::string_view name, size_t max_size) {
  const nlohmann::json* field = Find(name, true);
  if (field == nullptr) return {};
  const bool valid = field->is_string() &&
                     !field->get_ref<const std::string&>().empty() &&
                     field->get_ref<const std::string&>().size() <= max_size;
  if (!valid) {
    SetError(ResultCode::kSheetField, name,
             absl::StrCat("must be a string of 1 to ", max_size, " bytes"));
    return {};
  }
  return field->get<std::string>();
}

IpAddress JsonFields::Address(absl::string_view name) {
  constexpr size_t kMaxAddressText = 64;
  const std::string text = String(name, kMaxAddressText);
  if (!ok()) return {};
  const auto address = ParseIpAddress(text);
  if (!address.has_value()) {
    SetError(
        ResultCode::kSheetField, name,
        absl::StrCat("must be an IPv4 or IPv6 address, got \"", text, "\""));
    return {};
  }
  return *address;
}

const nlohmann::json& JsonFields::Array(absl::string_view name) {
  const nlohmann::json* field = Find(name, true);
  if (field == nullptr) return EmptyArray();
  if (!field->is_array()) {
    SetError(ResultCode::kSheetField, name, "must be an array");
    return EmptyArray();
  }
  return *field;
}

size_t JsonFields::OneOf(absl::string_view name,
                         std::initializer_list<absl::string_view> choices) {
  const nlohmann::json* field = Find(name, true);
  if (field == nullptr) return 0;
  if (field->is_string()) {
    const auto& text = field->get_ref<const std::string&>();
    const auto found = std::find(choices.begin(), choices.end(), text);
    if (found != choices.end()) return found - choices.begin();
  }
  SetError(ResultCode::kSheetField, name,
           absl::StrCat("must be one of ", absl::StrJoin(choices, ", ")));
  return 0;
}

void JsonFields::RejectUnknownFields() {
  if (!object_.is_object()) return;
  for (const auto& [name, value] : object_.items()) {
    if (std::find(requested_fields_.begin(), requested_fields_.end(), name) !=
        requested_fields_.end()) {
      continue;
    }
    SetError(ResultCode::kSheetUnknownField, name,
             "is not defined by the format; remove it or correct its name");
  }
}

const nlohmann::json* JsonFields::Find(absl::string_view name, bool required) {
  requested_fields_.emplace_back(name);
  if (!ok()) return nullptr;
  const auto found = object_.find(std::string(name));
  if (found != object_.end()) return &*found;
  if (required) SetError(ResultCode::kSheetField, name, "is missing");
  return nullptr;
}

void JsonFields::SetError(ResultCode code, absl::string_view name,
                          absl::string_view problem) {
  if (!ok()) return;
  status_ = MakeStatus(code, absl::StrCat(path_, ".", name, " ", problem));
}

}  // namespace knapweedlift
