#ifndef KNAPWEEDLIFT_LAB_POLICY_SIMULATION_H_
#define KNAPWEEDLIFT_LAB_POLICY_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/control/control.h"
#include "core/control/send_queue.h"
#include "core/policy/decision.h"
#include "lab/policy/strategy.h"

namespace knapweedlift::lab {

// Sizes and delays of a tenant's deployment in the policy bench.
struct PolicySimulationOptions {
  std::string tenant = "mondego";
  uint32_t domains = 3;
  int64_t domain_delay_us = 500;
  int64_t caller_delay_us = 3'000;
  uint32_t vms = 14;
  uint32_t servers = 15;
  uint32_t buckets = 524'288;
  uint32_t long_flows = 64'500;
  // Mean pause between two packets of a long flow.
  int64_t long_pause_us = 15'000'000;
  uint32_t short_flows_per_second = 300;
  uint32_t control_bytes_per_second = 5'000;
  uint32_t control_burst_bytes = 1'000;
  // Shares of packets and of peer messages that are lost.
  double loss = 0.001;
  double peer_loss = 0.01;
  uint64_t seed = 1;

  auto operator<=>(const PolicySimulationOptions&) const = default;
};

// What a run measured.
struct PolicySimulationResult {
  uint64_t flows = 0;
  uint64_t avoidable_broken = 0;
  uint64_t unavoidable_broken = 0;
  uint64_t misrouted = 0;
  uint64_t dropped_by_policy = 0;
  uint64_t duplicate_executions = 0;
  uint64_t late_new_flows = 0;
  uint64_t packets = 0;
  uint64_t relayed = 0;
  uint64_t stalled = 0;
  double imbalance = 0;
  double control_bytes_mean = 0;
  double control_bytes_worst_second = 0;
  int64_t convergence_ms = -1;
};

// One entry VM in memory.
struct SimVm {
  VmId id = kNoVm;
  std::string domain;
  bool alive = false;
  // Whether the fabric hands it packets.
  bool in_fabric = false;
  bool paused = false;
  uint64_t incarnation = 0;
  ControlState control;
  std::unique_ptr<FlowTable> flows;
  std::unique_ptr<SendQueue> queue;
  ViewPtr view;
  // The sheet as a baseline strategy knows it.
  SheetPtr baseline_sheet;
  // What arrived while the process was paused.
  std::vector<std::function<void()>> backlog;
  uint64_t sent_bytes_at_last_sample = 0;
};

// One flow of a caller.
struct SimFlow {
  PacketMetadata metadata;
  uint64_t fingerprint = 0;
  // Where the connection stands; kNoServer before a SYN was accepted.
  ServerId server = kNoServer;
  // Where payload ran.
  ServerId executed_on = kNoServer;
  uint32_t caller_domain = 0;
  bool long_lived = false;
  bool syn_acknowledged = false;
  bool ended = false;
  bool broken = false;
  int packets_left = 0;
  int attempts = 0;
};

enum class PacketKind : uint8_t { kSyn, kData, kFin };

// Callers, fabric, VMs, backend servers and platform in one event queue. The
// VMs run the core's own code; everything else is as small as it can be.
// The same seed gives the same figures.
class PolicySimulation {
 public:
  PolicySimulation(const PolicySimulationOptions& options, Strategy strategy);
  ~PolicySimulation();

  // Schedules an action at a time of the run.
  void RunAt(int64_t at_ms, std::function<void()> action);
  void RunUntil(int64_t end_ms);

  // Actions of scenarios.
  void PublishServers(uint32_t servers, const std::set<ServerId>& leaving);
  void SetPlatformUp(bool up) { platform_up_ = up; }
  void SetPlatformStale(bool stale) { platform_stale_ = stale; }
  void CrashVm(VmId id);
  void ShutDownVm(VmId id);
  void StartVm(VmId id);
  void PauseVm(VmId id, int64_t duration_ms);
  void PartitionDomain(uint32_t domain);
  void HealPartition();
  // Measures the convergence from now on.
  void StartConvergenceMeasurement() { convergence_start_us_ = now_us_; }

  const PolicySimulationOptions& options() const { return options_; }
  PolicySimulationResult Result() const;

 private:
  struct Event {
    int64_t at_us;
    uint64_t sequence;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return std::tie(at_us, sequence) > std::tie(other.at_us, other.sequence);
    }
  };

  TimePoint now() const { return TimePoint(Duration(now_us_ / 1'000)); }
  bool DrawBernoulli(double probability);
  void RunAfter(int64_t delay_us, std::function<void()> action);
  uint32_t DomainOf(const SimVm& vm) const;
  bool CanReach(const SimVm& a, const SimVm& b) const;
  std::string BuildSheetText(uint32_t servers,
                             const std::set<ServerId>& leaving) const;

  // Control (simulation_control.cc).
  void TickVm(VmId id, uint64_t incarnation);
  void PollPlatform(VmId id, uint64_t incarnation);
  void PollVmList(SimVm& vm);
  void EnqueueMessages(SimVm& vm, Outbox& out);
  void SendWithinBudget(SimVm& vm);
  void DeliverMessage(VmId to, VmId from, uint64_t incarnation,
                      const Message& message);
  void UpdateView(SimVm& vm);
  void ApplyBaselineSheet(VmId id, SheetPtr sheet);
  void SampleMetrics();
  bool HasConverged() const;

  // Traffic (simulation_traffic.cc).
  void OpenLongFlows();
  void OpenShortFlows();
  size_t OpenFlow(bool long_lived);
  void SendPacket(size_t flow, PacketKind kind);
  // While the VM's process is paused, the packet waits in its socket and the
  // caller retransmits it.
  void ReceivePacket(VmId vm, size_t flow, PacketKind kind,
                     std::optional<RelayOption> relay_option,
                     bool is_duplicate);
  void ForwardByBaseline(SimVm& vm, size_t flow, PacketKind kind,
                         bool is_duplicate, uint8_t hops);
  void SendAssignmentNotices(SimVm& vm, const Decision& decision,
                             uint64_t fingerprint);
  void HandlePacketLoss(size_t flow, PacketKind kind, bool is_duplicate);
  void DeliverToServer(ServerId server, uint32_t from_domain, size_t flow,
                       PacketKind kind, bool is_duplicate);
  void AcceptSyn(ServerId server, size_t flow, bool is_duplicate);
  void AcknowledgePacket(size_t flow, PacketKind kind);
  void BreakFlow(size_t flow);
  bool IsServerRemoved(ServerId server) const;

  PolicySimulationOptions options_;
  Strategy strategy_;
  std::mt19937_64 random_;
  int64_t now_us_ = 0;
  uint64_t next_sequence_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::map<VmId, SimVm> vms_;
  std::vector<SimFlow> flows_;
  std::map<ServerId, int64_t> connections_;
  std::map<ServerId, int64_t> drain_deadline_us_;
  uint32_t published_servers_ = 0;
  uint64_t revision_ = 0;
  std::string sheet_text_;
  std::string previous_sheet_text_;
  SheetPtr sheet_;
  bool platform_up_ = true;
  bool platform_stale_ = false;
  std::optional<uint32_t> partitioned_domain_;
  int64_t drain_unknown_until_us_ = 0;
  int64_t convergence_start_us_ = -1;
  std::vector<double> bytes_per_vm_samples_;
  PolicySimulationResult result_;
};

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_POLICY_SIMULATION_H_
