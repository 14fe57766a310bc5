#include "main/settings_text.h"

#include <algorithm>
#include <sstream>
#include <string_view>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace knapweedlift {
namespace {

// Behind the quote that ends the text which begins at `begin`.
size_t FindStringEnd(std::string_view line, size_t begin) {
  for (size_t i = begin + 1; i < line.size(); ++i) {
    if (line[i] == line[begin]) return i + 1;
    if (line[i] == '\\' && line[begin] == '"') ++i;
  }
  return line.size();
}

// False where the line begins like a section's name but holds none.
bool HasValidSectionHeader(std::string_view line) {
  const size_t start = line.find_first_not_of(" \t");
  if (start == std::string_view::npos || line[start] != '[') return true;
  const bool is_array_of_tables = line.substr(start).starts_with("[[");
  const size_t name =
      line.find_first_not_of(" \t", start + (is_array_of_tables ? 2 : 1));
  return name != std::string_view::npos &&
         (absl::ascii_isalnum(static_cast<unsigned char>(line[name])) ||
          std::string_view("_-\"'").find(line[name]) != std::string_view::npos);
}

// True for a whole number or one with a decimal point, and for true and false.
bool IsNumberOrBoolean(std::string_view token) {
  if (token == "true" || token == "false") return true;
  if (token.starts_with('+') || token.starts_with('-')) token.remove_prefix(1);
  const size_t point = token.find('.');
  const auto all_digits = [](std::string_view digits) {
    return !digits.empty() &&
           std::all_of(digits.begin(), digits.end(), absl::ascii_isdigit);
  };
  return all_digits(token.substr(0, point)) &&
         (point == std::string_view::npos ||
          all_digits(token.substr(point + 1)));
}

// True where what stands outside of texts is a list or plain values. Dates and
// other kinds of numbers are what the parser has no errors for.
bool HasOnlySupportedValues(std::string_view value) {
  constexpr std::string_view kSeparators = " \t,[]";
  size_t begin = 0;
  while (begin < value.size()) {
    const char first = value[begin];
    if (first == '#') return true;
    if (kSeparators.find(first) != std::string_view::npos) {
      ++begin;
      continue;
    }
    if (first == '"' || first == '\'') {
      begin = FindStringEnd(value, begin);
      continue;
    }
    const size_t end =
        std::min(value.find_first_of(" \t,[]#\"'", begin), value.size());
    if (!IsNumberOrBoolean(value.substr(begin, end - begin))) return false;
    begin = end;
  }
  return true;
}

// What may follow the key of a line, or stand in a line of a list; empty for a
// section.
std::string_view FindValuePart(std::string_view line) {
  const size_t start = line.find_first_not_of(" \t");
  if (start == std::string_view::npos) return {};
  size_t position = start;
  while (position < line.size()) {
    if (line[position] == '=') return line.substr(position + 1);
    if (line[position] == '#') break;
    position = line[position] == '"' || line[position] == '\''
                   ? FindStringEnd(line, position)
                   : position + 1;
  }
  return line[start] == '[' ? std::string_view() : line.substr(start);
}

// What the parser must not see in a line, or null.
const char* FindLineError(std::string_view line) {
  // Where a text may begin: at a line's start and behind these.
  constexpr std::string_view kStringPredecessors = "\n=[,.";
  char quote = 0;
  char before = '\n';
  for (size_t i = 0; i < line.size(); ++i) {
    const auto byte = static_cast<unsigned char>(line[i]);
    if (absl::ascii_iscntrl(byte) && byte != '\t') {
      return "holds a control character";
    }
    if (byte == '#' && quote == 0) break;
    if (!absl::ascii_isascii(byte)) {
      return "holds a character that is not ASCII; write it as \\uXXXX";
    }
    if (quote != 0) {
      const bool escape = line[i] == '\\' && quote == '"';
      if (escape) ++i;
      if (!escape && line[i] == quote) quote = 0;
      continue;
    }
    if (byte == '"' || byte == '\'') {
      if (kStringPredecessors.find(before) == std::string_view::npos) {
        return "holds a quote inside of a value";
      }
      quote = line[i];
    }
    if (!absl::ascii_isspace(byte)) before = line[i];
    if (byte == '{' || byte == '}') return "holds a brace outside of a text";
  }
  if (quote != 0) return "holds a text that does not end";
  if (!HasOnlySupportedValues(FindValuePart(line))) {
    return "holds a value that is no text, number, true, false or list of them";
  }
  return HasValidSectionHeader(line) ? nullptr : "names no section";
}

}  // namespace

std::vector<std::string> ValidateSettingsText(const std::string& text,
                                              const std::string& source) {
  std::vector<std::string> errors;
  size_t line_number = 0;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    ++line_number;
    if (line.ends_with('\r')) line.pop_back();
    const char* error = FindLineError(line);
    if (error == nullptr) continue;
    errors.push_back(absl::StrCat(source, ": line ", line_number, " ", error,
                                  "; correct it"));
  }
  return errors;
}

}  // namespace knapweedlift
