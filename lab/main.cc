#include <docopt/docopt.h>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <map>
#include <string>

#include "absl/strings/numbers.h"
#include "lab/backend_servers.h"
#include "lab/bench_forward.h"
#include "lab/clients.h"
#include "lab/fabric.h"
#include "lab/marks/demo.h"
#include "lab/placement/bench.h"
#include "lab/plan.h"
#include "lab/platform.h"
#include "lab/policy/bench.h"
#include "lab/report.h"
#include "lab/soak/config_soak.h"
#include "lab/soak/flow_soak.h"
#include "lab/stop_signal.h"

namespace knapweedlift::lab {
namespace {

constexpr char kUsage[] =
    R"(knapweedlift-lab: simulations and benchmarks for development.

Usage:
  knapweedlift-lab plan --directory DIR --tenant NAME [--vms N]
  knapweedlift-lab platform --listen ADDRESS --sheet FILE --vm-list FILE
  knapweedlift-lab fabric --listen ADDRESS --platform ADDRESS [--loss P]
                          [--reorder P] [--seed N]
  knapweedlift-lab backends --sheet FILE --platform ADDRESS --callers ADDRESS
                            --result FILE
  knapweedlift-lab caller --listen ADDRESS --fabric ADDRESS --sheet FILE
                          --result FILE [--long N] [--short-rate N]
                          [--seconds N] [--seed N]
  knapweedlift-lab marks --directory DIR --result FILE [--vms N] [--seconds N]
  knapweedlift-lab post --to ADDRESS --target PATH [--file FILE]
  knapweedlift-lab report --control-bytes N RESULT...
  knapweedlift-lab bench policy [--scenario S] [--strategy P] [--tenant NAME]
                          [--seed N] [--seeds N] [--fleet N] [--small]
                          [--json]
  knapweedlift-lab bench placement [--scenario S] [--strategy P] [--seed N]
                          [--seeds N]
  knapweedlift-lab bench forward [--seconds N] [--rounds N] [--flows N]
  knapweedlift-lab soak config --binary PATH --directory DIR [--seed N]
                          [--seeds N] [--vms N] [--rounds N]
                          [--core-percent N]
  knapweedlift-lab soak flows --binary PATH --directory DIR --seed N
                          [--seeds N] [--vms N] [--rounds N]
  knapweedlift-lab (-h | --help)

Options:
  --directory DIR    Output directory.
  --tenant NAME      mondego or cuna.
  --listen ADDRESS   ADDRESS:PORT to listen on.
  --platform ADDRESS  ADDRESS:PORT of the platform.
  --fabric ADDRESS   ADDRESS:PORT of the fabric.
  --callers ADDRESS  ADDRESS:PORT that receives the responses to clients.
  --to ADDRESS       ADDRESS:PORT of the simulated platform.
  --target PATH      Path and query of the POST request.
  --file FILE        Body of the POST request; empty without it.
  --sheet FILE       Sheet with the services and backend servers.
  --vm-list FILE     The platform's list of VMs.
  --result FILE      Result file to write, as JSON.
  --binary PATH      The program knapweedlift that each VM runs.
  --vms N          Number of VMs of the deployment [default: 6].
  --loss P         Probability of packet loss, 0 to 1 [default: 0].
  --reorder P      Probability of reordering a packet, 0 to 1 [default: 0].
  --long N         Long-lived flows per service [default: 200].
  --short-rate N   Short flows per second and service [default: 50].
  --seconds N      Seconds per run or measurement [default: 20].
  --seed N         Seed of all random choices [default: 1].
  --seeds N        Number of consecutive seeds, from --seed on [default: 1].
  --scenario S     Run this scenario only.
  --strategy P     Run this strategy only.
  --rounds N       Number of measurements of each kind, or of rounds of
                   trouble, of 10 s each (config) or 5 s each (flows)
                   [default: 5].
  --flows N        Flows of the forwarding benchmark [default: 10000].
  --core-percent N   Part of a core that each VM gets [default: 100].
  --fleet N        Number of VMs, instead of the tenant's own.
  --small          Use a smaller deployment of the same structure.
  --json           Print one JSON object per line.
  --control-bytes N  Control bytes sent per second and VM, for the report.
)";

using Arguments = std::map<std::string, docopt::value>;

std::string StringArgument(const Arguments& arguments,
                           const std::string& name) {
  const docopt::value& value = arguments.at(name);
  return value.isString() ? value.asString() : std::string();
}

Endpoint EndpointArgument(const Arguments& arguments, const std::string& name) {
  const auto endpoint = ParseEndpoint(StringArgument(arguments, name));
  if (!endpoint.has_value()) {
    std::cerr << name << " must be ADDRESS:PORT\n";
    std::exit(2);
  }
  return *endpoint;
}

uint32_t IntegerArgument(const Arguments& arguments, const std::string& name) {
  uint32_t integer = 0;
  if (!absl::SimpleAtoi(StringArgument(arguments, name), &integer)) {
    std::cerr << name << " must be an integer from 0 to 4294967295\n";
    std::exit(2);
  }
  return integer;
}

double ProbabilityArgument(const Arguments& arguments,
                           const std::string& name) {
  double probability = 0;
  const bool valid =
      absl::SimpleAtod(StringArgument(arguments, name), &probability) &&
      probability >= 0 && probability <= 1;
  if (!valid) {
    std::cerr << name << " must be a number from 0 to 1\n";
    std::exit(2);
  }
  return probability;
}

int RunTrafficCommand(const Arguments& arguments) {
  if (arguments.at("fabric").asBool()) {
    return RunFabric(
        {.listen = EndpointArgument(arguments, "--listen"),
         .platform = EndpointArgument(arguments, "--platform"),
         .loss_probability = ProbabilityArgument(arguments, "--loss"),
         .reorder_probability = ProbabilityArgument(arguments, "--reorder"),
         .seed = IntegerArgument(arguments, "--seed")});
  }
  if (arguments.at("backends").asBool()) {
    return RunBackendServers(
        {.sheet_path = StringArgument(arguments, "--sheet"),
         .platform = EndpointArgument(arguments, "--platform"),
         .client_endpoint = EndpointArgument(arguments, "--callers"),
         .result_path = StringArgument(arguments, "--result")});
  }
  return RunClients(
      {.listen = EndpointArgument(arguments, "--listen"),
       .fabric = EndpointArgument(arguments, "--fabric"),
       .sheet_path = StringArgument(arguments, "--sheet"),
       .result_path = StringArgument(arguments, "--result"),
       .long_flows = IntegerArgument(arguments, "--long"),
       .short_flows_per_second = IntegerArgument(arguments, "--short-rate"),
       .duration_s = IntegerArgument(arguments, "--seconds"),
       .seed = IntegerArgument(arguments, "--seed")});
}

int RunBenchCommand(const Arguments& arguments) {
  if (arguments.at("forward").asBool()) {
    constexpr uint32_t kMaxMeasurementSeconds = 2;
    return RunForwardBench(
        {.seconds = std::min(IntegerArgument(arguments, "--seconds"),
                             kMaxMeasurementSeconds),
         .rounds = IntegerArgument(arguments, "--rounds"),
         .flows = IntegerArgument(arguments, "--flows")});
  }
  if (arguments.at("placement").asBool()) {
    return RunPlacementBench(
        {.scenario = StringArgument(arguments, "--scenario"),
         .strategy = StringArgument(arguments, "--strategy"),
         .first_seed = IntegerArgument(arguments, "--seed"),
         .seeds = IntegerArgument(arguments, "--seeds")});
  }
  const std::string tenant = StringArgument(arguments, "--tenant");
  return RunPolicyBench({.scenario = StringArgument(arguments, "--scenario"),
                         .strategy = StringArgument(arguments, "--strategy"),
                         .tenant = tenant.empty() ? "mondego" : tenant,
                         .first_seed = IntegerArgument(arguments, "--seed"),
                         .seeds = IntegerArgument(arguments, "--seeds"),
                         .fleet = StringArgument(arguments, "--fleet").empty()
                                      ? 0
                                      : IntegerArgument(arguments, "--fleet"),
                         .small = arguments.at("--small").asBool(),
                         .json = arguments.at("--json").asBool()});
}

int RunSoakCommand(const Arguments& arguments) {
  const std::string binary = StringArgument(arguments, "--binary");
  const std::string directory = StringArgument(arguments, "--directory");
  const uint32_t seed = IntegerArgument(arguments, "--seed");
  const uint32_t seeds = IntegerArgument(arguments, "--seeds");
  const uint32_t vms = IntegerArgument(arguments, "--vms");
  const uint32_t rounds = IntegerArgument(arguments, "--rounds");
  if (arguments.at("flows").asBool()) {
    return RunFlowSoak({.binary = binary,
                        .directory = directory,
                        .first_seed = seed,
                        .seeds = seeds,
                        .vms = vms,
                        .rounds = rounds});
  }
  return RunConfigSoak(
      {.binary = binary,
       .directory = directory,
       .first_seed = seed,
       .seeds = seeds,
       .vms = vms,
       .rounds = rounds,
       .core_percent = IntegerArgument(arguments, "--core-percent")});
}

int RunCommand(const Arguments& arguments) {
  if (arguments.at("plan").asBool()) {
    return RunPlan({.directory = StringArgument(arguments, "--directory"),
                    .tenant = StringArgument(arguments, "--tenant"),
                    .vms = IntegerArgument(arguments, "--vms")});
  }
  if (arguments.at("bench").asBool()) return RunBenchCommand(arguments);
  if (arguments.at("platform").asBool()) {
    return RunPlatform(EndpointArgument(arguments, "--listen"),
                       StringArgument(arguments, "--sheet"),
                       StringArgument(arguments, "--vm-list"));
  }
  if (arguments.at("marks").asBool()) {
    return RunMarksDemo({.directory = StringArgument(arguments, "--directory"),
                         .vms = IntegerArgument(arguments, "--vms"),
                         .seconds = IntegerArgument(arguments, "--seconds"),
                         .result_path = StringArgument(arguments, "--result")});
  }
  if (arguments.at("post").asBool()) {
    return RunPost(EndpointArgument(arguments, "--to"),
                   StringArgument(arguments, "--target"),
                   StringArgument(arguments, "--file"));
  }
  if (arguments.at("soak").asBool()) return RunSoakCommand(arguments);
  if (arguments.at("report").asBool()) {
    return RunReport(arguments.at("RESULT").asStringList(),
                     IntegerArgument(arguments, "--control-bytes"));
  }
  return RunTrafficCommand(arguments);
}

}  // namespace
}  // namespace knapweedlift::lab

int main(int argc, char** argv) {
  const auto arguments =
      docopt::docopt(knapweedlift::lab::kUsage, {argv + 1, argv + argc}, true);
  knapweedlift::lab::CatchStopSignals();
  return knapweedlift::lab::RunCommand(arguments);
}
