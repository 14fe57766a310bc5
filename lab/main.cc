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
#include "lab/stop_signal.h"

namespace knapweedlift::lab {
namespace {

constexpr char kUsage[] =
    R"(knapweedlift-lab: stand-ins and benches for the development of knapweedlift.

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
  knapweedlift-lab (-h | --help)

Options:
  --directory DIR    Where the plan is written.
  --tenant NAME      mondego or cuna.
  --listen ADDRESS   ADDRESS:PORT to receive at.
  --platform ADDRESS  ADDRESS:PORT of the platform.
  --fabric ADDRESS   ADDRESS:PORT of the fabric.
  --callers ADDRESS  ADDRESS:PORT where answers to callers go.
  --to ADDRESS       ADDRESS:PORT to post to.
  --target PATH      What to post to.
  --file FILE        What to post.
  --sheet FILE       A sheet.
  --vm-list FILE     The platform's list of VMs.
  --result FILE      Where the result is written.
  --vms N          VMs of the deployment [default: 6].
  --loss P         Share of packets lost [default: 0].
  --reorder P      Share of packets reordered [default: 0].
  --long N         Long-lived flows for each service [default: 200].
  --short-rate N   Short flows a second for each service [default: 50].
  --seconds N      How long to run [default: 20].
  --seed N         Seed of all random choices [default: 1].
  --seeds N        Seeds to run, from --seed on [default: 1].
  --scenario S     One scenario instead of all.
  --strategy P     One strategy instead of all.
  --rounds N       Measurements of each kind [default: 5].
  --flows N        Flows of the forwarding bench [default: 10000].
  --fleet N        VMs of the fleet, in place of the tenant's.
  --small          A small deployment of the same shape.
  --json           One JSON object a line.
  --control-bytes N  Control bytes that a VM sent a second, for the report.
)";

using Arguments = std::map<std::string, docopt::value>;

std::string Text(const Arguments& arguments, const std::string& name) {
  const docopt::value& value = arguments.at(name);
  return value.isString() ? value.asString() : std::string();
}

Endpoint Address(const Arguments& arguments, const std::string& name) {
  const auto endpoint = ParseEndpoint(Text(arguments, name));
  if (!endpoint.has_value()) {
    std::cerr << name << " must be ADDRESS:PORT\n";
    std::exit(2);
  }
  return *endpoint;
}

uint32_t Number(const Arguments& arguments, const std::string& name) {
  uint32_t number = 0;
  if (!absl::SimpleAtoi(Text(arguments, name), &number)) {
    std::cerr << name << " must be a whole number\n";
    std::exit(2);
  }
  return number;
}

double Share(const Arguments& arguments, const std::string& name) {
  double share = 0;
  const bool good = absl::SimpleAtod(Text(arguments, name), &share) &&
                    share >= 0 && share <= 1;
  if (!good) {
    std::cerr << name << " must be from 0 to 1\n";
    std::exit(2);
  }
  return share;
}

int RunTrafficCommand(const Arguments& arguments) {
  if (arguments.at("fabric").asBool()) {
    return RunFabric({.listen = Address(arguments, "--listen"),
                      .platform = Address(arguments, "--platform"),
                      .loss_probability = Share(arguments, "--loss"),
                      .reorder_probability = Share(arguments, "--reorder"),
                      .seed = Number(arguments, "--seed")});
  }
  if (arguments.at("backends").asBool()) {
    return RunBackendServers(
        {.sheet_path = Text(arguments, "--sheet"),
         .platform = Address(arguments, "--platform"),
         .client_endpoint = Address(arguments, "--callers"),
         .result_path = Text(arguments, "--result")});
  }
  return RunClients(
      {.listen = Address(arguments, "--listen"),
       .fabric = Address(arguments, "--fabric"),
       .sheet_path = Text(arguments, "--sheet"),
       .result_path = Text(arguments, "--result"),
       .long_flows = Number(arguments, "--long"),
       .short_flows_per_second = Number(arguments, "--short-rate"),
       .duration_s = Number(arguments, "--seconds"),
       .seed = Number(arguments, "--seed")});
}

int RunBench(const Arguments& arguments) {
  if (arguments.at("forward").asBool()) {
    constexpr uint32_t kMeasureSeconds = 2;
    return RunForwardBench(
        {.seconds = std::min(Number(arguments, "--seconds"), kMeasureSeconds),
         .rounds = Number(arguments, "--rounds"),
         .flows = Number(arguments, "--flows")});
  }
  if (arguments.at("placement").asBool()) {
    return RunPlacementBench({.scenario = Text(arguments, "--scenario"),
                              .strategy = Text(arguments, "--strategy"),
                              .first_seed = Number(arguments, "--seed"),
                              .seeds = Number(arguments, "--seeds")});
  }
  const std::string tenant = Text(arguments, "--tenant");
  return RunPolicyBench({.scenario = Text(arguments, "--scenario"),
                         .strategy = Text(arguments, "--strategy"),
                         .tenant = tenant.empty() ? "mondego" : tenant,
                         .first_seed = Number(arguments, "--seed"),
                         .seeds = Number(arguments, "--seeds"),
                         .fleet = Text(arguments, "--fleet").empty()
                                      ? 0
                                      : Number(arguments, "--fleet"),
                         .small = arguments.at("--small").asBool(),
                         .json = arguments.at("--json").asBool()});
}

int Run(const Arguments& arguments) {
  if (arguments.at("plan").asBool()) {
    return RunPlan({.directory = Text(arguments, "--directory"),
                    .tenant = Text(arguments, "--tenant"),
                    .vms = Number(arguments, "--vms")});
  }
  if (arguments.at("bench").asBool()) return RunBench(arguments);
  if (arguments.at("platform").asBool()) {
    return RunPlatform(Address(arguments, "--listen"),
                       Text(arguments, "--sheet"),
                       Text(arguments, "--vm-list"));
  }
  if (arguments.at("marks").asBool()) {
    return RunMarksDemo({.directory = Text(arguments, "--directory"),
                         .vms = Number(arguments, "--vms"),
                         .seconds = Number(arguments, "--seconds"),
                         .result_path = Text(arguments, "--result")});
  }
  if (arguments.at("post").asBool()) {
    return RunPost(Address(arguments, "--to"), Text(arguments, "--target"),
                   Text(arguments, "--file"));
  }
  if (arguments.at("report").asBool()) {
    return RunReport(arguments.at("RESULT").asStringList(),
                     Number(arguments, "--control-bytes"));
  }
  return RunTrafficCommand(arguments);
}

}  // namespace
}  // namespace knapweedlift::lab

int main(int argc, char** argv) {
  const auto arguments =
      docopt::docopt(knapweedlift::lab::kUsage, {argv + 1, argv + argc}, true);
  knapweedlift::lab::CatchStopSignals();
  return knapweedlift::lab::Run(arguments);
}
