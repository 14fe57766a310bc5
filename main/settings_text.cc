#include "main/settings_text.h"

#include <algorithm>
#include <sstream>
#include <string_view>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace knapweedlift {
namespace {

// Settings consist of sections with lists of plain values. The parser and the
// tables that it returns recurse for each list inside a list and each part of a
// key, and a reload runs on a fiber, which has a small stack.
constexpr int kMaxListDepth = 4;
constexpr int kMaxKeyParts = 4;

// Returns the position after the closing quote of the string that starts at
// `begin`, or the size of the line if the string is not closed.
size_t FindStringEnd(std::string_view line, size_t begin) {
  for (size_t i = begin + 1; i < line.size(); ++i) {
    if (line[i] == line[begin]) return i + 1;
    if (line[i] == '\\' && line[begin] == '"') ++i;
  }
  return line.size();
}

// Returns false if the line starts with a bracket like a section header, but no
// section name follows.
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

// Accepts integers, decimal numbers, true and false.
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

// Returns true if everything outside of strings is a number, a boolean or a
// list of these. Dates and other notations of numbers are rejected, because the
// parser fails assertions on malformed ones.
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

// Returns the part of a line after its key; the whole line if it continues a
// list, and nothing for a section header.
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

// Calls `visit` for each character outside of strings and comments.
template <typename Visitor>
void VisitUnquoted(std::string_view text, Visitor visit) {
  size_t position = 0;
  while (position < text.size() && text[position] != '#') {
    if (text[position] == '"' || text[position] == '\'') {
      position = FindStringEnd(text, position);
      continue;
    }
    visit(text[position++]);
  }
}

// Returns true if the key or the section name of the line has more than
// kMaxKeyParts parts.
bool HasLongKey(std::string_view line) {
  const std::string_view key =
      line.substr(0, line.size() - FindValuePart(line).size());
  int parts = 1;
  VisitUnquoted(key, [&parts](char byte) { parts += byte == '.' ? 1 : 0; });
  return parts > kMaxKeyParts;
}

// Returns why a line must not be passed to the parser, or null.
const char* FindLineError(std::string_view line) {
  // A string may start only at the start of a line or after one of these.
  constexpr std::string_view kStringPredecessors = "\n=[,.";
  char quote = 0;
  char before = '\n';
  for (size_t i = 0; i < line.size(); ++i) {
    const auto byte = static_cast<unsigned char>(line[i]);
    if (absl::ascii_iscntrl(byte) && byte != '\t') {
      return "contains a control character";
    }
    if (byte == '#' && quote == 0) break;
    if (!absl::ascii_isascii(byte)) {
      return "contains a character that is not ASCII; write it as \\uXXXX";
    }
    if (quote != 0) {
      const bool escape = line[i] == '\\' && quote == '"';
      if (escape) ++i;
      if (!escape && line[i] == quote) quote = 0;
      continue;
    }
    if (byte == '"' || byte == '\'') {
      if (kStringPredecessors.find(before) == std::string_view::npos) {
        return "contains a quote inside a value";
      }
      quote = line[i];
    }
    if (!absl::ascii_isspace(byte)) before = line[i];
    if (byte == '{' || byte == '}') return "contains a brace outside a string";
  }
  if (quote != 0) return "contains a string without a closing quote";
  if (HasLongKey(line)) return "contains a key of too many parts";
  if (!HasOnlySupportedValues(FindValuePart(line))) {
    return "contains a value that is not a string, number, boolean or list of "
           "these";
  }
  return HasValidSectionHeader(line)
             ? nullptr
             : "is a section header without a valid name";
}

// Brackets that are open after some lines, and how many were at most.
struct ListDepth {
  int current = 0;
  int max = 0;
};

ListDepth AddLine(ListDepth depth, std::string_view line) {
  VisitUnquoted(line, [&depth](char byte) {
    if (byte == '[') ++depth.current;
    if (byte == ']') --depth.current;
    depth.max = std::max(depth.max, depth.current);
  });
  return depth;
}

}  // namespace

std::vector<std::string> ValidateSettingsText(const std::string& text,
                                              const std::string& source) {
  std::vector<std::string> errors;
  size_t line_number = 0;
  ListDepth depth;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    ++line_number;
    if (line.ends_with('\r')) line.pop_back();
    const char* error = FindLineError(line);
    depth = AddLine(depth, line);
    if (error == nullptr && depth.max > kMaxListDepth) {
      error = "is inside of too many lists";
    }
    if (error == nullptr) continue;
    errors.push_back(absl::StrCat(source, ": line ", line_number, " ", error,
                                  "; correct it"));
  }
  return errors;
}

}  // namespace knapweedlift
