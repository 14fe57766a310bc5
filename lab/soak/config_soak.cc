#include "lab/soak/config_soak.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"
#include "drivers/clock.h"
#include "lab/marks/testbed.h"
#include "lab/soak/config_history.h"
#include "lab/soak/config_schedule.h"
#include "lab/soak/evacuation_history.h"
#include "lab/soak/route_prober.h"
#include "lab/soak/soak_fleet.h"
#include "lab/soak/soak_report.h"
#include "lab/soak/soak_setup.h"
#include "lab/soak/store_returns.h"
#include "lab/stop_signal.h"
#include "lab/text_file.h"
#include "platform/names.h"

namespace knapweedlift::lab {
namespace {

using nlohmann::json;

constexpr Duration kReadyTimeout{60'000};
constexpr Duration kAdminTimeout{2'000};
// Without faults, before the first round and after the last one. The rule holds
// for VMs that have been in touch for kStableWindow.
constexpr Duration kCalmTime = kStableWindow + kConfigApplyTime + Duration(500);
constexpr Duration kProbeInterval{100};
// Probes of all VMs together; more would keep the client busy.
constexpr double kMaxProbesPerMs = 1.5;
constexpr int kLongFlowsPerService = 10;
constexpr double kShortFlowsPerSecond = 10;
// One in this many probes meets a backend server that has no room until the
// last copy of the SYN.
constexpr uint16_t kFullServerInterval = 24;
constexpr uint32_t kLastSynCopy = 2;
// A version's own route exists in this many versions.
constexpr size_t kOwnRouteVersions = 2;
constexpr char kServiceA[] = "probe-a";
constexpr char kServiceB[] = "probe-b";

Endpoint RouteAt(const std::string& address, uint16_t port) {
  return {.address = *ParseIpAddress(address), .port = port};
}

Endpoint FlippedRoute() { return RouteAt("198.18.1.1", 8'443); }
Endpoint ToggledRoute() { return RouteAt("198.18.1.2", 8'443); }

// The route that only the version with the index and its successors have.
Endpoint OwnRoute(size_t version_index) {
  constexpr size_t kHosts = 200;
  const size_t net = version_index / kHosts % kHosts;
  const size_t host = version_index % kHosts + 1;
  return RouteAt(absl::StrCat("198.19.", net, ".", host), 1'000);
}

// Plays the schedule of one seed.
class ConfigSoak {
 public:
  ConfigSoak(const ConfigSoakOptions& options, uint64_t seed);

  // Returns the result; nothing if the VMs did not become ready.
  std::optional<json> Play();

 private:
  bool Prepare();
  void Tick();
  void RunFor(Duration time);
  void RunEvents();
  void Apply(const SoakEvent& event, TimePoint now);
  void ReturnStore(TimePoint now);
  void PutNextConfig(TimePoint now);
  void Evacuate(const std::string& domain);
  void ProbeVms(TimePoint now);
  std::vector<Endpoint> RoutesToProbe() const;
  bool HandleSyn(const platform::PacketHeader& syn, const SimServer& server,
                 TimePoint now);
  // A fault of the store excuses all VMs until it ends.
  void BeginStoreFault(DisturbanceKind kind, TimePoint now);
  void EndStoreFault(DisturbanceKind kind, TimePoint now);
  // VMs that do not report the newest configuration, and groups of VMs with
  // different facts if there are several.
  json DifferingVms() const;
  json Result();
  void WriteRecord(const json& result) const;

  ConfigSoakOptions options_;
  uint64_t seed_;
  std::string directory_;
  MarksPlan plan_;
  MarksTestbed testbed_;
  std::vector<Endpoint> listeners_;
  SoakFleet fleet_;
  RouteProber prober_;
  ConfigSchedule schedule_;
  ConfigHistory history_;
  EvacuationHistory evacuations_;
  TimePoint store_lost_at_;
  StoreReturns returns_;
  TimePoint started_at_;
  size_t next_event_ = 0;
  bool flipped_ = false;
  bool toggled_off_ = false;
  size_t next_vm_ = 0;
  TimePoint next_probe_at_;
  double due_probes_ = 0;
};

ConfigSoak::ConfigSoak(const ConfigSoakOptions& options, uint64_t seed)
    : options_(options),
      seed_(seed),
      directory_(PrepareSeedDirectory(options.directory, seed)),
      plan_(PlanMarks(options.vms)),
      testbed_(plan_),
      listeners_(AddSoakListeners(testbed_.store())),
      fleet_(plan_,
             {.binary = options.binary,
              .directory = directory_,
              .core_percent = options.core_percent},
             SoakSeedVms(options.vms), listeners_),
      prober_(*ParseIpAddress("127.4.0.100"), plan_.data_port),
      schedule_(MakeConfigSchedule(seed, options.rounds, options.vms,
                                   SoakSeedVms(options.vms),
                                   kSoakStoreListeners)) {
  AddEvacuations(seed, plan_.domains.size(), schedule_);
  AddStoreReturns(seed, schedule_);
}

bool ConfigSoak::Prepare() {
  testbed_.SetSynFilter(
      [this](const platform::PacketHeader& syn, const SimServer& server,
             TimePoint now) { return HandleSyn(syn, server, now); });
  for (const std::string& domain : plan_.domains) {
    for (const ServiceAddress& service : plan_.services) {
      testbed_.AddServer(service.name, domain);
    }
    testbed_.AddServer(kServiceA, domain);
    testbed_.AddServer(kServiceB, domain);
  }
  PutNextConfig(Now());
  if (!prober_.Open()) return false;
  const absl::Status status = fleet_.Start(Now());
  if (!status.ok()) {
    std::cerr << status.message() << "\n";
    return false;
  }
  const TimePoint deadline = Now() + kReadyTimeout;
  while (testbed_.ready_vms() < plan_.vms.size()) {
    if (Now() >= deadline || StopRequested()) return false;
    Tick();
  }
  testbed_.StartClients(kLongFlowsPerService, kShortFlowsPerSecond);
  return true;
}

std::optional<json> ConfigSoak::Play() {
  started_at_ = Now();
  if (!Prepare()) return {};
  RunFor(kCalmTime);
  started_at_ = Now();
  RunEvents();
  fleet_.EndFaults(Now());
  RunFor(kCalmTime);
  fleet_.RunAtFullSpeed();
  json result = Result();
  WriteRecord(result);
  return result;
}

void ConfigSoak::Tick() {
  testbed_.Run(Duration(1));
  const TimePoint now = Now();
  fleet_.Run(now);
  returns_.Run(now, testbed_.store());
  for (const size_t vm : fleet_.TakeRestarted()) prober_.ForgetPending(vm);
  prober_.Run(now);
  ProbeVms(now);
}

void ConfigSoak::RunFor(Duration time) {
  const TimePoint end = Now() + time;
  while (Now() < end && !StopRequested()) Tick();
}

void ConfigSoak::RunEvents() {
  const Duration length = options_.rounds * kSoakRoundLength;
  while (Now() < started_at_ + length && !StopRequested()) {
    while (next_event_ < schedule_.events.size()) {
      const SoakEvent& event = schedule_.events[next_event_];
      if (Now() < started_at_ + event.at) break;
      Apply(event, Now());
      ++next_event_;
    }
    Tick();
  }
}

void ConfigSoak::Apply(const SoakEvent& event, TimePoint now) {
  FakeStore& store = testbed_.store();
  switch (event.action) {
    case SoakAction::kFlipRoute:
      flipped_ = !flipped_;
      return PutNextConfig(now);
    case SoakAction::kToggleRoute:
      toggled_off_ = !toggled_off_;
      return PutNextConfig(now);
    case SoakAction::kAddRoute:
      return PutNextConfig(now);
    case SoakAction::kUnreadableConfig:
      return testbed_.PutConfigText(R"({"version":"none"})");
    case SoakAction::kEvacuate:
      return Evacuate(plan_.domains[event.target]);
    case SoakAction::kEndEvacuation:
      EndEvacuation(evacuations_, plan_.domains[event.target], now);
      return testbed_.EndEvacuation(plan_.domains[event.target]);
    case SoakAction::kTerminate:
      return fleet_.Terminate(event.target, now);
    case SoakAction::kKill:
      return fleet_.Kill(event.target, now);
    case SoakAction::kFreeze:
      return fleet_.Freeze(event.target, now);
    case SoakAction::kThaw:
      return fleet_.Thaw(event.target, now);
    case SoakAction::kStartSlow:
      return fleet_.SetSlow(event.target, true, now);
    case SoakAction::kEndSlow:
      return fleet_.SetSlow(event.target, false, now);
    case SoakAction::kStallWatches:
      store.SetWatchesStalled(true);
      return BeginStoreFault(DisturbanceKind::kStoreUnstable, now);
    case SoakAction::kDropHistory:
      store.CompactHistory();
      store.SetWatchesStalled(false);
      return EndStoreFault(DisturbanceKind::kStoreUnstable, now);
    case SoakAction::kSlowPages:
      store.SetLaterPagesSlow(true);
      return BeginStoreFault(DisturbanceKind::kStoreUnavailable, now);
    case SoakAction::kFastPages:
      store.SetLaterPagesSlow(false);
      return EndStoreFault(DisturbanceKind::kStoreUnavailable, now);
    case SoakAction::kSetStoreMode:
      // The first listener belongs to the testbed.
      store.SetMode(event.target + 1, event.mode);
      if (event.mode == StoreMode::kServe) {
        return EndStoreFault(DisturbanceKind::kStoreUnavailable, now);
      }
      return BeginStoreFault(DisturbanceKind::kStoreUnavailable, now);
    case SoakAction::kTakeCopy:
      return store.TakeCopy();
    case SoakAction::kLoseStore:
      store_lost_at_ = now;
      return store.SetAway(true);
    case SoakAction::kReturnStore:
      return ReturnStore(now);
  }
}

void ConfigSoak::ReturnStore(TimePoint now) {
  testbed_.ReturnStoreFromCopy({});
  testbed_.store().SetAway(false);
  returns_.Add(now, testbed_.store());
  history_.disturbances.push_back({.kind = DisturbanceKind::kStoreUnavailable,
                                   .from = store_lost_at_,
                                   .until = now});
}

void ConfigSoak::BeginStoreFault(DisturbanceKind kind, TimePoint now) {
  EndStoreFault(kind, now);
  history_.disturbances.push_back(
      {.kind = kind, .from = now, .until = TimePoint::max()});
}

void ConfigSoak::EndStoreFault(DisturbanceKind kind, TimePoint now) {
  for (Disturbance& disturbance : history_.disturbances) {
    const bool open =
        disturbance.kind == kind && disturbance.until == TimePoint::max();
    if (open) disturbance.until = now;
  }
}

void ConfigSoak::Evacuate(const std::string& domain) {
  testbed_.Evacuate(domain);
  evacuations_.evacuations.push_back(
      {.domain = domain, .acknowledged_at = Now()});
}

void ConfigSoak::PutNextConfig(TimePoint now) {
  const size_t index = history_.versions.size();
  ConfigVersion version{.number = 10 + 3 * index, .sent_at = now};
  for (const ServiceAddress& service : plan_.services) {
    version.routes[service.address] = service.name;
  }
  version.routes[FlippedRoute()] = flipped_ ? kServiceB : kServiceA;
  if (!toggled_off_) version.routes[ToggledRoute()] = kServiceB;
  for (size_t i = 0; i < kOwnRouteVersions && i <= index; ++i) {
    version.routes[OwnRoute(index - i)] = kServiceA;
  }
  testbed_.PutConfigText(FormatConfig(version.number, version.routes));
  version.acknowledged_at = Now();
  history_.versions.push_back(std::move(version));
}

std::vector<Endpoint> ConfigSoak::RoutesToProbe() const {
  std::vector<Endpoint> routes = {FlippedRoute(), ToggledRoute()};
  const size_t last = history_.versions.size() - 1;
  // Among them the route that the newest version has dropped.
  for (size_t i = 0; i <= std::min(kOwnRouteVersions, last); ++i) {
    routes.push_back(OwnRoute(last - i));
  }
  return routes;
}

void ConfigSoak::ProbeVms(TimePoint now) {
  const std::vector<Endpoint> routes = RoutesToProbe();
  const double per_ms = std::min(
      kMaxProbesPerMs, static_cast<double>(fleet_.size() * routes.size()) /
                           static_cast<double>(kProbeInterval.count()));
  if (next_probe_at_ == TimePoint{}) next_probe_at_ = now;
  due_probes_ += per_ms * static_cast<double>((now - next_probe_at_).count());
  next_probe_at_ = now;
  const auto routes_count = static_cast<double>(routes.size());
  for (; due_probes_ >= routes_count; due_probes_ -= routes_count) {
    const size_t vm = next_vm_++ % fleet_.size();
    if (!fleet_.IsInRotation(vm, now)) continue;
    for (const Endpoint& route : routes) {
      prober_.Probe(vm, fleet_.incarnation(vm), plan_.vms[vm].data, route, now);
    }
  }
}

bool ConfigSoak::HandleSyn(const platform::PacketHeader& syn,
                           const SimServer& server, TimePoint now) {
  RecordOpening(evacuations_, testbed_.DomainOf(server.id()), now);
  if (server.service() != kServiceA && server.service() != kServiceB) {
    return true;
  }
  const bool full = syn.source_port % kFullServerInterval == 0 &&
                    syn.acknowledged < kLastSynCopy;
  if (full) return false;
  prober_.HandleServerSyn(syn, server.service(), now);
  return true;
}

json ConfigSoak::DifferingVms() const {
  Reactor reactor;
  std::map<std::tuple<uint64_t, uint64_t, uint64_t>, std::vector<size_t>>
      groups;
  json differing = json::array();
  const uint64_t newest = history_.versions.back().number;
  for (size_t i = 0; i < plan_.vms.size(); ++i) {
    const auto response = HttpCall(
        reactor, EndpointAt(plan_.vms[i], plan_.admin_port),
        {.method = "GET", .target = "/v1/status"}, Now() + kAdminTimeout);
    const json status = response.ok()
                            ? json::parse(response->body, nullptr, false)
                            : json::object();
    const uint64_t version = status.value("config_version", uint64_t{0});
    if (version != newest) {
      differing.push_back({{"vm", i}, {"config_version", version}});
    }
    groups[{status.value("era", uint64_t{0}),
            status.value("revision", uint64_t{0}),
            status.value("facts_digest", uint64_t{0})}]
        .push_back(i);
  }
  if (groups.size() > 1) {
    for (const auto& [facts, vms] : groups) {
      const auto& [era, revision, digest] = facts;
      differing.push_back({{"era", era},
                           {"revision", revision},
                           {"facts_digest", digest},
                           {"vms", vms}});
    }
  }
  return differing;
}

json ConfigSoak::Result() {
  json differing = DifferingVms();
  const ClientTotals clients = testbed_.SumTotals();
  testbed_.Finish();
  history_.flows = prober_.flows();
  const auto& disturbances = fleet_.disturbances();
  history_.disturbances.insert(history_.disturbances.end(),
                               disturbances.begin(), disturbances.end());
  const auto violations = CheckConfigHistory(history_);
  const size_t facts_differ = fleet_.CountLogLines(R"("facts_differ")");
  // Of a program that was built with sanitizers.
  const size_t sanitizer_reports = fleet_.CountLogLines("Sanitizer: ");
  const ServerTotals& servers = testbed_.server_totals();
  // A server may reset its own flows, such as those that it gave up while VMs
  // stood still.
  const bool flows_hold =
      clients.wrong_service == 0 && clients.flows_reset_by_vms == 0 &&
      servers.foreign_packets == 0 && servers.duplicates == 0;
  const bool holds =
      violations.empty() && differing.empty() && facts_differ == 0 &&
      sanitizer_reports == 0 && fleet_.unexpected_ends() == 0 && flows_hold &&
      evacuations_.late_openings.empty() && UnusedDomains(evacuations_).empty();
  return {{"seed", seed_},
          {"vms", options_.vms},
          {"core_percent", options_.core_percent},
          {"rounds", schedule_.rounds},
          {"holds", holds},
          {"ended_early", StopRequested()},
          {"versions", history_.versions.size()},
          {"probes", history_.flows.size()},
          {"probes_unanswered", prober_.unanswered()},
          {"violations", CountViolations(violations)},
          {"listed", DescribeViolations(violations, started_at_)},
          {"evacuations", DescribeEvacuations(evacuations_, started_at_)},
          {"store_returns", returns_.Describe(started_at_)},
          {"differing_vms", differing},
          {"facts_differ_lines", facts_differ},
          {"sanitizer_reports", sanitizer_reports},
          {"unexpected_ends", fleet_.unexpected_ends()},
          {"apply_ms", DescribeApplyTimes(MeasureApplyTimes(history_))},
          {"clients",
           {{"flows", clients.flows},
            {"responses", clients.responses},
            {"reset_flows", clients.reset_flows},
            {"reset_by_vms", clients.flows_reset_by_vms},
            {"foreign_packets", servers.foreign_packets},
            {"doubled_requests", servers.duplicates},
            {"refused_flows", clients.refused_flows},
            {"timeouts", clients.timeouts},
            {"wrong_service", clients.wrong_service}}}};
}

void ConfigSoak::WriteRecord(const json& result) const {
  WriteTextFile(directory_ + "/flows.txt",
                FormatFlows(history_.flows, started_at_));
  json record = DescribePlay(history_, schedule_, started_at_);
  record["result"] = result;
  WriteTextFile(directory_ + "/record.json", record.dump(1) + "\n");
}

}  // namespace

int RunConfigSoak(const ConfigSoakOptions& options) {
  const absl::Status status =
      CheckSoakRequirements({.binary = options.binary,
                             .directory = options.directory,
                             .vms = options.vms,
                             .rounds = options.rounds,
                             .seeds = options.seeds,
                             .core_percent = options.core_percent});
  if (!status.ok()) {
    std::cerr << status.message() << "\n";
    return 2;
  }
  bool holds = true;
  for (uint32_t i = 0; i < options.seeds && !StopRequested(); ++i) {
    const uint64_t seed = options.first_seed + i;
    const auto result = std::make_unique<ConfigSoak>(options, seed)->Play();
    if (!result.has_value()) {
      std::cerr << "seed " << seed << ": the VMs did not become ready; see "
                << options.directory << "/seed-" << seed << "\n";
      return 2;
    }
    holds &= result->at("holds").get<bool>();
    std::cout << result->dump() << std::endl;
  }
  return holds ? 0 : 1;
}

}  // namespace knapweedlift::lab
