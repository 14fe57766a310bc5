#include "lab/placement/simulation.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <utility>

#include "absl/strings/str_cat.h"
#include "core/flow/flow_key.h"
#include "core/placement/load_estimate.h"
#include "core/placement/mark_view.h"
#include "core/placement/placement.h"
#include "lab/placement/event_queue.h"
#include "lab/placement/simulation_state.h"

namespace knapweedlift::lab {
namespace {

// Deployment of the project's second user: settings of its servers, one-way
// delays of its network, and latency requirements and flows of its callers.
constexpr int kSlotsPerServer = 2;
constexpr size_t kQueueCapacity = 8;
constexpr double kMeanServiceTimeMs = 32;
constexpr double kServiceTimeSigma = 0.5;
constexpr double kMaxServiceTimeMs = 180;
constexpr double kWarmUpMs = 2'000;
constexpr double kWarmUpSlowdown = 1.6;
constexpr double kCallerDelayMs = 3;
constexpr double kCrossDomainDelayMs = 1.4;
constexpr double kLatencyTargetMs = 150;
constexpr double kDeadlineMs = 1'000;
constexpr int kMaxAttempts = 3;
constexpr double kMeanRequestsPerFlow = 40;
// Mean delay after which callers reopen their flows when the VMs restart.
constexpr double kMeanReconnectMs = 300;

// The same intervals as in the daemon; for load reports the shortest one.
constexpr double kEstimateIntervalMs = 100;
constexpr double kLoadReportIntervalMs = 250;
constexpr double kDomainLoadIntervalMs = 1'000;

constexpr char kService[] = "service";
constexpr Endpoint kRoute{.address = {}, .port = 443};

std::string DomainName(size_t domain) { return absl::StrCat("d", domain); }

TimePoint ToTimePoint(double ms) {
  return TimePoint(Duration(static_cast<int64_t>(ms)));
}

class PlacementSimulation {
 public:
  PlacementSimulation(const PlacementScenario& scenario,
                      PlacementStrategy strategy, uint64_t seed)
      : scenario_(scenario),
        strategy_(strategy),
        arrivals_random_(seed),
        random_(~seed) {
    for (size_t i = 0; i < scenario.domains.size(); ++i) AddDomain(i);
    BuildViews();
    events_.Schedule(0, EventKind::kEstimateUpdate);
    events_.Schedule(0, EventKind::kLoadReport);
    events_.Schedule(0, EventKind::kDomainLoads);
    if (scenario.restart_vms_at_ms > 0) {
      events_.Schedule(scenario.restart_vms_at_ms, EventKind::kVmRestart);
    }
    if (scenario.replace_servers_at_ms > 0) {
      events_.Schedule(scenario.replace_servers_at_ms, EventKind::kReplacement);
    }
  }

  PlacementResult Run() {
    while (events_.HasEventBefore(scenario_.duration_ms)) {
      const Event event = events_.Pop();
      now_ = event.at_ms;
      HandleEvent(event);
    }
    return Summarize();
  }

 private:
  void AddDomain(size_t domain) {
    const PlacementDomain& shape = scenario_.domains[domain];
    for (int i = 0; i < shape.servers; ++i) AddServer(domain, 0);
    for (int i = 0; i < shape.vms; ++i) {
      vms_.push_back({.domain = domain});
      vms_by_domain_[domain].push_back(vms_.size() - 1);
    }
    events_.Schedule(0, EventKind::kNewRequest, domain);
  }

  void AddServer(size_t domain, double warm_up_end_ms) {
    const size_t number = servers_.size() + 1;
    ServerFact fact{.name = absl::StrCat("s-", absl::Hex(number)),
                    .instance = number,
                    .mark = static_cast<Mark>(number),
                    .service = kService,
                    .domain = DomainName(domain),
                    .slots = kSlotsPerServer,
                    .cold_until = ToTimePoint(warm_up_end_ms)};
    fact.endpoint.port = static_cast<uint16_t>(number);
    servers_.push_back(
        {.fact = fact, .domain = domain, .warm_up_end_ms = warm_up_end_ms});
    active_.push_back(number - 1);
  }

  void BuildViews() {
    FactDelta delta{.as_of = ++revision_, .is_snapshot = true};
    for (const size_t index : active_) {
      const ServerFact& fact = servers_[index].fact;
      delta.servers.push_back(
          {.name = fact.name, .revision = revision_, .server = fact});
    }
    delta.routes.push_back(
        {.address = kRoute,
         .revision = revision_,
         .route = RouteFact{.address = kRoute,
                            .shares = {{.service = kService, .weight = 1}}}});
    delta.limits = LimitsChange{.revision = revision_};
    Registry registry;
    MergeDelta(registry, delta, ToTimePoint(now_));
    for (Vm& vm : vms_) {
      vm.view = BuildMarkView(registry, {}, DomainName(vm.domain),
                              ToTimePoint(now_), vm.view_state);
    }
  }

  double DrawExponential(double mean) {
    return std::exponential_distribution<double>(1 / mean)(random_);
  }

  double ServiceTimeMs(const Server& server) {
    const double location = std::log(kMeanServiceTimeMs) -
                            kServiceTimeSigma * kServiceTimeSigma / 2;
    const double sample_ms = std::lognormal_distribution<double>(
        location, kServiceTimeSigma)(random_);
    const double slowdown = now_ < server.warm_up_end_ms ? kWarmUpSlowdown : 1;
    return slowdown * std::min(sample_ms, kMaxServiceTimeMs);
  }

  void HandleEvent(const Event& event) {
    switch (event.kind) {
      case EventKind::kNewRequest:
        return GenerateRequest(event.index);
      case EventKind::kRetry:
        return SendRequest(event.request);
      case EventKind::kArrival:
        return HandleArrival(event.index);
      case EventKind::kCompletion:
        return HandleCompletion(event.index);
      case EventKind::kEstimateUpdate:
        return UpdateEstimates();
      case EventKind::kLoadReport:
        return SendLoadReports();
      case EventKind::kDomainLoads:
        return SendDomainLoads();
      case EventKind::kVmRestart:
        return RestartVms();
      case EventKind::kReplacement:
        return ReplaceServers();
    }
  }

  // Sends a request of the domain's callers and schedules the next one.
  void GenerateRequest(size_t domain) {
    const bool burst =
        now_ >= scenario_.burst_start_ms &&
        now_ < scenario_.burst_start_ms + scenario_.burst_duration_ms;
    const double rate = scenario_.domains[domain].requests_per_second *
                        (burst ? scenario_.burst_factor : 1);
    std::exponential_distribution<double> pause(rate / 1'000);
    events_.Schedule(now_ + pause(arrivals_random_), EventKind::kNewRequest,
                     domain);
    ++result_.requests;
    SendRequest({.domain = domain, .created_at_ms = now_});
  }

  // Sends a request over a random idle flow, or over a new one.
  void SendRequest(Request request) {
    ++request.attempts;
    std::vector<size_t>& idle = idle_flows_[request.domain];
    while (!idle.empty() && flows_[idle.back()].ended) idle.pop_back();
    size_t flow = 0;
    if (idle.empty() || request.attempts > 1) {
      flow = OpenFlow(request.domain);
    } else {
      const size_t chosen = random_() % idle.size();
      std::swap(idle[chosen], idle.back());
      flow = idle.back();
      idle.pop_back();
      if (flows_[flow].ended) flow = OpenFlow(request.domain);
    }
    Flow& chosen = flows_[flow];
    chosen.waiting = true;
    chosen.request = request;
    ++vms_[chosen.vm].own_loads[chosen.server].waiting;
    events_.Schedule(now_ + NetworkDelayMs(chosen), EventKind::kArrival, flow);
  }

  size_t OpenFlow(size_t domain) {
    const std::vector<size_t>& domain_vms = vms_by_domain_[domain];
    const size_t vm = domain_vms[random_() % domain_vms.size()];
    const size_t server = ChooseServer(vms_[vm]);
    const int requests =
        1 + static_cast<int>(DrawExponential(kMeanRequestsPerFlow));
    flows_.push_back({.vm = vm, .server = server, .requests_left = requests});
    ++servers_[server].flows;
    ++vms_[vm].own_loads[server].flows;
    return flows_.size() - 1;
  }

  size_t ChooseServer(Vm& vm) {
    const uint64_t fingerprint = random_();
    ++vm.placed_flows;
    if (strategy_ == PlacementStrategy::kLoadAwareOracle) SetActualLoads(vm);
    if (strategy_ == PlacementStrategy::kLoadAware ||
        strategy_ == PlacementStrategy::kLoadAwareOracle) {
      const ServerIndex index =
          PlaceFlow(vm.view, vm.view.routes->by_address.at(kRoute), fingerprint,
                    ToTimePoint(now_));
      const ServerTarget& server = vm.view.servers[index];
      AddPlacedFlow(*server.load);
      return server.fact.mark - 1;
    }
    return ChooseServerInDomain(vm, fingerprint);
  }

  size_t ChooseServerInDomain(Vm& vm, uint64_t fingerprint) {
    std::vector<size_t> candidates;
    for (const size_t index : active_) {
      if (servers_[index].domain == vm.domain) candidates.push_back(index);
    }
    const auto fewer_flows = [&vm](size_t first, size_t second) {
      return vm.own_loads[first].flows < vm.own_loads[second].flows;
    };
    switch (strategy_) {
      case PlacementStrategy::kRoundRobin:
        return candidates[vm.placed_flows % candidates.size()];
      case PlacementStrategy::kTwoChoices:
        return std::min(candidates[fingerprint % candidates.size()],
                        candidates[(fingerprint >> 32) % candidates.size()],
                        fewer_flows);
      case PlacementStrategy::kLeastFlows:
        std::rotate(candidates.begin(),
                    candidates.begin() + fingerprint % candidates.size(),
                    candidates.end());
        return *std::min_element(candidates.begin(), candidates.end(),
                                 fewer_flows);
      default:
        return *std::max_element(candidates.begin(), candidates.end(),
                                 [&](size_t first, size_t second) {
                                   return MixHash(fingerprint, first) <
                                          MixHash(fingerprint, second);
                                 });
    }
  }

  void SetActualLoads(Vm& vm) {
    for (const ServerTarget& target : vm.view.servers) {
      const Server& server = servers_[target.fact.mark - 1];
      const double activity = ActivityOf(vm);
      target.load->expected_requests.store(
          server.busy_slots + static_cast<double>(server.queue.size()) +
          server.flows * activity);
    }
  }

  static double ActivityOf(const Vm& vm) {
    const auto found = vm.estimate.activity.find(kService);
    constexpr double kDefault = 0.1;
    return found == vm.estimate.activity.end() ? kDefault : found->second;
  }

  double NetworkDelayMs(const Flow& flow) const {
    const bool remote = vms_[flow.vm].domain != servers_[flow.server].domain;
    return kCallerDelayMs + (remote ? kCrossDomainDelayMs : 0);
  }

  void HandleArrival(size_t index) {
    Flow& flow = flows_[index];
    if (flow.ended) return;
    Server& server = servers_[flow.server];
    if (vms_[flow.vm].domain != server.domain) ++remote_arrivals_;
    ++arrivals_;
    if (server.busy_slots < kSlotsPerServer) {
      ++server.busy_slots;
      events_.Schedule(now_ + ServiceTimeMs(server), EventKind::kCompletion,
                       index);
    } else if (server.queue.size() < kQueueCapacity) {
      server.queue.push_back(index);
    } else {
      RejectRequest(index);
    }
  }

  void RejectRequest(size_t index) {
    ++result_.rejections;
    const Request request = flows_[index].request;
    ReleaseFlow(index);
    if (request.attempts < kMaxAttempts) {
      events_.Schedule(now_ + NetworkDelayMs(flows_[index]), EventKind::kRetry,
                       0, request);
    } else {
      ++result_.failed;
    }
  }

  void HandleCompletion(size_t index) {
    Flow& flow = flows_[index];
    Server& server = servers_[flow.server];
    --server.busy_slots;
    ++server.completed_requests;
    while (!server.queue.empty()) {
      const size_t next = server.queue.front();
      server.queue.pop_front();
      if (flows_[next].ended) continue;
      ++server.busy_slots;
      events_.Schedule(now_ + ServiceTimeMs(server), EventKind::kCompletion,
                       next);
      break;
    }
    if (flow.ended) return;
    const double latency_ms =
        now_ + NetworkDelayMs(flow) - flow.request.created_at_ms;
    latencies_.push_back(latency_ms);
    if (latency_ms <= kLatencyTargetMs) {
      ++result_.on_time;
    } else if (latency_ms <= kDeadlineMs) {
      ++result_.late;
    } else {
      ++result_.failed;
    }
    ReleaseFlow(index);
  }

  // Ends a flow whose request was answered or rejected, or makes it idle.
  void ReleaseFlow(size_t index) {
    Flow& flow = flows_[index];
    if (!flow.waiting) return;
    flow.waiting = false;
    --vms_[flow.vm].own_loads[flow.server].waiting;
    if (--flow.requests_left <= 0) {
      EndFlow(index);
    } else {
      idle_flows_[vms_[flow.vm].domain].push_back(index);
    }
  }

  void EndFlow(size_t index) {
    Flow& flow = flows_[index];
    if (flow.ended) return;
    flow.ended = true;
    --servers_[flow.server].flows;
    ServerLoad& own_load = vms_[flow.vm].own_loads[flow.server];
    --own_load.flows;
    if (flow.waiting) --own_load.waiting;
  }

  std::vector<ServerLoad> OwnLoads(const Vm& vm) const {
    std::vector<ServerLoad> loads;
    for (const auto& [server, load] : vm.own_loads) {
      if (load.flows == 0) continue;
      loads.push_back({.mark = static_cast<Mark>(server + 1),
                       .flows = load.flows,
                       .waiting = load.waiting});
    }
    return loads;
  }

  void UpdateEstimates() {
    events_.Schedule(now_ + kEstimateIntervalMs, EventKind::kEstimateUpdate);
    for (Vm& vm : vms_) {
      const size_t peers = vms_by_domain_[vm.domain].size() - 1;
      vm.domain_loads =
          UpdateLoadEstimate(vm.estimate, vm.view, OwnLoads(vm),
                             vm.load_reports, peers, ToTimePoint(now_));
    }
  }

  void SendLoadReports() {
    events_.Schedule(now_ + kLoadReportIntervalMs, EventKind::kLoadReport);
    for (size_t from = 0; from < vms_.size(); ++from) {
      for (const size_t to : vms_by_domain_[vms_[from].domain]) {
        if (to == from) continue;
        RecordLoadReport(vms_[to].load_reports, from + 1, OwnLoads(vms_[from]),
                         ToTimePoint(now_));
      }
    }
  }

  void SendDomainLoads() {
    events_.Schedule(now_ + kDomainLoadIntervalMs, EventKind::kDomainLoads);
    for (Vm& to : vms_) {
      for (const Vm& from : vms_) {
        if (from.domain == to.domain) continue;
        for (const DomainLoad& load : from.domain_loads) {
          RecordDomainLoad(to.load_reports, load);
        }
      }
    }
  }

  // Discards the state of all VMs; callers retry the requests in progress.
  void RestartVms() {
    for (size_t i = 0; i < flows_.size(); ++i) {
      if (flows_[i].ended) continue;
      const Request request = flows_[i].request;
      const bool was_waiting = flows_[i].waiting;
      EndFlow(i);
      if (!was_waiting || request.attempts >= kMaxAttempts) continue;
      events_.Schedule(now_ + DrawExponential(kMeanReconnectMs),
                       EventKind::kRetry, 0, request);
    }
    for (Vm& vm : vms_) {
      vm.own_loads.clear();
      vm.load_reports = {};
      vm.estimate = {};
      vm.view_state = {};
    }
    BuildViews();
  }

  // Replaces every other server by a cold one; flows of the old ones end.
  void ReplaceServers() {
    std::vector<size_t> previous;
    std::swap(previous, active_);
    for (size_t i = 0; i < previous.size(); ++i) {
      if (i % 2 == 1) {
        active_.push_back(previous[i]);
      } else {
        AddServer(servers_[previous[i]].domain, now_ + kWarmUpMs);
      }
    }
    for (size_t i = 0; i < flows_.size(); ++i) {
      const bool active = std::find(active_.begin(), active_.end(),
                                    flows_[i].server) != active_.end();
      if (active || flows_[i].ended) continue;
      const Request request = flows_[i].request;
      const bool was_waiting = flows_[i].waiting;
      EndFlow(i);
      if (was_waiting) events_.Schedule(now_, EventKind::kRetry, 0, request);
    }
    BuildViews();
  }

  PlacementResult Summarize() {
    constexpr double kPercentile = 0.99;
    if (!latencies_.empty()) {
      const auto percentile =
          latencies_.begin() +
          static_cast<int64_t>(kPercentile * (latencies_.size() - 1));
      std::nth_element(latencies_.begin(), percentile, latencies_.end());
      result_.p99_ms = *percentile;
    }
    uint64_t total = 0;
    uint64_t busiest = 0;
    for (const size_t index : active_) {
      total += servers_[index].completed_requests;
      busiest = std::max(busiest, servers_[index].completed_requests);
    }
    result_.peak_to_mean_ratio =
        static_cast<double>(busiest * active_.size()) /
        static_cast<double>(std::max<uint64_t>(total, 1));
    result_.cross_domain_share =
        static_cast<double>(remote_arrivals_) /
        static_cast<double>(std::max<uint64_t>(arrivals_, 1));
    return result_;
  }

  const PlacementScenario& scenario_;
  PlacementStrategy strategy_;
  // Separate generator, so that all strategies get the same requests.
  std::mt19937_64 arrivals_random_;
  std::mt19937_64 random_;
  double now_ = 0;
  uint64_t revision_ = 0;
  EventQueue events_;
  std::vector<Server> servers_;
  // Indexes of the servers that have not been replaced.
  std::vector<size_t> active_;
  std::vector<Vm> vms_;
  std::map<size_t, std::vector<size_t>> vms_by_domain_;
  std::vector<Flow> flows_;
  std::map<size_t, std::vector<size_t>> idle_flows_;
  std::vector<double> latencies_;
  uint64_t arrivals_ = 0;
  uint64_t remote_arrivals_ = 0;
  PlacementResult result_;
};

}  // namespace

PlacementResult SimulatePlacement(const PlacementScenario& scenario,
                                  PlacementStrategy strategy, uint64_t seed) {
  return PlacementSimulation(scenario, strategy, seed).Run();
}

}  // namespace knapweedlift::lab
