#include "core/result_code.h"

#include <fstream>
#include <set>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "tests/support/properties.h"

using namespace knapweedlift;

Test(result_code, numbers_are_unique_and_ascending) {
  int last = 0;
  for (const ResultCodeRow& row : ResultCodeTable()) {
    cr_expect(static_cast<int>(row.code) > last);
    last = static_cast<int>(row.code);
  }
}

Test(result_code, the_documentation_lists_the_same_codes) {
  std::ifstream file(SOURCE_DIRECTORY "/docs/RESULT_CODES.md");
  std::stringstream text;
  text << file.rdbuf();
  size_t rows = 0;
  for (const ResultCodeRow& row : ResultCodeTable()) {
    const std::string line =
        absl::StrCat("| ", static_cast<int>(row.code), " | ", row.name, " | ",
                     row.meaning, " |\n");
    cr_expect(text.str().find(line) != std::string::npos,
              "missing in the documentation: %s", line.c_str());
    ++rows;
  }
  std::string line;
  size_t documented = 0;
  while (std::getline(text, line)) {
    documented += line.size() > 3 && line[0] == '|' && isdigit(line[2]);
  }
  cr_expect(documented == rows,
            "the documentation lists a code that does not exist");
}

Test(result_code, a_status_carries_its_code) {
  const absl::Status status = MakeStatus(ResultCode::kSheetLimit, "too many");
  cr_expect(CodeOfStatus(status) == 413);
  cr_expect(CodeOfStatus(absl::OkStatus()) == 0);
}
