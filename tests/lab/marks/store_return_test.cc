#include "tests/lab/marks/deployment.h"

using namespace knapweedlift;
using namespace knapweedlift::testing;
using lab::RewriteTimes;

namespace {

// Time from a write until all VMs have to act on it.
constexpr Duration kApplyTime{3'000};
// Absence of the store.
constexpr Duration kAbsence{500};

// Writes three versions of the configuration after the present one. Then lets
// the store go away and return without them, and with another header of its era
// if one is given. The newest version is written again.
void ReturnWithoutNewVersions(
    Deployment& deployment, uint64_t present, const RewriteTimes& times,
    const std::optional<std::string>& era_header = {}) {
  const uint64_t newest = present + 3;
  deployment.testbed.store().TakeCopy();
  for (uint64_t version = present + 1; version <= newest; ++version) {
    deployment.testbed.PutConfig(version);
    deployment.testbed.Run(Duration(200));
  }
  cr_assert(deployment.testbed.RunUntil(
      [&] { return deployment.AllReport("config_version", newest); },
      kApplyTime));
  deployment.testbed.store().SetAway(true);
  deployment.testbed.store().SetEraHeader(era_header);
  deployment.testbed.Run(kAbsence);
  deployment.testbed.ReturnStoreFromCopy(times);
}

// The state of a server in the status of a VM.
std::string StateOf(const RunningVm& vm, const std::string& id) {
  const json status = vm.Status();
  for (const json& server : status["servers"]) {
    if (server["name"] == id) return server["state"];
  }
  return "unknown";
}

}  // namespace

// The loss (review case 11): revisions went back, and VMs ignored all changes
// until these had passed the revision that they had.
Test(store_return, changes_after_it_reach_all_vms) {
  Deployment deployment;
  ReturnWithoutNewVersions(deployment, 1, {});
  deployment.testbed.store().SetAway(false);
  deployment.testbed.Run(Duration(1'000));
  deployment.testbed.PutConfig(5, 1);
  const std::string leaving = deployment.servers[0];
  deployment.testbed.Drain(leaving);
  cr_expect(deployment.testbed.RunUntil(
      [&] {
        return deployment.AllReport("config_version", 5) &&
               deployment.AllReport("routes", 3) &&
               std::all_of(deployment.vms.begin(), deployment.vms.end(),
                           [&leaving](const auto& item) {
                             return StateOf(*item.second, leaving) ==
                                    "draining";
                           });
      },
      kApplyTime));
}

// The loss (review case 13): a watch from the old revision succeeded, since
// that revision had been given out again, and skipped what came before it.
Test(store_return, changes_at_revisions_that_are_given_out_again_are_not_lost) {
  Deployment deployment;
  ReturnWithoutNewVersions(deployment, 1, {.operator_delay = Duration(0)});
  deployment.testbed.PutConfig(5, 1);
  for (int i = 0; i < 10; ++i) {
    deployment.testbed.RegisterAgain(deployment.servers[0]);
  }
  deployment.testbed.store().SetAway(false);
  cr_expect(deployment.testbed.RunUntil(
      [&] {
        return deployment.AllReport("config_version", 5) &&
               deployment.AllReport("routes", 3);
      },
      kApplyTime));
}

// The rules: no open flow ends because the copy lacks a server's entry, and a
// draining server gets no new flow though the copy shows it as ready. Finish
// checks the second. A VM is killed and starts while the store is away.
Test(store_return, ends_no_flow_and_opens_none_on_a_draining_server) {
  Deployment deployment;
  deployment.testbed.store().TakeCopy();
  for (const std::string& domain : deployment.plan.domains) {
    deployment.testbed.AddServer("atelier", domain);
  }
  deployment.testbed.Drain(deployment.servers[0]);
  cr_assert(deployment.testbed.RunUntil(
      [&] {
        return StateOf(*deployment.vms.at(5), deployment.servers[0]) ==
               "draining";
      },
      kApplyTime));
  deployment.StartClients();
  deployment.testbed.store().SetAway(true);
  deployment.vms.erase(0);
  deployment.testbed.Run(kAbsence);
  deployment.testbed.ReturnStoreFromCopy({});
  deployment.testbed.store().SetAway(false);
  deployment.StartVm(0);
  deployment.testbed.Run(Duration(6'000));
  cr_expect(deployment.AllReport("era", 2));
  const ClientTotals sum = deployment.Finish();
  cr_expect(sum.flows_reset_by_vms == 0);
}

// An evacuation that the copy lacks goes on, until the operator ends it.
Test(store_return, keeps_an_evacuation) {
  Deployment deployment;
  const std::string domain = deployment.plan.domains[0];
  deployment.testbed.store().TakeCopy();
  deployment.testbed.Evacuate(domain);
  cr_assert(deployment.testbed.RunUntil(
      [&] { return deployment.AllReport("evacuated_domains", 1); },
      kApplyTime));
  deployment.testbed.store().SetAway(true);
  deployment.testbed.Run(kAbsence);
  deployment.testbed.ReturnStoreFromCopy({.operator_delay = Duration(2'000)});
  deployment.testbed.store().SetAway(false);
  deployment.testbed.Run(Duration(1'500));
  cr_expect(deployment.AllReport("era", 2));
  cr_expect(deployment.AllReport("evacuated_domains", 1));
  deployment.testbed.Run(Duration(1'000));
  deployment.testbed.EndEvacuation(domain);
  cr_expect(deployment.testbed.RunUntil(
      [&] { return deployment.AllReport("evacuated_domains", 0); },
      kApplyTime));
}

// The VMs serve on, and learn of changes once the header is right again.
Test(store_return, with_a_wrong_header_keeps_the_fleet_serving) {
  Deployment deployment;
  uint64_t version = 1;
  for (const char* header : {"", "two", "0"}) {
    ReturnWithoutNewVersions(deployment, version, {}, header);
    deployment.testbed.store().SetAway(false);
    deployment.testbed.Run(Duration(1'000));
    cr_expect(deployment.AllReport("config_version", version + 3),
              "no VM goes back");
    deployment.testbed.store().SetEraHeader({});
    version += 4;
    deployment.testbed.PutConfig(version);
    cr_expect(
        deployment.testbed.RunUntil(
            [&] { return deployment.AllReport("config_version", version); },
            kApplyTime),
        "header '%s'", header);
  }
  cr_expect(deployment.testbed.ready_vms() == deployment.vms.size());
}
