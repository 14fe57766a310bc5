#include "lab/marks/demo.h"

#include <filesystem>
#include <iostream>

#include "absl/strings/str_cat.h"
#include "drivers/clock.h"
#include "lab/marks/testbed.h"
#include "lab/text_file.h"

namespace knapweedlift::lab {
namespace {

constexpr Duration kReadyTimeout{60'000};
constexpr int kLongFlowsPerService = 40;
constexpr double kShortFlowsPerSecond = 20;
constexpr int kExtraRoutes = 200;
// The traffic runs in phases of equal length, with changes between them.
constexpr int64_t kPhaseCount = 5;

void WriteSettings(const MarksDemoOptions& options, const MarksPlan& plan,
                   const Endpoint& platform) {
  std::filesystem::create_directories(options.directory);
  std::string addresses;
  for (size_t i = 0; i < plan.vms.size(); ++i) {
    WriteTextFile(
        absl::StrCat(options.directory, "/vm-", i + 1, ".toml"),
        FormatVmSettings(plan, i, platform, {0, plan.vms.size() - 1}));
    absl::StrAppend(&addresses, "admin_", i + 1, "=",
                    FormatEndpoint(EndpointAt(plan.vms[i], plan.admin_port)),
                    "\n");
  }
  WriteTextFile(options.directory + "/addresses.sh", addresses);
}

}  // namespace

int RunMarksDemo(const MarksDemoOptions& options) {
  const MarksPlan plan = PlanMarks(options.vms);
  MarksTestbed testbed(plan);
  testbed.PutConfig(1);
  std::string draining;
  for (const std::string& domain : plan.domains) {
    draining = testbed.AddServer("atelier", domain);
    testbed.AddServer("atelier", domain);
    testbed.AddServer("catalogue", domain);
  }
  WriteSettings(options, plan, testbed.platform());
  const bool ready = testbed.RunUntil(
      [&] { return testbed.ready_vms() == plan.vms.size(); }, kReadyTimeout);
  if (!ready) {
    std::cerr << "only " << testbed.ready_vms() << " of " << plan.vms.size()
              << " VMs became ready within " << kReadyTimeout.count() / 1'000
              << " s; see the logs of their daemons\n";
    return 1;
  }
  const Duration phase_length =
      std::chrono::seconds(options.seconds) / kPhaseCount;
  testbed.StartClients(kLongFlowsPerService, kShortFlowsPerSecond);
  testbed.Run(phase_length);
  testbed.AddServer("atelier", plan.domains.front());
  testbed.PutConfig(2, kExtraRoutes);
  testbed.Run(phase_length);
  testbed.Drain(draining);
  testbed.Run(phase_length);
  testbed.PutConfig(3);
  testbed.Run(2 * phase_length);
  WriteTextFile(options.result_path, testbed.Finish().dump(2) + "\n");
  return 0;
}

}  // namespace knapweedlift::lab
