#include "main/settings.h"

#include <boost/fiber/fiber.hpp>

#include "tests/support/properties.h"

using namespace knapweedlift;

namespace {

const char* const kValidSettings = R"(
[vm]
id = 3
failure_domain = "coimbra-a"
control = "127.0.0.1:7000"
data = "[::1]:6081"
admin = "127.0.0.1:9100"
tenants = ["mondego"]
[deployment]
number = 1
hash_key = 99
[platform]
address = "127.0.0.1:8080"
)";

}  // namespace

Test(settings, a_valid_file_is_parsed) {
  const SettingsResult result = ParseSettings(kValidSettings, "vm.toml");
  cr_assert(result.settings.has_value());
  cr_expect(result.settings->self.id == 3);
  cr_expect(result.settings->self.data.port == 6081);
  cr_expect(result.settings->control_bytes_per_second == 5'000);
}

Test(settings, all_errors_are_reported_at_once) {
  const SettingsResult result = ParseSettings(
      "[vm]\nid = 0\ncontrol = \"here\"\ncolour = 1\n[limits]\nworkers = 99\n",
      "vm.toml");
  cr_expect(not result.settings.has_value());
  std::string all_errors;
  for (const std::string& error : result.errors) all_errors += error + "\n";
  for (const char* key :
       {"vm.id", "vm.control", "vm.failure_domain", "vm.colour",
        "limits.workers", "deployment.hash_key", "platform.address"}) {
    cr_expect(all_errors.find(key) != std::string::npos, "not reported: %s",
              key);
  }
  cr_expect(all_errors.find("from 1 to 64") != std::string::npos);
}

Test(settings, invalid_toml_is_reported_with_its_line) {
  const SettingsResult result = ParseSettings("[vm]\nid = = 3\n", "vm.toml");
  cr_assert(result.errors.size() == 1);
  cr_expect(result.errors[0].find("line 2") != std::string::npos);
}

// Found by fuzzing: on these lines the TOML parser aborts or has undefined
// behavior.
Test(settings, all_malformed_lines_are_reported) {
  const std::string zero(1, '\0');
  const SettingsResult result =
      ParseSettings("[vm]\n[!shutdown]\n[" + zero +
                        "x]\nid = 0\xc3\xa9\nx = \"open\n[[[x\n[\n",
                    "vm.toml");
  cr_assert(result.errors.size() == 6);
  for (size_t i = 0; i < 6; ++i) {
    const std::string line = "vm.toml: line " + std::to_string(i + 2) + " ";
    cr_expect(result.errors[i].find(line) == 0);
  }
}

// Guards against the overflow of a fiber's stack when settings are reloaded.
Test(settings, deeply_nested_text_is_rejected) {
  constexpr size_t kParts = 20'000;
  std::string long_key = "a";
  for (size_t i = 1; i < kParts; ++i) long_key += ".a";
  std::string list_over_lines = "x = [\n";
  for (size_t i = 0; i < 250; ++i) list_over_lines += "[\"a\",\n";
  for (const std::string& text :
       {"[vm]\nx = " + std::string(250, '[') + std::string(250, ']') + "\n",
        list_over_lines + std::string(251, ']') + "\n", long_key + " = 1\n",
        "[" + long_key + "]\nx = 1\n"}) {
    bool accepted = true;
    boost::fibers::fiber([&] {
      accepted = ParseSettings(text, "vm.toml").errors.empty();
    }).join();
    cr_expect(not accepted, "%.20s", text.c_str());
  }
}

// Found by fuzzing: the TOML parser fails assertions on malformed dates.
Test(settings, values_are_strings_numbers_booleans_or_lists) {
  for (const char* value :
       {"2-ck-ck-l0 2", "1979-05-27", "07:32:00", "0x1F", "1e5", "inf", "--1",
        "1.", ".5", "yes", "[1, 2-ck]"}) {
    const SettingsResult result =
        ParseSettings(std::string("[vm]\nx = ") + value + "\n", "vm.toml");
    cr_assert(result.errors.size() == 1, "%s", value);
    cr_expect(result.errors[0].find("vm.toml: line 2 contains a value") == 0,
              "%s", result.errors[0].c_str());
  }
  std::string text = kValidSettings;
  text.replace(text.find("[\"mondego\"]"), 11,
               "[ # one a line\n  \"mondego\", # x = 2-ck\n  'cuna'\n]");
  const SettingsResult result = ParseSettings(text, "vm.toml");
  cr_assert(result.settings.has_value(), "%s", result.errors[0].c_str());
  cr_expect(result.settings->tenants.size() == 2);
}

Test(settings, comments_and_escapes_may_contain_any_character) {
  std::string text =
      std::string(kValidSettings) + "# caf\xc3\xa9 [!]\r\n[log] # \"\n";
  const std::string plain = "\"coimbra-a\"";
  text.replace(text.find(plain), plain.size(), "\"S\\u00e3o \\\"Jo\\\"\"");
  const SettingsResult result = ParseSettings(text, "vm.toml");
  cr_assert(result.settings.has_value());
  cr_expect(result.settings->self.domain == "S\xc3\xa3o \"Jo\"");
}
