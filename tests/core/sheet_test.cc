#include "core/json_limits.h"
#include "core/result_code.h"
#include "core/sheet/json_text.h"
#include "core/sheet/sheet_diff.h"
#include "core/sheet/sheet_parser.h"
#include "core/sheet/vm_list.h"
#include "tests/support/properties.h"
#include "tests/support/sheets.h"

using namespace knapweedlift;
using nlohmann::json;

namespace {

uint16_t CodeOf(const json& sheet) {
  return CodeOfStatus(ParseSheet({sheet.dump()}).status());
}

uint16_t CodeOfChange(const json& before, const json& after) {
  return CodeOfStatus(CheckSheetChange(*ParseSheet({before.dump()}),
                                       *ParseSheet({after.dump()})));
}

json WithSecondService(const char* address, int number, int vni) {
  json sheet = SheetJson(1, 2);
  json second = sheet["services"][0];
  second["address"] = address;
  second["number"] = number;
  second["vni"] = vni;
  sheet["services"].push_back(second);
  return sheet;
}

}  // namespace

Test(sheet, a_valid_sheet_is_accepted) {
  const auto sheet = ParseSheet({SheetJson(7, 3).dump()});
  cr_assert(sheet.ok());
  cr_expect(sheet->revision == 7);
  cr_expect(sheet->services[0].servers.size() == 3);
}

Test(sheet, each_error_has_its_code) {
  cr_expect(CodeOf(WithSecondService("10.0.0.2", 1, 102)) == 405);
  cr_expect(CodeOf(WithSecondService("10.0.0.2", 2, 101)) == 406);
  cr_expect(CodeOf(WithSecondService("10.0.0.1", 2, 102)) == 407);
  cr_expect(CodeOf(WithSecondService("10.0.0.2", 2, 102)) == 0);
  json sheet = SheetJson(1, 2);
  sheet["services"][0]["servers"][1]["number"] = 1;
  cr_expect(CodeOf(sheet) == 408);
  sheet = SheetJson(1, 2);
  sheet["services"][0]["servers"][1]["domain"] = "c";
  cr_expect(CodeOf(sheet) == 409);
  sheet = SheetJson(1, 2);
  sheet["services"][0]["servers"][1]["slots"] = 0;
  cr_expect(CodeOf(sheet) == 410);
  sheet = SheetJson(1, 2);
  sheet["services"][0]["buckets"] = 1000;
  cr_expect(CodeOf(sheet) == 411);
  sheet = SheetJson(1, 2);
  sheet["services"][0]["colour"] = "blue";
  cr_expect(CodeOf(sheet) == 403);
  sheet = SheetJson(1, 2);
  sheet["services"][0]["port"] = 70'000;
  cr_expect(CodeOf(sheet) == 402);
  cr_expect(CodeOfStatus(ParseSheet({"{\"format\": 1,"}).status()) == 401);
  cr_expect(CodeOfStatus(
                ParseSheet({std::string(kMaxChunkBytes + 1, ' ')}).status()) ==
            400);
}

Test(sheet, an_error_names_the_field) {
  json sheet = SheetJson(1, 2);
  sheet["services"][0]["servers"][1]["slots"] = "two";
  const std::string message(ParseSheet({sheet.dump()}).status().message());
  cr_expect(message.find("sheet.services[0].servers[1].slots") !=
            std::string::npos);
}

Test(sheet, changes_are_checked_against_the_sheet_in_force) {
  cr_expect(CodeOfChange(SheetJson(2, 2), SheetJson(2, 3)) == 404);
  cr_expect(CodeOfChange(SheetJson(2, 2), SheetJson(3, 3)) == 0);
  json buckets = SheetJson(3, 2);
  buckets["services"][0]["buckets"] = 2048;
  cr_expect(CodeOfChange(SheetJson(2, 2), buckets) == 411);
  json reused = SheetJson(3, 2);
  reused["services"][0]["number"] = 9;
  cr_expect(CodeOfChange(SheetJson(2, 2), reused) == 412);
}

Test(sheet, chunks_are_combined_into_one_sheet) {
  json first = SheetJson(4, 2);
  json second = SheetJson(4, 2);
  first["chunks"] = second["chunks"] = 2;
  first["chunk"] = 0;
  second["chunk"] = 1;
  second["services"][0]["number"] = 2;
  second["services"][0]["vni"] = 102;
  second["services"][0]["address"] = "10.0.0.2";
  second["failure_domains"] = json::array();
  const auto sheet = ParseSheet({first.dump(), second.dump()});
  cr_assert(sheet.ok());
  cr_expect(sheet->services.size() == 2);
  second["revision"] = 5;
  cr_expect(not ParseSheet({first.dump(), second.dump()}).ok());
}

Test(sheet, parsing_is_deterministic) {
  ExpectProperty("the same bytes give the same result",
                 [](const std::string& noise, uint16_t offset) {
                   std::string text = SheetJson(3, 2).dump();
                   text.replace(offset % text.size(), noise.size(), noise);
                   const auto first = ParseSheet({text});
                   const auto again = ParseSheet({text});
                   RC_ASSERT(first.status() == again.status());
                   if (first.ok()) RC_ASSERT(*first == *again);
                 });
}

Test(sheet, the_diff_names_the_tenant_and_service) {
  json after = SheetJson(2, 3);
  after["services"][0]["servers"][0]["state"] = "leaving";
  const auto lines = DiffSheets(*ParseSheet({SheetJson(1, 2).dump()}),
                                *ParseSheet({after.dump()}));
  cr_assert(lines.size() == 3);
  cr_expect(lines[0] ==
            "mondego/atelier: backend server 1 changes from active to leaving");
}

Test(sheet, endpoints_are_parsed_or_rejected) {
  for (const char* text : {"127.0.0.1:80", "[2001:db8::1]:443"}) {
    const auto endpoint = ParseEndpoint(text);
    cr_assert(endpoint.has_value());
    cr_expect(FormatEndpoint(*endpoint) == text);
  }
  for (const char* text :
       {"", "1.2.3.4", "1.2.3.4:0", "1.2.3.4:70000", "host:80", "1.2.3.4:8x"}) {
    cr_expect(not ParseEndpoint(text).has_value(), "accepted: %s", text);
  }
}

Test(sheet, a_vm_list_is_parsed_or_rejected) {
  const auto list = ParseVmList(
      R"({"revision": 3, "vms": [{"id": 1, "address": "10.2.0.1",
      "control_port": 1, "data_port": 2, "domain": "a", "state": "leaving"}]})");
  cr_assert(list.ok());
  cr_expect(list->vms[0].leaving);
  cr_expect(not ParseVmList("{\"revision\": 3, \"vms\": [{\"id\": 0}]}").ok());
  cr_expect(not ParseVmList("{\"revis").ok());
}

// Guards against an exception that ended the daemon and the command `check`.
Test(sheet, a_number_out_of_range_is_rejected) {
  for (const std::string& number : {std::string("1e999"), std::string("-1e999"),
                                    std::string(400'000, '7')}) {
    const std::string sheet = "{\"format\": " + number + "}";
    cr_expect(CodeOfStatus(ParseSheet({sheet}).status()) == 401);
    cr_expect(CodeOfStatus(SheetChunkCount(sheet).status()) == 401);
    const std::string list = "{\"revision\": " + number + "}";
    cr_expect(CodeOfStatus(ParseVmList(list).status()) == 511);
  }
}

// Guards against the overflow of the stack by the text of an error message,
// which quotes the value of a field.
Test(sheet, deeply_nested_text_is_rejected) {
  for (const auto& [opening, closing] :
       {std::pair<std::string, std::string>{"[", "]"}, {"{\"a\":[", "]}"}}) {
    const size_t depth = kMaxChunkBytes / 2 / opening.size() - 20;
    std::string nested;
    for (size_t i = 0; i < depth; ++i) nested += opening;
    for (size_t i = 0; i < depth; ++i) nested += closing;
    const std::string sheet = "{\"format\": " + nested + "}";
    cr_assert(sheet.size() <= kMaxChunkBytes);
    cr_expect(CodeOfStatus(ParseSheet({sheet}).status()) == 401);
    cr_expect(CodeOfStatus(ParseSheet({nested}).status()) == 401);
    const std::string list = "{\"revision\": " + nested + "}";
    cr_expect(CodeOfStatus(ParseVmList(list).status()) == 511);
  }
}

Test(sheet, text_may_be_nested_up_to_the_limit) {
  const auto nested = [](size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
  };
  cr_expect(
      ParseJsonText(nested(kMaxJsonDepth), ResultCode::kSheetNotJson).ok());
  cr_expect(
      not ParseJsonText(nested(kMaxJsonDepth + 1), ResultCode::kSheetNotJson)
              .ok());
  // Values side by side are not nested.
  std::string wide = "[";
  for (int i = 0; i < 1'000; ++i) wide += "[{}],";
  cr_expect(
      ParseJsonText(wide + "0]", ResultCode::kSheetNotJson).value().size() ==
      1'001);
}
