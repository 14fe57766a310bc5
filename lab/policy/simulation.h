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

// Model of a tenant's deployment. Delays are one-way.
struct PolicySimulationOptions {
  std::string tenant = "mondego";
  // Number of failure domains.
  uint32_t domains = 3;
  // Delay between failure domains, and between VMs and backend servers.
  int64_t domain_delay_us = 500;
  // Delay between callers and VMs.
  int64_t caller_delay_us = 3'000;
  uint32_t vms = 14;
  uint32_t servers = 15;
  uint32_t buckets = 524'288;
  uint32_t long_flows = 64'500;
  // Mean pause between two packets of a long-lived flow.
  int64_t long_pause_us = 15'000'000;
  uint32_t short_flows_per_second = 300;
  // Send budget of each VM for messages to its peers.
  uint32_t control_bytes_per_second = 5'000;
  uint32_t control_burst_bytes = 1'000;
  // Loss probability of a packet between caller and VM, and of a SYN-ACK.
  double loss = 0.001;
  // Loss probability of a message between VMs.
  double peer_loss = 0.01;
  uint64_t seed = 1;

  auto operator<=>(const PolicySimulationOptions&) const = default;
};

// Measurements of a simulation run.
struct PolicySimulationResult {
  uint64_t flows = 0;
  // Flows that were reset because a packet reached another server while their
  // own server was still listed.
  uint64_t avoidable_broken = 0;
  // Flows that were reset after their server was removed from the sheet.
  uint64_t unavoidable_broken = 0;
  // Packets after the SYN that reached a server other than that of their flow.
  uint64_t misrouted = 0;
  // Packets that the core decided to drop.
  uint64_t dropped_by_policy = 0;
  // Packets that a second server processed for one flow.
  uint64_t duplicate_executions = 0;
  // New flows that a leaving server accepted after its drain deadline.
  uint64_t late_new_flows = 0;
  // Packets that callers sent, including retransmissions.
  uint64_t packets = 0;
  // Packets that one VM relayed to another.
  uint64_t relayed = 0;
  // Flows whose caller gave up after too many retransmissions.
  uint64_t stalled = 0;
  // Connections on the busiest server relative to the mean, at the end of the
  // run and over the servers that accept new flows.
  double imbalance = 0;
  // Bytes of peer messages per VM and second: mean, and maximum of any VM.
  double control_bytes_mean = 0;
  double control_bytes_worst_second = 0;
  // Time until all VMs applied the last change, rounded up to the next sample,
  // which is taken every second; -1 if they did not.
  int64_t convergence_ms = -1;
};

// A simulated entry VM.
struct SimVm {
  VmId id = kNoVm;
  std::string domain;
  bool alive = false;
  // True while the fabric sends packets to the VM.
  bool in_fabric = false;
  bool paused = false;
  uint64_t incarnation = 0;
  ControlState control;
  std::unique_ptr<FlowTable> flows;
  std::unique_ptr<SendQueue> queue;
  ViewPtr view;
  // Sheet used by the baseline strategies, which run without the control state.
  SheetPtr baseline_sheet;
  // Packets and messages that arrived while the process was paused; processed
  // in order when it resumes.
  std::vector<std::function<void()>> backlog;
  uint64_t sent_bytes_at_last_sample = 0;
};

// A simulated flow of a caller.
struct SimFlow {
  PacketMetadata metadata;
  uint64_t fingerprint = 0;
  // Server that holds the connection; kNoServer until a SYN is accepted.
  ServerId server = kNoServer;
  // Server that last processed a packet after the SYN.
  ServerId executed_on = kNoServer;
  // Failure domain of the caller.
  uint32_t caller_domain = 0;
  bool long_lived = false;
  bool syn_acknowledged = false;
  bool ended = false;
  bool broken = false;
  // Packets before the FIN, including the SYN; -1 for a flow that does not
  // end.
  int packets_left = 0;
  // Transmissions lost since the last acknowledgement.
  int attempts = 0;
};

enum class PacketKind : uint8_t { kSyn, kData, kFin };

// Discrete-event simulation of callers, fabric, VMs, backend servers and
// platform. The VMs run the code of the core; the other parts are minimal
// models. A run is deterministic for a given seed.
class PolicySimulation {
 public:
  PolicySimulation(const PolicySimulationOptions& options, Strategy strategy);
  ~PolicySimulation();

  // Schedules an action for a time of the run, in milliseconds from its start.
  void RunAt(int64_t at_ms, std::function<void()> action);
  // Processes events up to and including that time.
  void RunUntil(int64_t end_ms);

  // Events of scenarios.
  // Publishes a new sheet with servers 1 to `servers`, of which `leaving`
  // drain.
  void PublishServers(uint32_t servers, const std::set<ServerId>& leaving);
  void SetPlatformUp(bool up) { platform_up_ = up; }
  // A stale platform serves the sheet before the current one.
  void SetPlatformStale(bool stale) { platform_stale_ = stale; }
  // Stops the VM at once; the fabric notices with a delay.
  void CrashVm(VmId id);
  // Announces that the VM leaves, and stops it after a drain time.
  void ShutDownVm(VmId id);
  // Starts the VM without state and with a new incarnation.
  void StartVm(VmId id);
  // Suspends the VM's process, which keeps its state.
  void PauseVm(VmId id, int64_t duration_ms);
  // Separates a failure domain from the platform and all other domains.
  void PartitionDomain(uint32_t domain);
  void HealPartition();
  // Starts the measurement of convergence_ms.
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
  // False while a partition separates the two VMs.
  bool CanReach(const SimVm& a, const SimVm& b) const;
  std::string BuildSheetText(uint32_t servers,
                             const std::set<ServerId>& leaving) const;

  // Control plane (simulation_control.cc).
  void TickVm(VmId id, uint64_t incarnation);
  void PollPlatform(VmId id, uint64_t incarnation);
  void PollVmList(SimVm& vm);
  // Encodes the messages and puts them into the VM's send queue.
  void EnqueueMessages(SimVm& vm, Outbox& out);
  // Sends queued messages as far as the VM's send budget allows.
  void SendWithinBudget(SimVm& vm);
  void DeliverMessage(VmId to, VmId from, uint64_t incarnation,
                      const Message& message);
  // Rebuilds the forwarding view if the control state changed it.
  void UpdateView(SimVm& vm);
  void ApplyBaselineSheet(VmId id, SheetPtr sheet);
  // Samples control bytes and convergence once a second.
  void SampleMetrics();
  // Returns true if all running VMs applied the current sheet.
  bool HasConverged() const;

  // Data plane (simulation_traffic.cc).
  void OpenLongFlows();
  void OpenShortFlows();
  size_t OpenFlow(bool long_lived);
  void SendPacket(size_t flow, PacketKind kind);
  // While the VM's process is paused, the packet waits in its socket and the
  // caller retransmits it.
  void ReceivePacket(VmId vm, size_t flow, PacketKind kind,
                     std::optional<RelayOption> relay_option,
                     bool is_duplicate);
  // Forwards a packet by a strategy other than kBucketTables. `hops` is the
  // number of VMs that relayed it.
  void ForwardByBaseline(SimVm& vm, size_t flow, PacketKind kind,
                         bool is_duplicate, uint8_t hops);
  void SendAssignmentNotices(SimVm& vm, const Decision& decision,
                             uint64_t fingerprint);
  // Schedules a retransmission with exponential backoff, or gives the flow up.
  // A lost duplicate is ignored, because the caller retransmits the packet
  // already.
  void HandlePacketLoss(size_t flow, PacketKind kind, bool is_duplicate);
  void DeliverToServer(ServerId server, uint32_t from_domain, size_t flow,
                       PacketKind kind, bool is_duplicate);
  void AcceptSyn(ServerId server, size_t flow, bool is_duplicate);
  // Resets the backoff and schedules the flow's next packet.
  void AcknowledgePacket(size_t flow, PacketKind kind);
  // Records that the caller received a reset.
  void BreakFlow(size_t flow);
  // Returns true if the current sheet no longer lists the server.
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
  // Time after which a leaving server must not accept new flows.
  std::map<ServerId, int64_t> drain_deadline_us_;
  uint32_t published_servers_ = 0;
  uint64_t revision_ = 0;
  std::string sheet_text_;
  std::string previous_sheet_text_;
  SheetPtr sheet_;
  bool platform_up_ = true;
  bool platform_stale_ = false;
  std::optional<uint32_t> partitioned_domain_;
  // Drain deadlines do not apply until then, because a partitioned failure
  // domain does not learn that a server is leaving.
  int64_t drain_unknown_until_us_ = 0;
  // -1 before the measurement starts.
  int64_t convergence_start_us_ = -1;
  // Mean bytes sent per VM in each second.
  std::vector<double> bytes_per_vm_samples_;
  PolicySimulationResult result_;
};

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_POLICY_SIMULATION_H_
