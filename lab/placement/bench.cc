#include "lab/placement/bench.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <utility>

#include "absl/strings/str_format.h"

namespace knapweedlift::lab {
namespace {

constexpr std::array<std::pair<const char*, PlacementStrategy>, 6>
    kStrategyNames = {{{"ours", PlacementStrategy::kLoadAware},
                       {"all-knowing", PlacementStrategy::kLoadAwareOracle},
                       {"rendezvous", PlacementStrategy::kRendezvous},
                       {"round-robin", PlacementStrategy::kRoundRobin},
                       {"least-flows", PlacementStrategy::kLeastFlows},
                       {"two-choices", PlacementStrategy::kTwoChoices}}};

// Returns four failure domains, of which the last one has the highest request
// rate and the fewest VMs. The load factor scales all request rates.
std::vector<PlacementDomain> DomainsAtLoad(double load_factor) {
  return {{.vms = 4, .servers = 4, .requests_per_second = 89 * load_factor},
          {.vms = 4, .servers = 4, .requests_per_second = 100 * load_factor},
          {.vms = 4, .servers = 3, .requests_per_second = 102 * load_factor},
          {.vms = 2, .servers = 3, .requests_per_second = 108 * load_factor}};
}

constexpr double kNormalLoad = 0.9;
constexpr double kPeakLoad = 1.1;

std::vector<PlacementScenario> MakeScenarios() {
  std::vector<PlacementDomain> unbalanced = DomainsAtLoad(kNormalLoad);
  unbalanced.back().requests_per_second *= 1.6;
  return {
      {.name = "steady", .domains = DomainsAtLoad(kNormalLoad)},
      {.name = "peak", .domains = DomainsAtLoad(kPeakLoad)},
      {.name = "lopsided", .domains = unbalanced},
      {.name = "herd",
       .domains = DomainsAtLoad(kPeakLoad),
       .restart_vms_at_ms = 8'000},
      {.name = "cold",
       .domains = DomainsAtLoad(kNormalLoad),
       .replace_servers_at_ms = 8'000},
      {.name = "burst",
       .domains = DomainsAtLoad(kNormalLoad),
       .burst_start_ms = 8'000,
       .burst_duration_ms = 4'000,
       .burst_factor = 1.7},
  };
}

void AddResult(PlacementResult& sum, const PlacementResult& result) {
  sum.requests += result.requests;
  sum.on_time += result.on_time;
  sum.late += result.late;
  sum.failed += result.failed;
  sum.rejections += result.rejections;
  sum.p99_ms = std::max(sum.p99_ms, result.p99_ms);
  sum.peak_to_mean_ratio =
      std::max(sum.peak_to_mean_ratio, result.peak_to_mean_ratio);
  sum.cross_domain_share =
      std::max(sum.cross_domain_share, result.cross_domain_share);
}

}  // namespace

const std::vector<PlacementScenario>& PlacementScenarios() {
  static const std::vector<PlacementScenario> scenarios = MakeScenarios();
  return scenarios;
}

const PlacementScenario* FindPlacementScenario(const std::string& name) {
  for (const PlacementScenario& scenario : PlacementScenarios()) {
    if (scenario.name == name) return &scenario;
  }
  return nullptr;
}

int RunPlacementBench(const PlacementBenchOptions& options) {
  bool found = false;
  std::cout << absl::StreamFormat(
      "%-9s %-12s %9s %8s %8s %8s %8s %7s %8s %7s\n", "scenario", "strategy",
      "requests", "on time", "late", "failed", "refused", "p99 ms", "busiest",
      "remote");
  for (const PlacementScenario& scenario : PlacementScenarios()) {
    if (!options.scenario.empty() && options.scenario != scenario.name) {
      continue;
    }
    for (const auto& [name, strategy] : kStrategyNames) {
      if (!options.strategy.empty() && options.strategy != name) continue;
      found = true;
      PlacementResult sum;
      for (uint64_t i = 0; i < options.seeds; ++i) {
        AddResult(
            sum, SimulatePlacement(scenario, strategy, options.first_seed + i));
      }
      std::cout << absl::StreamFormat(
          "%-9s %-12s %9d %8d %8d %8d %8d %7.0f %8.2f %7.3f\n", scenario.name,
          name, sum.requests, sum.on_time, sum.late, sum.failed, sum.rejections,
          sum.p99_ms, sum.peak_to_mean_ratio, sum.cross_domain_share);
    }
  }
  if (found) return 0;
  std::cerr << "bench placement: unknown scenario \"" << options.scenario
            << "\" or unknown strategy \"" << options.strategy
            << "\"; omit --scenario and --strategy to run all\n";
  return 2;
}

}  // namespace knapweedlift::lab
