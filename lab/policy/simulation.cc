#include "lab/policy/simulation.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"
#include "core/packet/inner_packet.h"
#include "core/sheet/sheet_parser.h"

namespace knapweedlift::lab {
namespace {

constexpr int64_t kTickUs = 50'000;
constexpr int64_t kSecondUs = 1'000'000;
// Delay until the platform's VM list and the fabric reflect that a VM started
// or stopped.
constexpr int64_t kFabricUpdateDelayUs = 1'000'000;
constexpr size_t kFlowsPerVm = 400'000;
// A leaving server may get new flows for this long after the sheet that marks
// it as leaving was published.
constexpr int64_t kDrainGraceUs = 3'000'000;

}  // namespace

PolicySimulation::PolicySimulation(const PolicySimulationOptions& options,
                                   Strategy strategy)
    : options_(options), strategy_(strategy), random_(options.seed) {
  PublishServers(options.servers, {});
  for (VmId id = 1; id <= options.vms; ++id) StartVm(id);
  for (auto& [id, vm] : vms_) vm.in_fabric = true;
  RunAfter(kSecondUs, [this] { SampleMetrics(); });
}

PolicySimulation::~PolicySimulation() = default;

void PolicySimulation::RunAt(int64_t at_ms, std::function<void()> action) {
  RunAfter(at_ms * 1'000 - now_us_, std::move(action));
}

void PolicySimulation::RunUntil(int64_t end_ms) {
  // Callers open flows once the VMs are ready to serve.
  constexpr int64_t kTrafficStartMs = 5'000;
  if (flows_.empty()) {
    RunAt(kTrafficStartMs, [this] {
      OpenLongFlows();
      OpenShortFlows();
    });
  }
  while (!events_.empty() && events_.top().at_us <= end_ms * 1'000) {
    Event event = events_.top();
    events_.pop();
    now_us_ = event.at_us;
    event.action();
  }
  now_us_ = end_ms * 1'000;
}

void PolicySimulation::PublishServers(uint32_t servers,
                                      const std::set<ServerId>& leaving) {
  ++revision_;
  published_servers_ = servers;
  previous_sheet_text_ = sheet_text_;
  sheet_text_ = BuildSheetText(servers, leaving);
  sheet_ = std::make_shared<const Sheet>(*ParseSheet({sheet_text_}));
  for (const ServerId server : leaving) {
    drain_deadline_us_.emplace(server, now_us_ + kDrainGraceUs);
  }
  if (strategy_ == Strategy::kBucketTables) return;
  for (auto& [id, vm] : vms_) {
    std::uniform_int_distribution<int64_t> propagation_delay(0, 2 * kSecondUs);
    RunAfter(propagation_delay(random_), [this, id = id, sheet = sheet_] {
      ApplyBaselineSheet(id, sheet);
    });
  }
}

std::string PolicySimulation::BuildSheetText(
    uint32_t servers, const std::set<ServerId>& leaving) const {
  nlohmann::json domains = nlohmann::json::array();
  for (uint32_t i = 0; i < options_.domains; ++i) {
    domains.push_back(absl::StrCat("domain-", i));
  }
  nlohmann::json list = nlohmann::json::array();
  for (uint32_t i = 1; i <= servers; ++i) {
    const bool is_leaving = leaving.contains(static_cast<ServerId>(i));
    list.push_back({{"number", i},
                    {"address", absl::StrCat("10.1.0.", i)},
                    {"domain", absl::StrCat("domain-", i % options_.domains)},
                    {"slots", 2},
                    {"state", is_leaving ? "leaving" : "active"}});
  }
  return nlohmann::json({{"format", 1},
                         {"revision", revision_},
                         {"failure_domains", domains},
                         {"services",
                          {{{"number", 1},
                            {"name", options_.tenant == "cuna" ? "suscripciones"
                                                               : "atelier"},
                            {"tenant", options_.tenant},
                            {"address", "10.0.0.1"},
                            {"port", 443},
                            {"protocol", "tcp"},
                            {"vni", 1},
                            {"buckets", options_.buckets},
                            {"servers", list}}}}})
      .dump();
}

void PolicySimulation::StartVm(VmId id) {
  SimVm& vm = vms_[id];
  const uint64_t incarnation = vm.incarnation + 1;
  vm = SimVm{};
  vm.id = id;
  vm.incarnation = incarnation;
  vm.domain = absl::StrCat("domain-", id % options_.domains);
  vm.alive = true;
  const Endpoint endpoint{.address = *ParseIpAddress("10.2.0.1"),
                          .port = static_cast<uint16_t>(id)};
  vm.control = InitialControlState(
      {.id = id, .control = endpoint, .data = endpoint, .domain = vm.domain},
      incarnation, now());
  vm.flows = std::make_unique<FlowTable>(1, kFlowsPerVm);
  vm.queue = std::make_unique<SendQueue>(options_.control_bytes_per_second,
                                         options_.control_burst_bytes, now());
  vm.baseline_sheet = sheet_;
  // The fabric sends packets to the VM as soon as the platform lists it.
  RunAfter(kFabricUpdateDelayUs, [this, id, incarnation] {
    SimVm& started = vms_[id];
    if (started.incarnation == incarnation && started.alive) {
      started.in_fabric = true;
    }
  });
  if (strategy_ != Strategy::kBucketTables) return;
  std::uniform_int_distribution<int64_t> phase(0, kTickUs);
  RunAfter(phase(random_),
           [this, id, incarnation] { TickVm(id, incarnation); });
  RunAfter(phase(random_),
           [this, id, incarnation] { PollPlatform(id, incarnation); });
}

void PolicySimulation::CrashVm(VmId id) {
  vms_[id].alive = false;
  RunAfter(kFabricUpdateDelayUs, [this, id] {
    if (!vms_[id].alive) vms_[id].in_fabric = false;
  });
}

void PolicySimulation::ShutDownVm(VmId id) {
  constexpr int64_t kShutdownDrainUs = 5'000'000;
  SimVm& vm = vms_[id];
  if (strategy_ == Strategy::kBucketTables) {
    Outbox out;
    Leave(vm.control, *vm.flows, now(), out);
    EnqueueMessages(vm, out);
    UpdateView(vm);
  }
  const uint64_t incarnation = vm.incarnation;
  RunAfter(kFabricUpdateDelayUs, [this, id] { vms_[id].in_fabric = false; });
  RunAfter(kShutdownDrainUs, [this, id, incarnation] {
    if (vms_[id].incarnation == incarnation) vms_[id].alive = false;
  });
}

void PolicySimulation::PauseVm(VmId id, int64_t duration_ms) {
  vms_[id].paused = true;
  const uint64_t incarnation = vms_[id].incarnation;
  RunAfter(duration_ms * 1'000, [this, id, incarnation] {
    SimVm& vm = vms_[id];
    if (vm.incarnation != incarnation) return;
    vm.paused = false;
    const auto backlog = std::exchange(vm.backlog, {});
    for (const auto& action : backlog) action();
  });
}

void PolicySimulation::PartitionDomain(uint32_t domain) {
  partitioned_domain_ = domain;
  drain_unknown_until_us_ = std::numeric_limits<int64_t>::max();
}

void PolicySimulation::HealPartition() {
  partitioned_domain_.reset();
  drain_unknown_until_us_ = now_us_ + kDrainGraceUs;
}

bool PolicySimulation::DrawBernoulli(double probability) {
  return std::bernoulli_distribution(probability)(random_);
}

void PolicySimulation::RunAfter(int64_t delay_us,
                                std::function<void()> action) {
  events_.push({now_us_ + std::max<int64_t>(0, delay_us), next_sequence_++,
                std::move(action)});
}

uint32_t PolicySimulation::DomainOf(const SimVm& vm) const {
  return vm.id % options_.domains;
}

bool PolicySimulation::CanReach(const SimVm& a, const SimVm& b) const {
  if (!partitioned_domain_.has_value()) return true;
  return (DomainOf(a) == *partitioned_domain_) ==
         (DomainOf(b) == *partitioned_domain_);
}

void PolicySimulation::SampleMetrics() {
  double worst = 0;
  double sum = 0;
  size_t count = 0;
  for (auto& [id, vm] : vms_) {
    if (!vm.alive || vm.queue == nullptr) continue;
    const uint64_t sent = vm.queue->sent_bytes();
    const auto bytes = static_cast<double>(
        sent -
        std::min(sent, std::exchange(vm.sent_bytes_at_last_sample, sent)));
    worst = std::max(worst, bytes);
    sum += bytes;
    ++count;
  }
  result_.control_bytes_worst_second =
      std::max(result_.control_bytes_worst_second, worst);
  if (count > 0) {
    bytes_per_vm_samples_.push_back(sum / static_cast<double>(count));
  }
  const bool waiting = convergence_start_us_ >= 0 && result_.convergence_ms < 0;
  if (waiting && HasConverged()) {
    result_.convergence_ms = (now_us_ - convergence_start_us_) / 1'000;
  }
  RunAfter(kSecondUs, [this] { SampleMetrics(); });
}

PolicySimulationResult PolicySimulation::Result() const {
  PolicySimulationResult result = result_;
  result.flows = flows_.size();
  int64_t busiest = 0;
  int64_t sum = 0;
  int64_t servers = 0;
  for (const auto& [server, count] : connections_) {
    const bool accepts_flows = !drain_deadline_us_.contains(server);
    if (!accepts_flows || server > published_servers_) continue;
    busiest = std::max(busiest, count);
    sum += count;
    ++servers;
  }
  if (sum > 0) {
    result.imbalance = static_cast<double>(busiest) *
                       static_cast<double>(servers) / static_cast<double>(sum);
  }
  double bytes = 0;
  for (const double second : bytes_per_vm_samples_) bytes += second;
  if (!bytes_per_vm_samples_.empty()) {
    result.control_bytes_mean =
        bytes / static_cast<double>(bytes_per_vm_samples_.size());
  }
  return result;
}

}  // namespace knapweedlift::lab
