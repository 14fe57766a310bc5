#include "tests/lab/marks/deployment.h"

using namespace knapweedlift;
using namespace knapweedlift::testing;
using lab::RewriteTimes;

namespace {

// Time from a write until all VMs have to act on it.
constexpr Duration kApplyTime{3'000};
// Absence of the store.
constexpr Duration kAbsence{500};

// Lets the store go away and return without the last three versions of the
// configuration, the newest of which is written again.
void ReturnWithoutThreeVersions(Deployment& deployment,
                                const RewriteTimes& times) {
  deployment.testbed.store().TakeCopy();
  for (uint64_t version = 2; version <= 4; ++version) {
    deployment.testbed.PutConfig(version);
    deployment.testbed.Run(Duration(200));
  }
  cr_assert(deployment.testbed.RunUntil(
      [&] { return deployment.AllReport("config_version", 4); }, kApplyTime));
  deployment.testbed.store().SetAway(true);
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
  ReturnWithoutThreeVersions(deployment, {});
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
  ReturnWithoutThreeVersions(deployment, {.operator_delay = Duration(0)});
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
