#include "lab/soak/flow_soak.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "absl/strings/str_cat.h"
#include "drivers/clock.h"
#include "lab/marks/testbed.h"
#include "lab/soak/flow_history.h"
#include "lab/soak/flow_report.h"
#include "lab/soak/flow_schedule.h"
#include "lab/soak/soak_fleet.h"
#include "lab/soak/soak_report.h"
#include "lab/soak/soak_setup.h"
#include "lab/stop_signal.h"
#include "lab/text_file.h"

namespace knapweedlift::lab {
namespace {

using nlohmann::json;

constexpr Duration kReadyTimeout{60'000};
// Without faults, before the first round.
constexpr Duration kCalmTime{1'000};
// After the last round, so that the bound for flows of ended servers passes.
constexpr Duration kSettleTime = kFlowEndBound + Duration(1'000);
// Servers of each service in each failure domain.
constexpr size_t kServersPerGroup = 2;
constexpr int kLongFlowsPerService = 10;
constexpr double kShortFlowsPerSecond = 10;
// Fills the queues of all servers of a service within about 200 ms.
constexpr double kManyShortFlowsPerSecond = 150;
// Server addresses are numbered by one byte, and a round ends at most one
// server.
constexpr uint32_t kMaxRounds = 200;
constexpr size_t kLogLinesPerViolation = 8;
constexpr uint64_t kConfigVersion = 10;
// With the default of 20 lines a second, most decisions about violations are
// left out.
constexpr char kLogSettings[] =
    "\n[log]\nflow_lines_per_second = 2000\nevent_lines_per_second = 1000\n";

// Plays the schedule of one seed.
class FlowSoak {
 public:
  FlowSoak(const FlowSoakOptions& options, uint64_t seed);

  // Returns the result; nothing if the VMs did not become ready.
  std::optional<json> Play();

 private:
  // A server's service and failure domain, and the server that is there now.
  struct Place {
    std::string service;
    std::string domain;
    std::string server;
  };

  static ServerPlaces CountPlaces(const MarksPlan& plan);
  bool Prepare();
  void Tick();
  void RunFor(Duration time);
  void RunEvents();
  void Apply(const FlowEvent& event, TimePoint now);
  void SetServerState(size_t place, SimServerState state);
  void EndServer(size_t place, SimServerState state, TimePoint now);
  void ReplaceServer(size_t place);
  json ListViolations(const std::vector<FlowViolation>& violations) const;
  json DescribeClients() const;
  json Result();
  void WriteRecord(const json& result) const;

  FlowSoakOptions options_;
  uint64_t seed_;
  std::string directory_;
  MarksPlan plan_;
  MarksTestbed testbed_;
  std::vector<Endpoint> listeners_;
  SoakFleet fleet_;
  FlowSchedule schedule_;
  std::vector<Place> places_;
  std::map<std::string, TimePoint> server_ends_;
  std::vector<ServerCut> server_cuts_;
  FlowHistory history_;
  TimePoint started_at_;
  TimePoint last_tick_;
  // Longest time in which this process ran neither servers nor callers.
  Duration longest_gap_{0};
  size_t next_event_ = 0;
};

ServerPlaces FlowSoak::CountPlaces(const MarksPlan& plan) {
  return {
      .count = plan.services.size() * plan.domains.size() * kServersPerGroup,
      .services = plan.services.size()};
}

FlowSoak::FlowSoak(const FlowSoakOptions& options, uint64_t seed)
    : options_(options),
      seed_(seed),
      directory_(PrepareSeedDirectory(options.directory, seed)),
      plan_(PlanMarks(options.vms)),
      testbed_(plan_),
      listeners_(AddSoakListeners(testbed_.store())),
      fleet_(plan_,
             {.binary = options.binary,
              .directory = directory_,
              .more_settings = kLogSettings},
             SoakSeedVms(options.vms), listeners_),
      schedule_(MakeFlowSchedule(seed, options.rounds, options.vms,
                                 CountPlaces(plan_))) {
  AddFlowStoreReturns(seed, schedule_);
}

bool FlowSoak::Prepare() {
  const size_t count = CountPlaces(plan_).count;
  for (size_t i = 0; i < count; ++i) {
    const size_t services = plan_.services.size();
    places_.push_back(
        {.service = plan_.services[i % services].name,
         .domain = plan_.domains[i / services % plan_.domains.size()]});
    Place& place = places_.back();
    place.server = testbed_.AddServer(place.service, place.domain);
  }
  testbed_.PutConfig(kConfigVersion);
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

std::optional<json> FlowSoak::Play() {
  started_at_ = Now();
  if (!Prepare()) return {};
  RunFor(kCalmTime);
  started_at_ = Now();
  longest_gap_ = Duration(0);
  RunEvents();
  RunFor(kSettleTime);
  json result = Result();
  WriteRecord(result);
  return result;
}

void FlowSoak::Tick() {
  testbed_.Run(Duration(1));
  const TimePoint now = Now();
  if (last_tick_ != TimePoint{}) {
    longest_gap_ = std::max<Duration>(longest_gap_, now - last_tick_);
  }
  last_tick_ = now;
  fleet_.Run(now);
}

void FlowSoak::RunFor(Duration time) {
  const TimePoint end = Now() + time;
  while (Now() < end && !StopRequested()) Tick();
}

void FlowSoak::RunEvents() {
  const Duration length = options_.rounds * kFlowRoundLength;
  while (Now() < started_at_ + length && !StopRequested()) {
    while (next_event_ < schedule_.events.size()) {
      const FlowEvent& event = schedule_.events[next_event_];
      if (Now() < started_at_ + event.at) break;
      Apply(event, Now());
      ++next_event_;
    }
    Tick();
  }
}

void FlowSoak::Apply(const FlowEvent& event, TimePoint now) {
  switch (event.action) {
    case FlowAction::kTerminateVm:
      return fleet_.Terminate(event.target, now);
    case FlowAction::kCutServer:
      return SetServerState(event.target, SimServerState::kCutOff);
    case FlowAction::kSlowServer:
      return SetServerState(event.target, SimServerState::kSlow);
    case FlowAction::kDelayAccepts:
      return SetServerState(event.target, SimServerState::kAcceptsLate);
    case FlowAction::kPauseServer:
      return SetServerState(event.target, SimServerState::kPaused);
    case FlowAction::kRestoreServer:
      return SetServerState(event.target, SimServerState::kServing);
    case FlowAction::kEndProcess:
      return EndServer(event.target, SimServerState::kUnreachable, now);
    case FlowAction::kEndMachine:
      return EndServer(event.target, SimServerState::kCutOff, now);
    case FlowAction::kReplaceServer:
      return ReplaceServer(event.target);
    case FlowAction::kMoreCallers:
      return testbed_.SetShortFlowRate(kManyShortFlowsPerSecond);
    case FlowAction::kUsualCallers:
      return testbed_.SetShortFlowRate(kShortFlowsPerSecond);
    case FlowAction::kTakeCopy:
      return testbed_.store().TakeCopy();
    case FlowAction::kLoseStore:
      return testbed_.store().SetAway(true);
    case FlowAction::kReturnStore:
      testbed_.ReturnStoreFromCopy({});
      return testbed_.store().SetAway(false);
  }
}

void FlowSoak::SetServerState(size_t place, SimServerState state) {
  const std::string& server = places_[place].server;
  if (server_ends_.contains(server)) return;
  const TimePoint now = Now();
  for (ServerCut& cut : server_cuts_) {
    const bool lasts = cut.server == server && cut.until == TimePoint::max();
    if (lasts) cut.until = now;
  }
  if (state == SimServerState::kCutOff) {
    server_cuts_.push_back({.server = server, .from = now});
  }
  testbed_.SetServerState(server, state);
}

void FlowSoak::EndServer(size_t place, SimServerState state, TimePoint now) {
  SetServerState(place, state);
  server_ends_.emplace(places_[place].server, now);
}

void FlowSoak::ReplaceServer(size_t place) {
  Place& replaced = places_[place];
  testbed_.Deregister(replaced.server);
  replaced.server = testbed_.AddServer(replaced.service, replaced.domain);
}

json FlowSoak::ListViolations(
    const std::vector<FlowViolation>& violations) const {
  json listed = json::array();
  for (const FlowViolation& violation : violations) {
    if (listed.size() == kMaxReportedViolations) break;
    listed.push_back(DescribeFlowViolation(violation, started_at_));
    listed.back()["log"] = fleet_.FindLogLines(
        FormatEndpoint(violation.addresses.client), kLogLinesPerViolation);
  }
  return listed;
}

json FlowSoak::DescribeClients() const {
  const ClientTotals clients = testbed_.SumTotals();
  const ServerTotals& servers = testbed_.server_totals();
  return {{"flows", clients.flows},
          {"established", clients.established},
          {"responses", clients.responses},
          {"reset_flows", clients.reset_flows},
          {"reset_by_vms", clients.flows_reset_by_vms},
          {"refused_flows", clients.refused_flows},
          {"timeouts", clients.timeouts},
          {"wrong_service", clients.wrong_service},
          {"doubled_requests", servers.duplicates}};
}

json FlowSoak::Result() {
  history_ =
      MakeFlowHistory(testbed_.ClientFlows(), testbed_.ServedFlows(),
                      testbed_.ForeignPackets(), server_ends_, server_cuts_);
  const json clients = DescribeClients();
  testbed_.Finish();
  const auto violations = CheckFlowHistory(history_);
  const size_t sanitizer_reports = fleet_.CountLogLines("Sanitizer: ");
  const bool holds = violations.empty() && sanitizer_reports == 0 &&
                     fleet_.unexpected_ends() == 0 &&
                     clients["wrong_service"] == 0 &&
                     clients["doubled_requests"] == 0;
  return {{"seed", seed_},
          {"vms", options_.vms},
          {"rounds", schedule_.rounds},
          {"holds", holds},
          {"ended_early", StopRequested()},
          {"flows", history_.flows.size()},
          {"servers_ended", server_ends_.size()},
          {"violations", CountFlowViolations(violations)},
          {"violations_by_round",
           CountFlowViolationsByRound(violations, schedule_, started_at_)},
          {"listed", ListViolations(violations)},
          {"sanitizer_reports", sanitizer_reports},
          {"unexpected_ends", fleet_.unexpected_ends()},
          {"suspicions", fleet_.CountLogLines(R"("server_suspect")")},
          {"longest_gap_ms", longest_gap_.count()},
          {"clients", clients}};
}

void FlowSoak::WriteRecord(const json& result) const {
  WriteTextFile(directory_ + "/flows.txt",
                FormatObservedFlows(history_.flows, started_at_));
  json servers = json::array();
  for (const Place& place : places_) {
    servers.push_back({{"server", place.server},
                       {"service", place.service},
                       {"domain", place.domain}});
  }
  json ends = json::object();
  for (const auto& [server, at] : server_ends_) {
    ends[server] = (at - started_at_).count();
  }
  const json record = {{"events", DescribeFlowEvents(schedule_)},
                       {"last_servers", servers},
                       {"server_ends_ms", ends},
                       {"result", result}};
  WriteTextFile(directory_ + "/record.json", record.dump(1) + "\n");
}

}  // namespace

int RunFlowSoak(const FlowSoakOptions& options) {
  absl::Status status = CheckSoakRequirements({.binary = options.binary,
                                               .directory = options.directory,
                                               .vms = options.vms,
                                               .rounds = options.rounds,
                                               .seeds = options.seeds});
  if (status.ok() && options.rounds > kMaxRounds) {
    status = absl::InvalidArgumentError(
        absl::StrCat("--rounds must be at most ", kMaxRounds));
  }
  if (!status.ok()) {
    std::cerr << status.message() << "\n";
    return 2;
  }
  bool holds = true;
  for (uint32_t i = 0; i < options.seeds && !StopRequested(); ++i) {
    const uint64_t seed = options.first_seed + i;
    const auto result = std::make_unique<FlowSoak>(options, seed)->Play();
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
