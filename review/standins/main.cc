// Plays one case: main CASE DIRECTORY RECORD. The variable TROUBLE=0 leaves the
// disruption out. Exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run.
#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "world.h"

namespace review {
namespace {

constexpr Ms kTrafficStart = 3'000;
constexpr Ms kConfigApply = 3'000;

const Route kFirst{.host = "127.250.0.1", .port = 8443, .service = "dele69a"};
const Route kSecond{.host = "127.250.0.2", .port = 443, .service = "xano55b"};

bool AllInRotation(const World& world) {
  for (const Vm& vm : world.vms) {
    if (!vm.in_rotation) return false;
  }
  return true;
}

// Two zones with two machines each, and three endpoints of each service a zone.
void Deploy(World& world) {
  for (const char* zone : {"coimbra-a", "coimbra-b"}) {
    world.AddVm(zone);
    world.AddVm(zone);
    for (int i = 0; i < 3; ++i) {
      world.AddEndpoint("dele69a", zone);
      world.AddEndpoint("xano55b", zone);
    }
  }
  world.PutConfig(7, {kFirst, kSecond});
  world.StartVms();
}

int CannotRun(World& world, const char* reason) {
  world.Note(std::string("the case cannot run: ") + reason);
  return 2;
}

void Count(World& world, Ms from, int& asked, int& answered) {
  asked = 0;
  answered = 0;
  for (const auto& [id, request] : world.requests) {
    if (request.sent_at < from) continue;
    ++asked;
    if (request.answered) ++answered;
  }
  world.Note("requests sent later than " + std::to_string(from) + " ms: " +
             std::to_string(asked) + ", answered " + std::to_string(answered));
}

// An entry of another writer whose bytes cannot be read: 20,000 brackets.
int PlayUnreadableEntry(World& world, bool trouble) {
  Deploy(world);
  world.RunUntil(kTrafficStart);
  if (!AllInRotation(world)) return CannotRun(world, "a machine is not ready");
  for (const char* zone : {"coimbra-a", "coimbra-b"}) {
    for (const Route& route : {kFirst, kSecond}) {
      world.AddTraffic({.route = route,
                        .zone = zone,
                        .lasting = 6,
                        .pause = 300,
                        .per_second = 4});
    }
  }
  world.RunUntil(10'000);
  if (trouble) {
    world.store.Put("servers/i-00c0ffee", std::string(20'000, '['));
    world.Note("another writer writes servers/i-00c0ffee: 20000 times '['");
  }
  world.RunUntil(30'000);
  int asked = 0;
  int answered = 0;
  Count(world, 12'000, asked, answered);
  int ended_thrice = 0;
  for (const Vm& vm : world.vms) {
    world.Note(vm.name + " ended by itself " + std::to_string(vm.own_ends) +
               " times");
    if (vm.own_ends >= 3) ++ended_thrice;
  }
  world.Note("flows that got no answer: " +
             std::to_string(world.unanswered_flows));
  return ended_thrice >= 2 ? 1 : 0;
}

// An entry of another writer that lacks `born`, with the address of an endpoint
// that lives.
int PlayEntryWithoutBorn(World& world, bool trouble) {
  Deploy(world);
  world.RunUntil(kTrafficStart);
  if (!AllInRotation(world)) return CannotRun(world, "a machine is not ready");
  for (const char* zone : {"coimbra-a", "coimbra-b"}) {
    world.AddTraffic(
        {.route = kFirst, .zone = zone, .lasting = 16, .pause = 150});
    world.AddTraffic(
        {.route = kSecond, .zone = zone, .lasting = 8, .pause = 300});
  }
  world.RunUntil(12'000);
  const int before = world.resets_of_open_flows;
  if (trouble) {
    const Endpoint& endpoint = *world.endpoints.front();
    world.store.Put("servers/i-00c0ffee", World::Entry(endpoint, 0));
    world.Note(
        "another writer writes servers/i-00c0ffee without born, with "
        "the address of " +
        endpoint.id);
  }
  world.RunUntil(40'000);
  world.Note(
      "open flows that the system reset before: " + std::to_string(before) +
      ", in all: " + std::to_string(world.resets_of_open_flows));
  world.Note("flows that got no answer: " +
             std::to_string(world.unanswered_flows));
  int asked = 0;
  int answered = 0;
  Count(world, 12'000, asked, answered);
  return world.resets_of_open_flows > 0 ? 1 : 0;
}

// Requests for a dropped route that were run although their flow was opened
// later than the bound after the acknowledgement.
int CountStale(World& world, const Route& dropped, Ms acknowledged) {
  const std::string route = dropped.host + ":" + std::to_string(dropped.port);
  int stale = 0;
  Ms last = 0;
  for (const auto& [id, request] : world.requests) {
    const bool broken = request.route == route && request.runs > 0 &&
                        request.flow_syn_at > acknowledged + kConfigApply;
    if (!broken) continue;
    ++stale;
    last = std::max(last, request.flow_syn_at);
  }
  world.Note("requests run with the dropped route, opened later than " +
             std::to_string(kConfigApply) +
             " ms after the acknowledgement: " + std::to_string(stale) +
             (stale == 0
                  ? ""
                  : ", the last one " + std::to_string(last - acknowledged) +
                        " ms after it"));
  return stale;
}

// Nobody reads the output of two of the three machines. A route is dropped
// later.
int PlayUnreadOutput(World& world, bool trouble) {
  for (int i = 0; i < 3; ++i) {
    world.AddVm("coimbra-a");
    world.vms.back().output_is_read = !trouble || i == 0;
    world.AddEndpoint("dele69a", "coimbra-a");
    world.AddEndpoint("xano55b", "coimbra-a");
  }
  world.PutConfig(7, {kFirst, kSecond});
  world.StartVms();
  world.RunUntil(kTrafficStart);
  if (!AllInRotation(world)) return CannotRun(world, "a machine is not ready");
  for (const Route& route : {kFirst, kSecond}) {
    world.AddTraffic({.route = route, .zone = "coimbra-a", .per_second = 40});
  }
  world.RunUntil(45'000);
  const Ms acknowledged = world.PutConfig(8, {kFirst});
  world.RunUntil(60'000);
  const int stale = CountStale(world, kSecond, acknowledged);
  for (const Vm& vm : world.vms) {
    world.Note(vm.name + (vm.in_rotation ? " is" : " is not") +
               " in rotation at the end");
  }
  return stale > 0 ? 1 : 0;
}

int Play(const std::string& name, const std::string& directory, FILE* record) {
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = setting == nullptr || std::strcmp(setting, "0") != 0;
  // Never destroyed, since the threads of the store use it to the end.
  World& world = *new World({.directory = directory,
                             .binary = "target/main/knapweedlift",
                             .settings_template = "deploy/vm.toml.template",
                             .record = record});
  int result = 2;
  if (name == "unreadable-entry") result = PlayUnreadableEntry(world, trouble);
  if (name == "entry-without-born")
    result = PlayEntryWithoutBorn(world, trouble);
  if (name == "unread-output") result = PlayUnreadOutput(world, trouble);
  world.StopVms();
  if (world.altered > 0) {
    world.Note("altered packets or answers: " + std::to_string(world.altered));
  }
  world.Note(std::string("TROUBLE=") + (trouble ? "1" : "0") + ": " +
             (result == 1   ? "the rule is broken"
              : result == 0 ? "the rule held"
                            : "the case could not run"));
  return result;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 4) return 2;
  signal(SIGPIPE, SIG_IGN);
  FILE* record = std::fopen(argv[3], "we");
  if (record == nullptr) return 2;
  const int result = review::Play(argv[1], argv[2], record);
  std::fclose(record);
  std::fflush(nullptr);
  _Exit(result);
}
