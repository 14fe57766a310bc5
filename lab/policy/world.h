#ifndef KNAPWEEDLIFT_LAB_POLICY_WORLD_H_
#define KNAPWEEDLIFT_LAB_POLICY_WORLD_H_

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
struct WorldOptions {
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

  auto operator<=>(const WorldOptions&) const = default;
};

// What a run measured.
struct WorldResult {
  uint64_t flows = 0;
  uint64_t avoidable_broken = 0;
  uint64_t unavoidable_broken = 0;
  uint64_t guessed_wrong = 0;
  uint64_t dropped_by_choice = 0;
  uint64_t doubled = 0;
  uint64_t late_new_work = 0;
  uint64_t packets = 0;
  uint64_t handed_on = 0;
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
  uint64_t bytes_at_last_second = 0;
};

// One flow of a caller.
struct SimFlow {
  PacketMetadata meta;
  uint64_t fingerprint = 0;
  // Where the connection stands; kNoServer before a SYN was accepted.
  ServerId server = kNoServer;
  // Where payload ran.
  ServerId ran_on = kNoServer;
  uint32_t side = 0;
  bool long_lived = false;
  bool answered_syn = false;
  bool over = false;
  bool broken = false;
  int packets_left = 0;
  int attempts = 0;
};

enum class PacketKind : uint8_t { kSyn, kData, kFin };

// Callers, fabric, VMs, backend servers and platform in one event queue. The
// VMs run the core's own code; everything else is as small as it can be.
// The same seed gives the same figures.
class World {
 public:
  World(const WorldOptions& options, Strategy strategy);
  ~World();

  // Schedules an action at a time of the run.
  void At(int64_t at_ms, std::function<void()> action);
  void RunUntil(int64_t end_ms);

  // Actions of scenarios.
  void PublishServers(uint32_t servers, const std::set<ServerId>& leaving);
  void SetPlatformUp(bool up) { platform_up_ = up; }
  void SetPlatformStale(bool stale) { platform_stale_ = stale; }
  void CrashVm(VmId id);
  void LeaveVm(VmId id);
  void StartVm(VmId id);
  void PauseVm(VmId id, int64_t duration_ms);
  void CutDomain(uint32_t domain);
  void Heal();
  // Measures the convergence from now on.
  void MarkChange() { change_at_us_ = now_us_; }

  const WorldOptions& options() const { return options_; }
  WorldResult Result() const;

 private:
  struct Event {
    int64_t at_us;
    uint64_t order;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return std::tie(at_us, order) > std::tie(other.at_us, other.order);
    }
  };

  TimePoint now() const { return TimePoint(Duration(now_us_ / 1'000)); }
  bool Chance(double probability);
  void After(int64_t delay_us, std::function<void()> action);
  uint32_t DomainOf(const SimVm& vm) const;
  bool Reachable(const SimVm& a, const SimVm& b) const;
  std::string SheetText(uint32_t servers,
                        const std::set<ServerId>& leaving) const;

  // Control (world_control.cc).
  void TickVm(VmId id, uint64_t incarnation);
  void PollPlatform(VmId id, uint64_t incarnation);
  void PollVmList(SimVm& vm);
  void Post(SimVm& vm, Outbox& out);
  void SendAllowed(SimVm& vm);
  void Deliver(VmId to, VmId from, uint64_t incarnation,
               const Message& message);
  void Refresh(SimVm& vm);
  void GiveBaselineSheet(VmId id, SheetPtr sheet);
  void MeasureSecond();
  bool Converged() const;

  // Traffic (world_traffic.cc).
  void OpenLongFlows();
  void OpenShortFlows();
  size_t OpenFlow(bool long_lived);
  void SendPacket(size_t flow, PacketKind kind);
  void Arrive(VmId vm, size_t flow, PacketKind kind,
              std::optional<RelayOption> hand_on, bool is_duplicate);
  void ArriveByBaseline(SimVm& vm, size_t flow, PacketKind kind,
                        bool is_duplicate, uint8_t hops);
  void Tell(SimVm& vm, const Decision& decision, uint64_t fingerprint);
  void Lose(size_t flow, PacketKind kind, bool is_duplicate);
  void Reach(ServerId server, uint32_t from_domain, size_t flow,
             PacketKind kind, bool is_duplicate);
  void AcceptSyn(ServerId server, size_t flow, bool is_duplicate);
  void Acknowledge(size_t flow, PacketKind kind);
  void Break(size_t flow);
  bool ServerGone(ServerId server) const;

  WorldOptions options_;
  Strategy strategy_;
  std::mt19937_64 random_;
  int64_t now_us_ = 0;
  uint64_t next_order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::map<VmId, SimVm> vms_;
  std::vector<SimFlow> flows_;
  std::map<ServerId, int64_t> connections_;
  std::map<ServerId, int64_t> late_after_us_;
  uint32_t published_servers_ = 0;
  uint64_t revision_ = 0;
  std::string sheet_text_;
  std::string old_sheet_text_;
  SheetPtr sheet_;
  bool platform_up_ = true;
  bool platform_stale_ = false;
  std::optional<uint32_t> cut_domain_;
  int64_t deaf_until_us_ = 0;
  int64_t change_at_us_ = -1;
  std::vector<double> second_bytes_;
  WorldResult result_;
};

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_POLICY_WORLD_H_
