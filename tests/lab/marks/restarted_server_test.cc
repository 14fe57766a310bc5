#include "lab/marks/testbed.h"
#include "tests/lab/marks/deployment.h"

using namespace knapweedlift;
using namespace knapweedlift::lab;
using namespace knapweedlift::testing;

// Regression test: flows that a restarted server had accepted before its new
// entry arrived were reset by the VMs when it did (review/8).
Test(restarted_server, keeps_the_flows_that_it_accepted_before_its_new_entry,
     .timeout = 120) {
  constexpr Duration kDownTime{50};
  Deployment deployment;
  MarksTestbed& testbed = deployment.testbed;
  deployment.StartClients();
  const std::string& server = deployment.servers[0];
  testbed.Crash(server);
  testbed.Run(kDownTime);
  testbed.Restart(server);
  const TimePoint restarted_at = Now();
  cr_assert(testbed.RunUntil([&] { return testbed.FlowCount(server) > 0; },
                             kTimeout));
  testbed.Run(Duration(500));
  testbed.RegisterAgain(server);
  const uint64_t revision = testbed.store().revision();
  cr_assert(testbed.RunUntil(
      [&] { return deployment.AllReport("revision", revision); }, kTimeout));
  testbed.Run(Duration(1'000));
  const std::vector<ClientFlowRecord> flows = testbed.ClientFlows();
  const auto reset_by_vm = std::count_if(
      flows.begin(), flows.end(), [restarted_at](const auto& flow) {
        return flow.opened_at > restarted_at && flow.end == FlowEnd::kResetByVm;
      });
  cr_expect(reset_by_vm == 0, "%ld flows", static_cast<long>(reset_by_vm));
  cr_expect(testbed.FlowCount(server) > 0);
  deployment.Finish();
}
