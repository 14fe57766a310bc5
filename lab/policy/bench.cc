#include "lab/policy/bench.h"

#include <iostream>
#include <nlohmann/json.hpp>

#include "absl/strings/str_format.h"

namespace knapweedlift::lab {
namespace {

// Scenarios inject their events from about this time on. The VMs are ready and
// the long flows are open by then.
constexpr int64_t kScenarioEventMs = 20'000;
constexpr int64_t kRunDurationMs = 60'000;
constexpr int64_t kRollingRestartIntervalMs = 3'000;

using ScheduleFunction = void (*)(PolicySimulation&);

void ScheduleSteady(PolicySimulation&) {}

void ScheduleServerAddition(PolicySimulation& simulation) {
  simulation.RunAt(kScenarioEventMs, [&simulation] {
    simulation.StartConvergenceMeasurement();
    simulation.PublishServers(simulation.options().servers + 1, {});
  });
}

void ScheduleDrain(PolicySimulation& simulation) {
  simulation.RunAt(kScenarioEventMs, [&simulation] {
    simulation.StartConvergenceMeasurement();
    simulation.PublishServers(simulation.options().servers, {3});
  });
}

void ScheduleRollingRestart(PolicySimulation& simulation) {
  for (VmId id = 1; id <= simulation.options().vms; ++id) {
    const int64_t at = kScenarioEventMs + id * kRollingRestartIntervalMs;
    simulation.RunAt(at, [&simulation, id] { simulation.ShutDownVm(id); });
    simulation.RunAt(at + 6'000, [&simulation, id] { simulation.StartVm(id); });
  }
}

// During a drain the server of a flow depends on the state that VMs hold, so
// that a restart reveals state that was not handed over.
void ScheduleRollingRestartDuringDrain(PolicySimulation& simulation) {
  ScheduleDrain(simulation);
  ScheduleRollingRestart(simulation);
}

void ScheduleVmCrash(PolicySimulation& simulation) {
  ScheduleDrain(simulation);
  simulation.RunAt(kScenarioEventMs + 10'000,
                   [&simulation] { simulation.CrashVm(2); });
}

void ScheduleCrashOfEveryThirdVm(PolicySimulation& simulation) {
  simulation.RunAt(kScenarioEventMs, [&simulation] {
    for (VmId id = 1; id <= simulation.options().vms; id += 3) {
      simulation.CrashVm(id);
    }
  });
}

void ScheduleDomainLoss(PolicySimulation& simulation) {
  simulation.RunAt(kScenarioEventMs, [&simulation] {
    for (VmId id = 1; id <= simulation.options().vms; ++id) {
      if (id % simulation.options().domains == 1) simulation.CrashVm(id);
    }
  });
}

void SchedulePartitionAndHeal(PolicySimulation& simulation) {
  simulation.RunAt(kScenarioEventMs,
                   [&simulation] { simulation.PartitionDomain(1); });
  simulation.RunAt(kScenarioEventMs + 8'000, [&simulation] {
    simulation.PublishServers(simulation.options().servers, {3});
  });
  simulation.RunAt(kScenarioEventMs + 20'000,
                   [&simulation] { simulation.HealPartition(); });
}

void SchedulePlatformOutage(PolicySimulation& simulation) {
  simulation.RunAt(kScenarioEventMs - 1'000,
                   [&simulation] { simulation.SetPlatformUp(false); });
  simulation.RunAt(kScenarioEventMs, [&simulation] { simulation.CrashVm(2); });
  simulation.RunAt(kScenarioEventMs + 5'000,
                   [&simulation] { simulation.StartVm(2); });
  simulation.RunAt(kScenarioEventMs + 15'000, [&simulation] {
    simulation.SetPlatformUp(true);
    simulation.StartConvergenceMeasurement();
    simulation.PublishServers(simulation.options().servers + 1, {});
  });
}

void SchedulePausedVms(PolicySimulation& simulation) {
  simulation.RunAt(kScenarioEventMs - 500,
                   [&simulation] { simulation.PauseVm(2, 15'000); });
  ScheduleDrain(simulation);
  simulation.RunAt(kScenarioEventMs + 10'000,
                   [&simulation] { simulation.PauseVm(5, 1'200); });
}

void ScheduleJoinWithStalePlatform(PolicySimulation& simulation) {
  ScheduleDrain(simulation);
  simulation.RunAt(kScenarioEventMs + 5'000, [&simulation] {
    simulation.SetPlatformStale(true);
    simulation.CrashVm(4);
  });
  simulation.RunAt(kScenarioEventMs + 7'000,
                   [&simulation] { simulation.StartVm(4); });
}

void ScheduleCombinedFaults(PolicySimulation& simulation) {
  ScheduleDrain(simulation);
  simulation.RunAt(kScenarioEventMs + 300,
                   [&simulation] { simulation.ShutDownVm(1); });
  simulation.RunAt(kScenarioEventMs + 500,
                   [&simulation] { simulation.PauseVm(2, 4'000); });
  simulation.RunAt(kScenarioEventMs + 700,
                   [&simulation] { simulation.CrashVm(3); });
  simulation.RunAt(kScenarioEventMs + 4'000, [&simulation] {
    simulation.PublishServers(simulation.options().servers + 1, {3});
    simulation.StartVm(3);
  });
  simulation.RunAt(kScenarioEventMs + 7'000,
                   [&simulation] { simulation.StartVm(1); });
}

struct Scenario {
  const char* name;
  ScheduleFunction schedule;
};

constexpr Scenario kScenarios[] = {
    {"steady", ScheduleSteady},
    {"add", ScheduleServerAddition},
    {"drain", ScheduleDrain},
    {"roll-all-vms", ScheduleRollingRestart},
    {"roll-in-drain", ScheduleRollingRestartDuringDrain},
    {"vm-crash", ScheduleVmCrash},
    {"third-crash", ScheduleCrashOfEveryThirdVm},
    {"domain-loss", ScheduleDomainLoss},
    {"split-heal", SchedulePartitionAndHeal},
    {"platform-down", SchedulePlatformOutage},
    {"pause-wake", SchedulePausedVms},
    {"stale-join", ScheduleJoinWithStalePlatform},
    {"everything-at-once", ScheduleCombinedFaults},
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

bool MeetsGuarantees(const PolicySimulationResult& result) {
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
  PolicySimulation simulation(options, strategy);
  for (const Scenario& known : kScenarios) {
    if (scenario == known.name) known.schedule(simulation);
  }
  simulation.RunUntil(kRunDurationMs);
  return simulation.Result();
}

int RunPolicyBench(const PolicyBenchOptions& options) {
  auto simulation_options = TenantOptions(options.tenant);
  const auto strategy = StrategyByName(options.strategy);
  if (!simulation_options.has_value() ||
      (!options.strategy.empty() && !strategy.has_value())) {
    std::cerr << "bench policy: unknown tenant \"" << options.tenant
              << "\" or unknown strategy \"" << options.strategy << "\"\n";
    return 2;
  }
  if (options.small) simulation_options = SmallOptions(options.tenant);
  if (options.fleet > 0) simulation_options->vms = options.fleet;
  if (!options.json) {
    absl::PrintF("%-20s %-13s %5s %8s %8s %7s %7s %7s %9s %9s %9s %8s %8s\n",
                 "scenario", "strategy", "seed", "flows", "broken", "guessed",
                 "late", "stalled", "imbalance", "B/s mean", "B/s worst",
                 "conv ms", "hops");
  }
  bool guarantees_met = true;
  for (const std::string& scenario : ScenarioNames()) {
    if (!options.scenario.empty() && options.scenario != scenario) continue;
    for (const Strategy candidate : AllStrategies()) {
      if (strategy.has_value() && *strategy != candidate) continue;
      for (uint64_t i = 0; i < options.seeds; ++i) {
        simulation_options->seed = options.first_seed + i;
        const PolicySimulationResult result =
            RunScenario(scenario, candidate, *simulation_options);
        const auto row =
            ToJson(scenario, candidate, *simulation_options, result);
        if (options.json) {
          std::cout << row.dump() << std::endl;
        } else {
          PrintRow(row);
        }
        if (candidate == Strategy::kBucketTables)
          guarantees_met = guarantees_met && MeetsGuarantees(result);
      }
    }
  }
  return guarantees_met ? 0 : 1;
}

}  // namespace knapweedlift::lab
