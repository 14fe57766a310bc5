#include <algorithm>
#include <map>
#include <utility>

#include "core/packet/inner_packet.h"
#include "core/policy/homes.h"
#include "lab/policy/simulation.h"

namespace knapweedlift::lab {
namespace {

constexpr uint64_t kHashKey = 99;
constexpr int64_t kRampUpUs = 5'000'000;
constexpr int64_t kFirstRetransmitUs = 200'000;
constexpr int kMaxAttempts = 12;
constexpr int kMaxBackoffDoublings = 5;
constexpr int kShortFlowPackets = 4;
constexpr int64_t kShortFlowPauseUs = 400'000;
constexpr size_t kMaxBackloggedPackets = 2'000;
constexpr int64_t kNoticeDelayUs = 5'000;
constexpr uint8_t kMaxBaselineRelays = 1;

// Returns the servers of the sheet's lookup table. They are cached, because
// computing them for every packet would dominate the run time.
const std::vector<ServerId>& CachedTargets(const SheetPtr& sheet) {
  static std::map<const Sheet*, std::pair<SheetPtr, std::vector<ServerId>>>
      cache;
  auto& entry = cache[sheet.get()];
  if (entry.first == nullptr) {
    entry = {sheet, SheetTargets(sheet->services.front())};
  }
  return entry.second;
}

}  // namespace

void PolicySimulation::OpenLongFlows() {
  std::uniform_int_distribution<int64_t> delay(0, kRampUpUs);
  for (uint32_t i = 0; i < options_.long_flows; ++i) {
    const size_t flow = OpenFlow(true);
    RunAfter(delay(random_),
             [this, flow] { SendPacket(flow, PacketKind::kSyn); });
  }
}

void PolicySimulation::OpenShortFlows() {
  if (options_.short_flows_per_second == 0) return;
  SendPacket(OpenFlow(false), PacketKind::kSyn);
  RunAfter(1'000'000 / options_.short_flows_per_second,
           [this] { OpenShortFlows(); });
}

size_t PolicySimulation::OpenFlow(bool long_lived) {
  const size_t index = flows_.size();
  SimFlow flow;
  const auto number = static_cast<uint32_t>(index);
  const uint8_t source[4] = {10, static_cast<uint8_t>(100 + (number >> 28)),
                             static_cast<uint8_t>(number >> 20),
                             static_cast<uint8_t>(number >> 12)};
  const uint8_t target[4] = {10, 0, 0, 1};
  flow.metadata.key = {
      .source = IpAddressFromV4(source),
      .destination = IpAddressFromV4(target),
      .source_port = static_cast<uint16_t>(1'024 + (number & 0xFFF)),
      .destination_port = 443,
      .protocol = kProtocolTcp};
  flow.fingerprint = Fingerprint(flow.metadata.key, kHashKey + options_.seed);
  flow.caller_domain = static_cast<uint32_t>(index % options_.domains);
  flow.long_lived = long_lived;
  flow.packets_left = long_lived ? -1 : kShortFlowPackets;
  flows_.push_back(flow);
  return index;
}

void PolicySimulation::SendPacket(size_t index, PacketKind kind) {
  SimFlow& flow = flows_[index];
  if (flow.ended) return;
  ++result_.packets;
  std::vector<VmId> targets;
  for (const auto& [id, vm] : vms_) {
    // Callers in a partitioned failure domain reach only the VMs in it, and
    // callers elsewhere only the other VMs.
    const bool same_partition = !partitioned_domain_.has_value() ||
                                (flow.caller_domain == *partitioned_domain_) ==
                                    (DomainOf(vm) == *partitioned_domain_);
    if (vm.in_fabric && same_partition) targets.push_back(id);
  }
  if (targets.empty() || DrawBernoulli(options_.loss)) {
    HandlePacketLoss(index, kind, false);
    return;
  }
  std::uniform_int_distribution<size_t> choice(0, targets.size() - 1);
  const VmId target = targets[choice(random_)];
  RunAfter(options_.caller_delay_us, [this, target, index, kind] {
    ReceivePacket(target, index, kind, std::nullopt, false);
  });
}

void PolicySimulation::ReceivePacket(VmId id, size_t index, PacketKind kind,
                                     std::optional<RelayOption> relay_option,
                                     bool is_duplicate) {
  SimVm& vm = vms_[id];
  if (!vm.alive) {
    HandlePacketLoss(index, kind, is_duplicate);
    return;
  }
  if (vm.paused) {
    if (vm.backlog.size() < kMaxBackloggedPackets) {
      vm.backlog.push_back([this, id, index, kind, relay_option] {
        ReceivePacket(id, index, kind, relay_option, true);
      });
    }
    HandlePacketLoss(index, kind, is_duplicate);
    return;
  }
  if (strategy_ != Strategy::kBucketTables) {
    ForwardByBaseline(vm, index, kind, is_duplicate, 0);
    return;
  }
  if (vm.view == nullptr || vm.view->sheet == nullptr) {
    HandlePacketLoss(index, kind, is_duplicate);
    return;
  }
  const SimFlow& flow = flows_[index];
  PacketMetadata metadata = flow.metadata;
  metadata.bare_syn = kind == PacketKind::kSyn;
  metadata.fin = kind == PacketKind::kFin;
  FlowTable::Shard& shard = vm.flows->ShardOf(flow.fingerprint);
  const DecisionTime time{.now = now(), .fresh = IsFresh(vm.control, now())};
  Decision decision;
  {
    absl::MutexLock lock(&shard.mutex);
    decision = DecidePacket(*vm.view, shard.flows, metadata, flow.fingerprint,
                            relay_option, time);
  }
  if (decision.verdict == Verdict::kDrop) {
    ++result_.dropped_by_policy;
    HandlePacketLoss(index, kind, is_duplicate);
    return;
  }
  if (decision.verdict == Verdict::kRelay) {
    ++result_.relayed;
    const auto peer = vms_.find(decision.peer);
    if (peer == vms_.end() || !CanReach(vm, peer->second)) {
      HandlePacketLoss(index, kind, is_duplicate);
      return;
    }
    RunAfter(options_.domain_delay_us,
             [this, peer = decision.peer, index, kind,
              next = decision.relay_option, is_duplicate] {
               ReceivePacket(peer, index, kind, next, is_duplicate);
             });
    return;
  }
  SendAssignmentNotices(vm, decision, flow.fingerprint);
  RunAfter(options_.domain_delay_us,
           [this, server = decision.server, domain = DomainOf(vm), index, kind,
            is_duplicate] {
             DeliverToServer(server, domain, index, kind, is_duplicate);
           });
}

void PolicySimulation::SendAssignmentNotices(SimVm& vm,
                                             const Decision& decision,
                                             uint64_t fingerprint) {
  for (const VmId to : {decision.notify_first, decision.notify_second}) {
    if (to == kNoVm) continue;
    RunAfter(kNoticeDelayUs, [this, id = vm.id, incarnation = vm.incarnation,
                              to, fingerprint, server = decision.server,
                              state = decision.notify_state] {
      SimVm& sender = vms_[id];
      if (!sender.alive || sender.incarnation != incarnation) return;
      Outbox out;
      out.push_back({to, FlowAssignmentNotice{
                             .service = 1,
                             .assignments = {{fingerprint, server,
                                              state == FlowState::kOpening}}}});
      EnqueueMessages(sender, out);
    });
  }
}

void PolicySimulation::ForwardByBaseline(SimVm& vm, size_t index,
                                         PacketKind kind, bool is_duplicate,
                                         uint8_t hops) {
  const SimFlow& flow = flows_[index];
  const Service& service = vm.baseline_sheet->services.front();
  if (strategy_ == Strategy::kHomeAll && hops < kMaxBaselineRelays) {
    std::vector<VmId> alive;
    for (const auto& [id, other] : vms_) {
      if (other.in_fabric) alive.push_back(id);
    }
    const VmId home = HomesOf(flow.fingerprint, alive).first;
    if (home != vm.id) {
      ++result_.relayed;
      RunAfter(options_.domain_delay_us,
               [this, home, index, kind, is_duplicate] {
                 SimVm& peer = vms_[home];
                 if (!peer.alive || peer.paused) {
                   HandlePacketLoss(index, kind, is_duplicate);
                   return;
                 }
                 ForwardByBaseline(peer, index, kind, is_duplicate, 1);
               });
      return;
    }
  }
  const std::vector<ServerId>& targets = CachedTargets(vm.baseline_sheet);
  ServerId server =
      strategy_ == Strategy::kHash
          ? ChooseServerByHash(service, flow.fingerprint)
          : targets[BucketIndex(flow.fingerprint, targets.size())];
  if (strategy_ != Strategy::kHash) {
    FlowTable::Shard& shard = vm.flows->ShardOf(flow.fingerprint);
    absl::MutexLock lock(&shard.mutex);
    const FlowEntry* entry = FindFlow(shard.flows, flow.fingerprint, now());
    if (entry != nullptr) server = entry->server;
    RecordFlowServer(shard.flows, service, flow.fingerprint, server,
                     FlowState::kEstablished, now());
  }
  if (strategy_ == Strategy::kReplicate && kind == PacketKind::kSyn) {
    std::uniform_int_distribution<VmId> choice(1, options_.vms);
    const VmId peer = choice(random_);
    vm.queue->Push(Priority::kGeneration,
                   {.to = peer, .bytes = std::string(kReplicatedFlowBytes, 0)});
    while (vm.queue->Pop(now()).has_value()) {
    }
    RunAfter(options_.domain_delay_us, [this, peer, index, server] {
      SimVm& replica = vms_[peer];
      if (!replica.alive) return;
      FlowTable::Shard& shard =
          replica.flows->ShardOf(flows_[index].fingerprint);
      absl::MutexLock lock(&shard.mutex);
      RecordFlowServer(shard.flows, replica.baseline_sheet->services.front(),
                       flows_[index].fingerprint, server,
                       FlowState::kEstablished, now());
    });
  }
  RunAfter(options_.domain_delay_us,
           [this, server, domain = DomainOf(vm), index, kind, is_duplicate] {
             DeliverToServer(server, domain, index, kind, is_duplicate);
           });
}

void PolicySimulation::HandlePacketLoss(size_t index, PacketKind kind,
                                        bool is_duplicate) {
  SimFlow& flow = flows_[index];
  if (is_duplicate || flow.ended) return;
  if (++flow.attempts > kMaxAttempts) {
    flow.ended = true;
    ++result_.stalled;
    return;
  }
  const int64_t delay = kFirstRetransmitUs
                        << std::min(flow.attempts - 1, kMaxBackoffDoublings);
  RunAfter(delay, [this, index, kind] { SendPacket(index, kind); });
}

bool PolicySimulation::IsServerRemoved(ServerId server) const {
  return server > published_servers_;
}

void PolicySimulation::DeliverToServer(ServerId server, uint32_t from_domain,
                                       size_t index, PacketKind kind,
                                       bool is_duplicate) {
  SimFlow& flow = flows_[index];
  const bool partitioned =
      partitioned_domain_.has_value() &&
      (from_domain == *partitioned_domain_) !=
          (server % options_.domains == *partitioned_domain_);
  if (partitioned || server == kNoServer) {
    HandlePacketLoss(index, kind, is_duplicate);
    return;
  }
  if (kind == PacketKind::kSyn) {
    AcceptSyn(server, index, is_duplicate);
    return;
  }
  if (server != flow.server) {
    ++result_.misrouted;
    if (!flow.ended) BreakFlow(index);
    return;
  }
  if (is_duplicate || flow.ended) return;
  const bool executed_elsewhere =
      flow.executed_on != kNoServer && flow.executed_on != server;
  if (executed_elsewhere) ++result_.duplicate_executions;
  flow.executed_on = server;
  AcknowledgePacket(index, kind);
}

void PolicySimulation::AcceptSyn(ServerId server, size_t index,
                                 bool is_duplicate) {
  SimFlow& flow = flows_[index];
  if (flow.ended || flow.syn_acknowledged) return;
  const auto drain_deadline = drain_deadline_us_.find(server);
  // The VMs of a partitioned failure domain cannot learn that a server is
  // leaving.
  const bool drain_is_known = now_us_ > drain_unknown_until_us_;
  if (drain_deadline != drain_deadline_us_.end() &&
      now_us_ > drain_deadline->second && drain_is_known) {
    ++result_.late_new_flows;
  }
  flow.server = server;
  if (is_duplicate) return;
  // If the SYN-ACK is lost, another server may accept the retransmitted SYN.
  if (DrawBernoulli(options_.loss)) {
    HandlePacketLoss(index, PacketKind::kSyn, false);
    return;
  }
  flow.syn_acknowledged = true;
  ++connections_[server];
  AcknowledgePacket(index, PacketKind::kSyn);
}

void PolicySimulation::AcknowledgePacket(size_t index, PacketKind kind) {
  SimFlow& flow = flows_[index];
  flow.attempts = 0;
  if (kind == PacketKind::kFin) {
    flow.ended = true;
    --connections_[flow.server];
    return;
  }
  int64_t pause = 2 * options_.caller_delay_us;
  // The first packet after the SYN follows without a pause, like the ACK that
  // completes a handshake.
  if (kind == PacketKind::kData) {
    const int64_t mean =
        flow.long_lived ? options_.long_pause_us : kShortFlowPauseUs;
    std::exponential_distribution<double> delay(1.0 /
                                                static_cast<double>(mean));
    pause += static_cast<int64_t>(delay(random_));
  }
  if (flow.packets_left > 0) --flow.packets_left;
  const PacketKind next =
      flow.packets_left == 0 ? PacketKind::kFin : PacketKind::kData;
  RunAfter(pause, [this, index, next] { SendPacket(index, next); });
}

void PolicySimulation::BreakFlow(size_t index) {
  SimFlow& flow = flows_[index];
  flow.ended = true;
  flow.broken = true;
  if (flow.server != kNoServer) --connections_[flow.server];
  ++(IsServerRemoved(flow.server) ? result_.unavoidable_broken
                                  : result_.avoidable_broken);
}

}  // namespace knapweedlift::lab
