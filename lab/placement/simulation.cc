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
#include "lab/placement/parts.h"

namespace knapweedlift::lab {
namespace {

// The deployment of the brief's second user: settings of its servers, delays of
// its network and what its callers ask for.
constexpr int kSlots = 2;
constexpr size_t kQueue = 8;
constexpr double kWorkMs = 32;
constexpr double kWorkSpread = 0.5;
constexpr double kMaxWorkMs = 180;
constexpr double kColdMs = 2'000;
constexpr double kColdSlowdown = 1.6;
constexpr double kCallerMs = 3;
constexpr double kRemoteMs = 1.4;
constexpr double kAimMs = 150;
constexpr double kDeadlineMs = 1'000;
constexpr int kTries = 3;
constexpr double kRequestsOfFlow = 40;
// Within this time callers open their flows anew after a restart.
constexpr double kHerdMs = 300;

// As in the daemon.
constexpr double kRenewMs = 100;
constexpr double kReportMs = 250;
constexpr double kDomainReportMs = 1'000;

constexpr char kService[] = "service";
constexpr Endpoint kRoute{.address = {}, .port = 443};

std::string DomainName(size_t domain) { return absl::StrCat("d", domain); }

TimePoint At(double ms) {
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
    MakeViews();
    events_.Schedule(0, EventKind::kEstimateUpdate);
    events_.Schedule(0, EventKind::kLoadReport);
    events_.Schedule(0, EventKind::kDomainLoadReport);
    if (scenario.restart_vms_at_ms > 0)
      events_.Schedule(scenario.restart_vms_at_ms, EventKind::kVmRestart);
    if (scenario.replace_servers_at_ms > 0) {
      events_.Schedule(scenario.replace_servers_at_ms,
                       EventKind::kServerReplacement);
    }
  }

  PlacementResult Play() {
    while (events_.HasEventBefore(scenario_.duration_ms)) {
      const Event event = events_.Pop();
      now_ = event.at_ms;
      Take(event);
    }
    return Summary();
  }

 private:
  void AddDomain(size_t domain) {
    const PlacementDomain& shape = scenario_.domains[domain];
    for (int i = 0; i < shape.servers; ++i) AddServer(domain, 0);
    for (int i = 0; i < shape.vms; ++i) {
      vms_.push_back({.domain = domain});
      vms_of_[domain].push_back(vms_.size() - 1);
    }
    events_.Schedule(0, EventKind::kNewRequest, domain);
  }

  void AddServer(size_t domain, double cold_until) {
    const size_t number = servers_.size() + 1;
    ServerFact fact{.name = absl::StrCat("s-", absl::Hex(number)),
                    .instance = number,
                    .mark = static_cast<Mark>(number),
                    .service = kService,
                    .domain = DomainName(domain),
                    .slots = kSlots,
                    .cold_until = At(cold_until)};
    fact.endpoint.port = static_cast<uint16_t>(number);
    servers_.push_back(
        {.fact = fact, .domain = domain, .cold_until = cold_until});
    live_.push_back(number - 1);
  }

  void MakeViews() {
    FactDelta delta{.as_of = ++revision_, .is_snapshot = true};
    for (const size_t index : live_) {
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
    MergeDelta(registry, delta, At(now_));
    for (Vm& vm : vms_) {
      vm.view = BuildMarkView(registry, {}, DomainName(vm.domain), At(now_),
                              vm.memory);
    }
  }

  double Exponential(double mean) {
    return std::exponential_distribution<double>(1 / mean)(random_);
  }

  double WorkMs(const Server& server) {
    const double location = std::log(kWorkMs) - kWorkSpread * kWorkSpread / 2;
    const double work =
        std::lognormal_distribution<double>(location, kWorkSpread)(random_);
    const double slowdown = now_ < server.cold_until ? kColdSlowdown : 1;
    return slowdown * std::min(work, kMaxWorkMs);
  }

  void Take(const Event& event) {
    switch (event.kind) {
      case EventKind::kNewRequest:
        return Ask(event.index);
      case EventKind::kRetry:
        return Send(event.request);
      case EventKind::kRequestArrival:
        return Arrive(event.index);
      case EventKind::kRequestCompletion:
        return Finish(event.index);
      case EventKind::kEstimateUpdate:
        return Renew();
      case EventKind::kLoadReport:
        return Report();
      case EventKind::kDomainLoadReport:
        return ReportDomains();
      case EventKind::kVmRestart:
        return RestartAll();
      case EventKind::kServerReplacement:
        return ReplaceServers();
    }
  }

  // The next request of the domain's callers.
  void Ask(size_t domain) {
    const bool burst =
        now_ >= scenario_.burst_start_ms &&
        now_ < scenario_.burst_start_ms + scenario_.burst_duration_ms;
    const double rate = scenario_.domains[domain].requests_per_second *
                        (burst ? scenario_.burst_factor : 1);
    std::exponential_distribution<double> pause(rate / 1'000);
    events_.Schedule(now_ + pause(arrivals_random_), EventKind::kNewRequest,
                     domain);
    ++result_.requests;
    Send({.domain = domain, .created_at_ms = now_});
  }

  // Sends a request on an idle flow, or on a new one.
  void Send(Request request) {
    ++request.attempts;
    std::vector<size_t>& idle = idle_[request.domain];
    while (!idle.empty() && flows_[idle.back()].over) idle.pop_back();
    size_t flow = 0;
    if (idle.empty() || request.attempts > 1) {
      flow = Open(request.domain);
    } else {
      const size_t chosen = random_() % idle.size();
      std::swap(idle[chosen], idle.back());
      flow = idle.back();
      idle.pop_back();
      if (flows_[flow].over) flow = Open(request.domain);
    }
    Flow& chosen = flows_[flow];
    chosen.waiting = true;
    chosen.request = request;
    ++vms_[chosen.vm].own[chosen.server].waiting;
    events_.Schedule(now_ + WayMs(chosen), EventKind::kRequestArrival, flow);
  }

  size_t Open(size_t domain) {
    const std::vector<size_t>& near = vms_of_[domain];
    const size_t vm = near[random_() % near.size()];
    const size_t server = Place(vms_[vm]);
    const int requests = 1 + static_cast<int>(Exponential(kRequestsOfFlow));
    flows_.push_back({.vm = vm, .server = server, .requests_left = requests});
    ++servers_[server].flows;
    ++vms_[vm].own[server].flows;
    return flows_.size() - 1;
  }

  size_t Place(Vm& vm) {
    const uint64_t fingerprint = random_();
    ++vm.placed;
    if (strategy_ == PlacementStrategy::kLoadAwareOracle) ShowTrueLoad(vm);
    if (strategy_ == PlacementStrategy::kLoadAware ||
        strategy_ == PlacementStrategy::kLoadAwareOracle) {
      const ServerIndex index =
          PlaceFlow(vm.view, vm.view.routes->by_address.at(kRoute), fingerprint,
                    At(now_));
      const ServerTarget& server = vm.view.servers[index];
      AddPlacedFlow(*server.load);
      return server.fact.mark - 1;
    }
    return PlaceInDomain(vm, fingerprint);
  }

  size_t PlaceInDomain(Vm& vm, uint64_t fingerprint) {
    std::vector<size_t> near;
    for (const size_t index : live_) {
      if (servers_[index].domain == vm.domain) near.push_back(index);
    }
    const auto fewer = [&vm](size_t one, size_t other) {
      return vm.own[one].flows < vm.own[other].flows;
    };
    switch (strategy_) {
      case PlacementStrategy::kRoundRobin:
        return near[vm.placed % near.size()];
      case PlacementStrategy::kTwoChoices:
        return std::min(near[fingerprint % near.size()],
                        near[(fingerprint >> 32) % near.size()], fewer);
      case PlacementStrategy::kLeastFlows:
        std::rotate(near.begin(), near.begin() + fingerprint % near.size(),
                    near.end());
        return *std::min_element(near.begin(), near.end(), fewer);
      default:
        return *std::max_element(
            near.begin(), near.end(), [&](size_t one, size_t other) {
              return MixHash(fingerprint, one) < MixHash(fingerprint, other);
            });
    }
  }

  void ShowTrueLoad(Vm& vm) {
    for (const ServerTarget& target : vm.view.servers) {
      const Server& server = servers_[target.fact.mark - 1];
      const double activity = ActivityOf(vm);
      target.load->expected_requests.store(
          server.busy + static_cast<double>(server.queue.size()) +
          server.flows * activity);
    }
  }

  static double ActivityOf(const Vm& vm) {
    const auto found = vm.estimate.activity.find(kService);
    constexpr double kUnknown = 0.1;
    return found == vm.estimate.activity.end() ? kUnknown : found->second;
  }

  double WayMs(const Flow& flow) const {
    const bool remote = vms_[flow.vm].domain != servers_[flow.server].domain;
    return kCallerMs + (remote ? kRemoteMs : 0);
  }

  void Arrive(size_t index) {
    Flow& flow = flows_[index];
    if (flow.over) return;
    Server& server = servers_[flow.server];
    if (vms_[flow.vm].domain != server.domain) ++remote_;
    ++arrivals_;
    if (server.busy < kSlots) {
      ++server.busy;
      events_.Schedule(now_ + WorkMs(server), EventKind::kRequestCompletion,
                       index);
    } else if (server.queue.size() < kQueue) {
      server.queue.push_back(index);
    } else {
      Refuse(index);
    }
  }

  void Refuse(size_t index) {
    ++result_.rejections;
    const Request request = flows_[index].request;
    StopWaiting(index);
    if (request.attempts < kTries) {
      events_.Schedule(now_ + WayMs(flows_[index]), EventKind::kRetry, 0,
                       request);
    } else {
      ++result_.failed;
    }
  }

  void Finish(size_t index) {
    Flow& flow = flows_[index];
    Server& server = servers_[flow.server];
    --server.busy;
    ++server.answered;
    while (!server.queue.empty()) {
      const size_t next = server.queue.front();
      server.queue.pop_front();
      if (flows_[next].over) continue;
      ++server.busy;
      events_.Schedule(now_ + WorkMs(server), EventKind::kRequestCompletion,
                       next);
      break;
    }
    if (flow.over) return;
    const double took = now_ + WayMs(flow) - flow.request.created_at_ms;
    times_.push_back(took);
    if (took <= kAimMs) {
      ++result_.on_time;
    } else if (took <= kDeadlineMs) {
      ++result_.late;
    } else {
      ++result_.failed;
    }
    StopWaiting(index);
  }

  // The flow has its answer; it ends, or waits for its next request.
  void StopWaiting(size_t index) {
    Flow& flow = flows_[index];
    if (!flow.waiting) return;
    flow.waiting = false;
    --vms_[flow.vm].own[flow.server].waiting;
    if (--flow.requests_left <= 0) {
      End(index);
    } else {
      idle_[vms_[flow.vm].domain].push_back(index);
    }
  }

  void End(size_t index) {
    Flow& flow = flows_[index];
    if (flow.over) return;
    flow.over = true;
    --servers_[flow.server].flows;
    ServerLoad& own = vms_[flow.vm].own[flow.server];
    --own.flows;
    if (flow.waiting) --own.waiting;
  }

  std::vector<ServerLoad> OwnLoads(const Vm& vm) const {
    std::vector<ServerLoad> loads;
    for (const auto& [server, load] : vm.own) {
      if (load.flows == 0) continue;
      loads.push_back({.mark = static_cast<Mark>(server + 1),
                       .flows = load.flows,
                       .waiting = load.waiting});
    }
    return loads;
  }

  void Renew() {
    events_.Schedule(now_ + kRenewMs, EventKind::kEstimateUpdate);
    for (Vm& vm : vms_) {
      const size_t peers = vms_of_[vm.domain].size() - 1;
      vm.domain_loads = UpdateLoadEstimate(vm.estimate, vm.view, OwnLoads(vm),
                                           vm.book, peers, At(now_));
    }
  }

  void Report() {
    events_.Schedule(now_ + kReportMs, EventKind::kLoadReport);
    for (size_t from = 0; from < vms_.size(); ++from) {
      for (const size_t to : vms_of_[vms_[from].domain]) {
        if (to == from) continue;
        RecordLoadReport(vms_[to].book, from + 1, OwnLoads(vms_[from]),
                         At(now_));
      }
    }
  }

  void ReportDomains() {
    events_.Schedule(now_ + kDomainReportMs, EventKind::kDomainLoadReport);
    for (Vm& to : vms_) {
      for (const Vm& from : vms_) {
        if (from.domain == to.domain) continue;
        for (const DomainLoad& load : from.domain_loads) {
          RecordDomainLoad(to.book, load);
        }
      }
    }
  }

  // All VMs lose what they know, and callers open their flows anew.
  void RestartAll() {
    for (size_t i = 0; i < flows_.size(); ++i) {
      if (flows_[i].over) continue;
      const Request request = flows_[i].request;
      const bool waited = flows_[i].waiting;
      End(i);
      if (!waited || request.attempts >= kTries) continue;
      events_.Schedule(now_ + Exponential(kHerdMs), EventKind::kRetry, 0,
                       request);
    }
    for (Vm& vm : vms_) {
      vm.own.clear();
      vm.book = {};
      vm.estimate = {};
      vm.memory = {};
    }
    MakeViews();
  }

  // Every second server ends, its flows with it; a cold one takes its place.
  void ReplaceServers() {
    std::vector<size_t> before;
    std::swap(before, live_);
    for (size_t i = 0; i < before.size(); ++i) {
      if (i % 2 == 1) {
        live_.push_back(before[i]);
      } else {
        AddServer(servers_[before[i]].domain, now_ + kColdMs);
      }
    }
    for (size_t i = 0; i < flows_.size(); ++i) {
      const bool lives = std::find(live_.begin(), live_.end(),
                                   flows_[i].server) != live_.end();
      if (lives || flows_[i].over) continue;
      const Request request = flows_[i].request;
      const bool waited = flows_[i].waiting;
      End(i);
      if (waited) events_.Schedule(now_, EventKind::kRetry, 0, request);
    }
    MakeViews();
  }

  PlacementResult Summary() {
    constexpr double kPart = 0.99;
    if (!times_.empty()) {
      const auto at =
          times_.begin() + static_cast<int64_t>(kPart * (times_.size() - 1));
      std::nth_element(times_.begin(), at, times_.end());
      result_.p99_ms = *at;
    }
    uint64_t sum = 0;
    uint64_t most = 0;
    for (const size_t index : live_) {
      sum += servers_[index].answered;
      most = std::max(most, servers_[index].answered);
    }
    result_.peak_to_mean_ratio =
        static_cast<double>(most * live_.size()) /
        static_cast<double>(std::max<uint64_t>(sum, 1));
    result_.cross_domain_share =
        static_cast<double>(remote_) /
        static_cast<double>(std::max<uint64_t>(arrivals_, 1));
    return result_;
  }

  const PlacementScenario& scenario_;
  PlacementStrategy strategy_;
  // The same requests for all strategies.
  std::mt19937_64 arrivals_random_;
  std::mt19937_64 random_;
  double now_ = 0;
  Revision revision_ = 0;
  EventQueue events_;
  std::vector<Server> servers_;
  // Indexes of the servers that take flows.
  std::vector<size_t> live_;
  std::vector<Vm> vms_;
  std::map<size_t, std::vector<size_t>> vms_of_;
  std::vector<Flow> flows_;
  std::map<size_t, std::vector<size_t>> idle_;
  std::vector<double> times_;
  uint64_t arrivals_ = 0;
  uint64_t remote_ = 0;
  PlacementResult result_;
};

}  // namespace

PlacementResult SimulatePlacement(const PlacementScenario& scenario,
                                  PlacementStrategy strategy, uint64_t seed) {
  return PlacementSimulation(scenario, strategy, seed).Play();
}

}  // namespace knapweedlift::lab
