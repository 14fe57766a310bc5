#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "drivers/fleet_codec.h"
#include "tests/support/facts.h"

// Writes inputs that the fuzzers start from and would not reach by themselves:
// nested and odd entries inside responses of the store, and messages of peers.
// Usage: make_corpus DIRECTORY
namespace knapweedlift::fuzz {
namespace {

using testing::Address;
using testing::At;
using testing::Route;
using testing::Server;

std::string Repeat(const std::string& text, size_t count) {
  std::string repeated;
  for (size_t i = 0; i < count; ++i) repeated += text;
  return repeated;
}

// A server's entry with one field replaced, or added.
std::string ServerEntry(const std::string& field, const std::string& value) {
  std::string entry = "{";
  const std::pair<const char*, const char*> fields[] = {
      {"service", "\"huvo11a\""},
      {"address", "\"10.128.0.9:8080\""},
      {"zone", "\"coimbra-a\""},
      {"version", "\"v1\""},
      {"slots", "2"},
      {"state", "\"ready\""},
      {"coldLeftMs", "0"},
      {"sequence", "4"},
      {"born", "1700000000000"}};
  for (const auto& [name, usual] : fields) {
    if (name == field) continue;
    absl::StrAppend(&entry, "\"", name, "\":", usual, ",");
  }
  return absl::StrCat(entry, "\"", field, "\":", value, "}");
}

std::string Response(const std::string& list, const std::string& key,
                     const std::string& entry) {
  std::string encoded;
  absl::Base64Escape(entry, &encoded);
  return absl::StrCat("{\"", list, "\":[{\"key\":\"", key, "\",\"value\":\"",
                      encoded, "\",\"rev\":412}],\"asOf\":413}");
}

void Write(const std::filesystem::path& directory, const std::string& name,
           const std::string& content) {
  std::filesystem::create_directories(directory);
  std::ofstream(directory / name, std::ios::binary) << content;
}

std::vector<std::string> OddValues() {
  constexpr size_t kDeep = 20'000;
  constexpr size_t kManyDigits = 2'000;
  return {Repeat("[", kDeep),
          Repeat("{\"a\":", kDeep),
          Repeat("[", kDeep) + Repeat("]", kDeep),
          Repeat("[", 60) + Repeat("]", 60),
          Repeat("9", kManyDigits),
          "0." + Repeat("0", kManyDigits) + "1e" + Repeat("9", 12),
          "1e999",
          "-1",
          "18446744073709551616",
          "\"10.128.0.9:65536\"",
          "\"10.128.0.9:-1\"",
          "\"/65536/\"",
          "null"};
}

void WriteStoreResponses(const std::filesystem::path& directory) {
  int number = 0;
  for (const std::string& value : OddValues()) {
    for (const char* field : {"address", "slots", "born", "other"}) {
      const std::string entry = ServerEntry(field, value);
      const std::string name = absl::StrCat("made-", ++number);
      // The first byte selects the parser; see store_response_fuzz.cc.
      Write(directory, name + "-range",
            "\x04" + Response("items", "servers/i-7f3a91c2", entry));
      Write(directory, name + "-watch",
            "\x05" + Response("events", "servers/i-7f3a91c2", entry));
      Write(directory, name + "-server", "\x06" + entry);
    }
    const std::string config = absl::StrCat(
        R"({"version":7,"routes":[{"host":"198.18.0.1","prefix":)", value,
        R"(,"service":"a"}],"limits":{"idleTimeoutMs":)", value, "}}");
    Write(directory, absl::StrCat("made-config-", ++number), "\x07" + config);
    Write(directory, absl::StrCat("made-config-watch-", number),
          "\x05" + Response("events", "op/config", config));
  }
}

// Values of the header of the store's era.
void WriteEras(const std::filesystem::path& directory) {
  int number = 0;
  for (const char* value : {"", "0", "6", "4", "-1", "+6", "6.5", "six",
                            "9223372036854775807", "9223372036854775808"}) {
    Write(directory, absl::StrCat("made-era-", ++number),
          absl::StrCat("E", value));
  }
}

void WriteFleetMessages(const std::filesystem::path& directory) {
  const FactsVersion version{.as_of = 9, .last_change = 7, .digest = 3};
  FactDelta delta{.after = 3, .as_of = 9, .config_base = 2};
  for (uint8_t number = 1; number <= 3; ++number) {
    ServerChange server{.name = Server(number).name, .revision = number};
    if (number != 2) server.server = Server(number);
    delta.servers.push_back(server);
    RouteChange route{.address = Route(number).address, .revision = number};
    if (number != 2) route.route = Route(number);
    delta.routes.push_back(route);
  }
  delta.limits = {.revision = 4, .limits = {.version = 9}};
  FactDelta snapshot = delta;
  snapshot.is_snapshot = true;
  // Of the era after that of the receiver's facts.
  FactDelta next_era = delta;
  next_era.after = {1, 10};
  next_era.as_of = {2, 9};
  next_era.spans = {{.first = {1, 4}, .last = {1, 12}},
                    {.first = {2, 8}, .last = {2, 9}}};
  next_era.config_base.reset();
  next_era.servers[0].revision = {1, 11};
  next_era.servers[1].revision = {2, 8};
  next_era.servers[1].applies_at = At(9'000);
  next_era.limits->revision = {2, 4};
  next_era.evacuations = {
      {.domain = "a", .revision = {2, 9}, .applies_at = At(9'000)}};
  FactDelta next_snapshot = next_era;
  next_snapshot.is_snapshot = true;
  next_snapshot.spans.clear();
  FactsVersion next_version = version;
  next_version.as_of.era = 2;
  next_version.past_spans = {{.first = {1, 4}, .last = {1, 12}}};
  const VmAddress vm{.id = 5, .control = Address(5), .domain = "a"};
  const Opening opening{
      .id = {.flow = 7, .syn_sequence = 8}, .mark = 2, .placed_at = At(4'800)};
  const std::vector<FleetMessage> messages = {
      FleetGossip{
          .reply_wanted = true,
          .facts = version,
          .watcher = 5,
          .lease_expires_at = At(6'000),
          .peers = {{.address = vm, .heartbeat = {.vm = 5, .incarnation = 1}}}},
      FactsNotice{.root = 5, .delta = delta},
      FactsNotice{.delta = snapshot, .confirmed_at = At(4'000)},
      FactsNotice{.root = 5, .delta = next_era},
      FactsNotice{.delta = next_snapshot},
      FactsRequest{.after = 4, .requester = vm, .may_wait = true},
      FactsRequest{.after = {1, 4}, .knows_eras = false},
      FactsReferral{.sender = vm, .peer = Address(6)},
      WatchLease{.root = 5, .watcher = 5, .watching = true, .facts = version},
      WatchLease{
          .root = 5, .watcher = 5, .watching = true, .facts = next_version},
      SuspicionNotice{.root = 5, .marks = {1, 2, 3}},
      AnswerNotice{.root = 5, .marks = {1, 2}, .answered_at = At(4'900)},
      OpeningNotice{.openings = {opening}},
      OpeningQuery{.id = opening.id, .requester = vm, .forwarded = true},
      OpeningReply{.id = opening.id, .sender = vm, .opening = opening}};
  int number = 0;
  for (const FleetMessage& message : messages) {
    Write(directory, absl::StrCat("made-", ++number),
          EncodeFleetMessage({.deployment = 1, .sender = 5, .message = message},
                             At(5'000)));
  }
}

void WriteSheets(const std::filesystem::path& directory) {
  int number = 0;
  for (const std::string& value : OddValues()) {
    Write(
        directory, absl::StrCat("made-", ++number),
        absl::StrCat(R"({"revision":1,"services":[{"number":)", value,
                     R"(,"servers":[{"number":1,"address":)", value, "}]}]}"));
    Write(directory, absl::StrCat("made-list-", number),
          absl::StrCat(R"({"vms":[{"id":)", value, "}]}"));
  }
}

void WriteSettings(const std::filesystem::path& directory) {
  int number = 0;
  for (const std::string& value : OddValues()) {
    Write(directory, absl::StrCat("made-", ++number),
          absl::StrCat("[limits]\nflows = ", value, "\n[peers]\nseeds = [",
                       value, "]\n"));
  }
}

}  // namespace
}  // namespace knapweedlift::fuzz

int main(int argc, char** argv) {
  using namespace knapweedlift::fuzz;
  if (argc != 2) {
    std::cerr << "usage: make_corpus DIRECTORY\n";
    return 2;
  }
  const std::filesystem::path directory = argv[1];
  WriteStoreResponses(directory / "store_response");
  WriteEras(directory / "store_response");
  WriteFleetMessages(directory / "fleet");
  WriteSheets(directory / "sheet");
  WriteSettings(directory / "settings");
  return 0;
}
