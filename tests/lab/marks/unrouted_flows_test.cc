#include "lab/marks/testbed.h"
#include "platform/names.h"
#include "tests/lab/marks/deployment.h"

using namespace knapweedlift;
using namespace knapweedlift::lab;
using namespace knapweedlift::testing;

namespace {

constexpr int kFlowsPerDomain = 4;
// A configuration must be in force within this time.
constexpr Duration kConfigTime{3'000};

// Returns how many packets of all VMs had the result with this name.
uint64_t SumResults(const Deployment& deployment, const std::string& result) {
  const std::string name = ",name=\"" + result + "\"} ";
  uint64_t sum = 0;
  for (const auto& [index, vm] : deployment.vms) {
    const std::string metrics = vm->Get("/metrics");
    const size_t found = metrics.find(name);
    if (found == std::string::npos) continue;
    sum += std::stoull(metrics.substr(found + name.size()));
  }
  return sum;
}

}  // namespace

// Guards against flows that go on without a route through VMs that started
// after it was dropped and know nothing of it.
Test(unrouted_flows, of_a_dropped_route_end_at_vms_that_never_knew_it,
     .timeout = 120) {
  Deployment deployment;
  MarksTestbed& testbed = deployment.testbed;
  testbed.StartClients(kFlowsPerDomain, 0);
  cr_assert(testbed.RunUntil(
      [&] { return testbed.SumTotals().responses > 100; }, kTimeout));
  for (auto& [index, vm] : deployment.vms) vm->Kill();
  deployment.vms.clear();
  const ServiceAddress& kept = deployment.plan.services[0];
  testbed.store().Put(platform::names::kConfigKey,
                      FormatConfig(2, {{kept.address, kept.name}}));
  for (size_t i = 0; i < deployment.plan.vms.size(); ++i) {
    deployment.StartVm(i);
  }
  const uint64_t dropped_flows =
      kFlowsPerDomain * deployment.plan.domains.size();
  cr_assert(testbed.RunUntil(
      [&] { return deployment.AllReport("phase", "serving"); }, kTimeout));
  const TimePoint serving_at = Now();
  cr_expect(testbed.RunUntil(
      [&] { return testbed.SumTotals().reset_flows >= dropped_flows; },
      kTimeout));
  cr_expect(Now() - serving_at <= kConfigTime, "after %ld ms",
            static_cast<long>((Now() - serving_at).count()));
  cr_expect(SumResults(deployment, "forwarded_without_route") > 0);
  const ClientTotals sum = deployment.Finish();
  cr_expect(sum.reset_flows == dropped_flows,
            "%lu flows were reset, %lu had a dropped route", sum.reset_flows,
            dropped_flows);
}
