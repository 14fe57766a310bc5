#include "servers/marks/view_diff.h"

#include "tests/support/facts.h"
#include "tests/support/properties.h"

using namespace knapweedlift;
using namespace knapweedlift::testing;
using nlohmann::json;

namespace {

MarkView ViewOf(const Registry& registry, TimePoint now = At(0)) {
  ViewBuildState memory;
  return BuildMarkView(registry, {}, "a", now, memory);
}

}  // namespace

Test(view_diff, lists_changed_entries_only) {
  Registry registry = RegistryOf({Server(1), Server(2), Server(3)});
  const MarkView before = ViewOf(registry);
  FactDelta delta{.after = 10, .as_of = 14};
  ServerFact leaving = Server(1);
  leaving.draining = true;
  delta.servers.push_back(
      {.name = leaving.name, .revision = 11, .server = leaving});
  delta.servers.push_back({.name = Server(2).name, .revision = 12});
  delta.servers.push_back(
      {.name = Server(4).name, .revision = 13, .server = Server(4)});
  delta.routes.push_back({.address = Route(200).address, .revision = 14});
  MergeDelta(registry, delta, At(0));
  const json fields = DescribeViewChange(&before, ViewOf(registry));
  cr_expect(fields == json({{"revision", 14},
                            {"era", 0},
                            {"config_version", 1},
                            {"servers_leaving", json::array({Server(1).name})},
                            {"servers_gone", json::array({Server(2).name})},
                            {"servers_ready", json::array({Server(4).name})},
                            {"routes_removed", 1}}));
}

Test(view_diff, lists_held_servers_apart_from_removed_ones) {
  Registry registry = RegistryOf({Server(1)});
  const MarkView before = ViewOf(registry);
  FactDelta delta{.after = 10, .as_of = 11, .removals_held_until = At(2'500)};
  delta.servers.push_back({.name = Server(1).name, .revision = 11});
  MergeDelta(registry, delta, At(0));
  const json fields = DescribeViewChange(&before, ViewOf(registry));
  cr_expect(fields["servers_held"] == json::array({Server(1).name}));
  cr_expect(not fields.contains("servers_gone"));
}

Test(view_diff, caps_listed_names_for_the_first_view) {
  std::vector<ServerFact> servers;
  for (uint8_t number = 1; number <= 100; ++number) {
    servers.push_back(Server(number));
  }
  const json fields = DescribeViewChange(nullptr, ViewOf(RegistryOf(servers)));
  const size_t more = fields["servers_ready_more"].get<size_t>();
  cr_expect(fields["servers_ready"].size() + more == 100);
  cr_expect(fields["servers_ready"].size() < 10);
  cr_expect(fields["routes_added"] == 1);
}

Test(view_diff, lists_evacuations_that_began_or_ended) {
  Registry registry = RegistryOf({Server(1)});
  const MarkView before = ViewOf(registry);
  MergeDelta(registry, EvacuationDelta("a", 11), At(0));
  const MarkView evacuated = ViewOf(registry);
  json fields = DescribeViewChange(&before, evacuated);
  cr_expect(fields["evacuated"] == json::array({"a"}));
  cr_expect(not fields.contains("evacuations_ended"));
  cr_expect(DescribeViewChange(nullptr, evacuated)["evacuated"] ==
            json::array({"a"}));
  MergeDelta(registry, EvacuationDelta("a", 12, false), At(0));
  fields = DescribeViewChange(&evacuated, ViewOf(registry));
  cr_expect(fields["evacuations_ended"] == json::array({"a"}));
  cr_expect(not fields.contains("evacuated"));
}

Test(view_diff, reports_an_evacuated_domain_without_servers_once) {
  Registry registry = RegistryOf({Server(1)});
  const MarkView before = ViewOf(registry);
  MergeDelta(registry, EvacuationDelta("a", 11), At(0));
  MergeDelta(registry, EvacuationDelta("misspelled", 12), At(0));
  const MarkView evacuated = ViewOf(registry);
  cr_expect(UnknownEvacuatedDomains(&before, evacuated) ==
            std::vector<std::string>({"misspelled"}));
  cr_expect(UnknownEvacuatedDomains(&evacuated, evacuated).empty());
}
