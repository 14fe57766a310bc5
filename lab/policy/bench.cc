#include "lab/policy/bench.h"

#include <iostream>
#include <nlohmann/json.hpp>

#include "absl/strings/str_format.h"

namespace knapweedlift::lab {
namespace {

// The fleet and its flows have settled by then.
constexpr int64_t kChangeMs = 20'000;
constexpr int64_t kEndMs = 60'000;
constexpr int64_t kRollPeriodMs = 3'000;

using Schedule = void (*)(PolicySimulation&);

void ScheduleSteady(PolicySimulation&) {}

void ScheduleAdd(PolicySimulation& world) {
  world.ScheduleAt(kChangeMs, [&world] {
    world.StartConvergenceMeasurement();
    world.PublishServers(world.options().servers + 1, {});
  });
}

void ScheduleDrain(PolicySimulation& world) {
  world.ScheduleAt(kChangeMs, [&world] {
    world.StartConvergenceMeasurement();
    world.PublishServers(world.options().servers, {3});
  });
}

void ScheduleRoll(PolicySimulation& world) {
  for (VmId id = 1; id <= world.options().vms; ++id) {
    const int64_t at = kChangeMs + id * kRollPeriodMs;
    world.ScheduleAt(at, [&world, id] { world.ShutDownVm(id); });
    world.ScheduleAt(at + 6'000, [&world, id] { world.StartVm(id); });
  }
}

// A drain runs meanwhile, so that what the VMs remember matters.
void ScheduleRollInDrain(PolicySimulation& world) {
  ScheduleDrain(world);
  ScheduleRoll(world);
}

void ScheduleCrash(PolicySimulation& world) {
  ScheduleDrain(world);
  world.ScheduleAt(kChangeMs + 10'000, [&world] { world.CrashVm(2); });
}

void ScheduleThirdCrash(PolicySimulation& world) {
  world.ScheduleAt(kChangeMs, [&world] {
    for (VmId id = 1; id <= world.options().vms; id += 3) world.CrashVm(id);
  });
}

void ScheduleDomainLoss(PolicySimulation& world) {
  world.ScheduleAt(kChangeMs, [&world] {
    for (VmId id = 1; id <= world.options().vms; ++id) {
      if (id % world.options().domains == 1) world.CrashVm(id);
    }
  });
}

void ScheduleSplitHeal(PolicySimulation& world) {
  world.ScheduleAt(kChangeMs, [&world] { world.PartitionDomain(1); });
  world.ScheduleAt(kChangeMs + 8'000, [&world] {
    world.PublishServers(world.options().servers, {3});
  });
  world.ScheduleAt(kChangeMs + 20'000, [&world] { world.HealPartition(); });
}

void SchedulePlatformDown(PolicySimulation& world) {
  world.ScheduleAt(kChangeMs - 1'000, [&world] { world.SetPlatformUp(false); });
  world.ScheduleAt(kChangeMs, [&world] { world.CrashVm(2); });
  world.ScheduleAt(kChangeMs + 5'000, [&world] { world.StartVm(2); });
  world.ScheduleAt(kChangeMs + 15'000, [&world] {
    world.SetPlatformUp(true);
    world.StartConvergenceMeasurement();
    world.PublishServers(world.options().servers + 1, {});
  });
}

void SchedulePauseWake(PolicySimulation& world) {
  world.ScheduleAt(kChangeMs - 500, [&world] { world.PauseVm(2, 15'000); });
  ScheduleDrain(world);
  world.ScheduleAt(kChangeMs + 10'000, [&world] { world.PauseVm(5, 1'200); });
}

void ScheduleStaleJoin(PolicySimulation& world) {
  ScheduleDrain(world);
  world.ScheduleAt(kChangeMs + 5'000, [&world] {
    world.SetPlatformStale(true);
    world.CrashVm(4);
  });
  world.ScheduleAt(kChangeMs + 7'000, [&world] { world.StartVm(4); });
}

void ScheduleEverything(PolicySimulation& world) {
  ScheduleDrain(world);
  world.ScheduleAt(kChangeMs + 300, [&world] { world.ShutDownVm(1); });
  world.ScheduleAt(kChangeMs + 500, [&world] { world.PauseVm(2, 4'000); });
  world.ScheduleAt(kChangeMs + 700, [&world] { world.CrashVm(3); });
  world.ScheduleAt(kChangeMs + 4'000, [&world] {
    world.PublishServers(world.options().servers + 1, {3});
    world.StartVm(3);
  });
  world.ScheduleAt(kChangeMs + 7'000, [&world] { world.StartVm(1); });
}

struct Scenario {
  const char* name;
  Schedule schedule;
};

constexpr Scenario kScenarios[] = {
    {"steady", ScheduleSteady},
    {"add", ScheduleAdd},
    {"drain", ScheduleDrain},
    {"roll-all-vms", ScheduleRoll},
    {"roll-in-drain", ScheduleRollInDrain},
    {"vm-crash", ScheduleCrash},
    {"third-crash", ScheduleThirdCrash},
    {"domain-loss", ScheduleDomainLoss},
    {"split-heal", ScheduleSplitHeal},
    {"platform-down", SchedulePlatformDown},
    {"pause-wake", SchedulePauseWake},
    {"stale-join", ScheduleStaleJoin},
    {"everything-at-once", ScheduleEverything},
};

nlohmann::json ToJson(const std::string& scenario, Strategy strategy,
                      const PolicySimulationOptions& options,
                      const PolicySimulationResult& result) {
  const double packets =
      static_cast<double>(std::max<uint64_t>(1, result.packets));
  return {{"scenario", scenario},
          {"strategy", StrategyName(strategy)},
          {"tenant", options.tenant},
          {"seed", options.seed},
          {"flows", result.flows},
          {"avoidable_broken", result.avoidable_broken},
          {"unavoidable_broken", result.unavoidable_broken},
          {"guessed", result.misrouted},
          {"dropped_by_choice", result.dropped_by_policy},
          {"doubled", result.duplicate_executions},
          {"late_new_work", result.late_new_flows},
          {"stalled", result.stalled},
          {"imbalance", result.imbalance},
          {"control_bytes_per_vm_s", result.control_bytes_mean},
          {"control_bytes_worst_second", result.control_bytes_worst_second},
          {"convergence_ms", result.convergence_ms},
          {"extra_hops", static_cast<double>(result.relayed) / packets}};
}

void PrintRow(const nlohmann::json& row) {
  absl::PrintF(
      "%-20s %-13s %5d %8d %8d %7d %7d %7d %9.3f %9.0f %9.0f %8d "
      "%8.4f\n",
      row["scenario"].get<std::string>(), row["strategy"].get<std::string>(),
      row["seed"].get<int>(), row["flows"].get<int>(),
      row["avoidable_broken"].get<int>(), row["guessed"].get<int>(),
      row["late_new_work"].get<int>(), row["stalled"].get<int>(),
      row["imbalance"].get<double>(),
      row["control_bytes_per_vm_s"].get<double>(),
      row["control_bytes_worst_second"].get<double>(),
      row["convergence_ms"].get<int>(), row["extra_hops"].get<double>());
}

bool KeepsPromises(const PolicySimulationResult& result) {
  return result.avoidable_broken == 0 && result.duplicate_executions == 0 &&
         result.late_new_flows == 0;
}

}  // namespace

const std::vector<std::string>& ScenarioNames() {
  static const std::vector<std::string> names = [] {
    std::vector<std::string> all;
    for (const Scenario& scenario : kScenarios) all.emplace_back(scenario.name);
    return all;
  }();
  return names;
}

std::optional<PolicySimulationOptions> TenantOptions(
    const std::string& tenant) {
  PolicySimulationOptions options;
  options.tenant = tenant;
  if (tenant == "mondego") return options;
  if (tenant != "cuna") return std::nullopt;
  options.domains = 4;
  options.domain_delay_us = 1'500;
  options.vms = 15;
  options.long_flows = 60'000;
  return options;
}

PolicySimulationOptions SmallOptions(const std::string& tenant) {
  PolicySimulationOptions options =
      TenantOptions(tenant).value_or(PolicySimulationOptions{});
  options.vms = 7;
  options.servers = 6;
  options.buckets = 8'192;
  options.long_flows = 1'000;
  options.long_pause_us = 3'000'000;
  options.short_flows_per_second = 100;
  return options;
}

PolicySimulationResult RunScenario(const std::string& scenario,
                                   Strategy strategy,
                                   const PolicySimulationOptions& options) {
  PolicySimulation world(options, strategy);
  for (const Scenario& known : kScenarios) {
    if (scenario == known.name) known.schedule(world);
  }
  world.RunUntil(kEndMs);
  return world.Result();
}

int RunPolicyBench(const PolicyBenchOptions& options) {
  auto sizes = TenantOptions(options.tenant);
  const auto strategy = StrategyByName(options.strategy);
  if (!sizes.has_value() ||
      (!options.strategy.empty() && !strategy.has_value())) {
    std::cerr << "unknown tenant or strategy\n";
    return 2;
  }
  if (options.small) sizes = SmallOptions(options.tenant);
  if (options.fleet > 0) sizes->vms = options.fleet;
  if (!options.json) {
    absl::PrintF("%-20s %-13s %5s %8s %8s %7s %7s %7s %9s %9s %9s %8s %8s\n",
                 "scenario", "strategy", "seed", "flows", "broken", "guessed",
                 "late", "stalled", "imbalance", "B/s mean", "B/s worst",
                 "conv ms", "hops");
  }
  bool kept = true;
  for (const std::string& scenario : ScenarioNames()) {
    if (!options.scenario.empty() && options.scenario != scenario) continue;
    for (const Strategy candidate : AllStrategies()) {
      if (strategy.has_value() && *strategy != candidate) continue;
      for (uint64_t i = 0; i < options.seeds; ++i) {
        sizes->seed = options.first_seed + i;
        const PolicySimulationResult result =
            RunScenario(scenario, candidate, *sizes);
        const auto row = ToJson(scenario, candidate, *sizes, result);
        if (options.json) {
          std::cout << row.dump() << std::endl;
        } else {
          PrintRow(row);
        }
        if (candidate == Strategy::kBucketTables)
          kept = kept && KeepsPromises(result);
      }
    }
  }
  return kept ? 0 : 1;
}

}  // namespace knapweedlift::lab
