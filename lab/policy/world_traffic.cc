#include <algorithm>
#include <map>
#include <utility>

#include "core/packet/inner_packet.h"
#include "core/policy/homes.h"
#include "lab/policy/world.h"

namespace knapweedlift::lab {
namespace {

constexpr uint64_t kHashKey = 99;
constexpr int64_t kRampUs = 5'000'000;
constexpr int64_t kFirstRetransmitUs = 200'000;
constexpr int kMaxAttempts = 12;
constexpr int kMaxDoublings = 5;
constexpr int kShortPackets = 4;
constexpr int64_t kShortPauseUs = 400'000;
constexpr size_t kMaxPausedPackets = 2'000;
constexpr int64_t kNoticeDelayUs = 5'000;
constexpr uint8_t kMaxBaselineHops = 1;

// Targets of the sheet's table; computing them for each packet would dominate
// the run.
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

void World::OpenLongFlows() {
  std::uniform_int_distribution<int64_t> delay(0, kRampUs);
  for (uint32_t i = 0; i < options_.long_flows; ++i) {
    const size_t flow = OpenFlow(true);
    After(delay(random_), [this, flow] { SendPacket(flow, PacketKind::kSyn); });
  }
}

void World::OpenShortFlows() {
  if (options_.short_flows_per_second == 0) return;
  SendPacket(OpenFlow(false), PacketKind::kSyn);
  After(1'000'000 / options_.short_flows_per_second,
        [this] { OpenShortFlows(); });
}

size_t World::OpenFlow(bool long_lived) {
  const size_t index = flows_.size();
  SimFlow flow;
  const auto number = static_cast<uint32_t>(index);
  const uint8_t source[4] = {10, static_cast<uint8_t>(100 + (number >> 28)),
                             static_cast<uint8_t>(number >> 20),
                             static_cast<uint8_t>(number >> 12)};
  const uint8_t target[4] = {10, 0, 0, 1};
  flow.meta.key = {
      .source = IpAddressFromV4(source),
      .destination = IpAddressFromV4(target),
      .source_port = static_cast<uint16_t>(1'024 + (number & 0xFFF)),
      .destination_port = 443,
      .protocol = kProtocolTcp};
  flow.fingerprint = Fingerprint(flow.meta.key, kHashKey + options_.seed);
  flow.side = static_cast<uint32_t>(index % options_.domains);
  flow.long_lived = long_lived;
  flow.packets_left = long_lived ? -1 : kShortPackets;
  flows_.push_back(flow);
  return index;
}

void World::SendPacket(size_t index, PacketKind kind) {
  SimFlow& flow = flows_[index];
  if (flow.over) return;
  ++result_.packets;
  std::vector<VmId> targets;
  for (const auto& [id, vm] : vms_) {
    // While a domain is cut off, its callers reach its own VMs alone.
    const bool same_side =
        !cut_domain_.has_value() ||
        (flow.side == *cut_domain_) == (DomainOf(vm) == *cut_domain_);
    if (vm.in_fabric && same_side) targets.push_back(id);
  }
  if (targets.empty() || Chance(options_.loss)) {
    Lose(index, kind, false);
    return;
  }
  std::uniform_int_distribution<size_t> choice(0, targets.size() - 1);
  const VmId target = targets[choice(random_)];
  After(options_.caller_delay_us, [this, target, index, kind] {
    Arrive(target, index, kind, std::nullopt, false);
  });
}

void World::Arrive(VmId id, size_t index, PacketKind kind,
                   std::optional<RelayOption> hand_on, bool is_duplicate) {
  SimVm& vm = vms_[id];
  if (!vm.alive) {
    Lose(index, kind, is_duplicate);
    return;
  }
  if (vm.paused) {
    // The packet waits in the socket; the caller sends it again meanwhile.
    if (vm.backlog.size() < kMaxPausedPackets) {
      vm.backlog.push_back([this, id, index, kind, hand_on] {
        Arrive(id, index, kind, hand_on, true);
      });
    }
    Lose(index, kind, is_duplicate);
    return;
  }
  if (strategy_ != Strategy::kOurs) {
    ArriveByBaseline(vm, index, kind, is_duplicate, 0);
    return;
  }
  if (vm.view == nullptr || vm.view->sheet == nullptr) {
    Lose(index, kind, is_duplicate);
    return;
  }
  const SimFlow& flow = flows_[index];
  PacketMetadata meta = flow.meta;
  meta.bare_syn = kind == PacketKind::kSyn;
  meta.fin = kind == PacketKind::kFin;
  FlowTable::Shard& shard = vm.flows->ShardOf(flow.fingerprint);
  const DecisionTime moment{.now = now(), .fresh = IsFresh(vm.control, now())};
  Decision decision;
  {
    absl::MutexLock lock(&shard.mutex);
    decision = DecidePacket(*vm.view, shard.flows, meta, flow.fingerprint,
                            hand_on, moment);
  }
  if (decision.verdict == Verdict::kDrop) {
    ++result_.dropped_by_choice;
    Lose(index, kind, is_duplicate);
    return;
  }
  if (decision.verdict == Verdict::kRelay) {
    ++result_.handed_on;
    const auto peer = vms_.find(decision.peer);
    if (peer == vms_.end() || !Reachable(vm, peer->second)) {
      Lose(index, kind, is_duplicate);
      return;
    }
    After(
        options_.domain_delay_us,
        [this, peer = decision.peer, index, kind, next = decision.relay_option,
         is_duplicate] { Arrive(peer, index, kind, next, is_duplicate); });
    return;
  }
  Tell(vm, decision, flow.fingerprint);
  After(options_.domain_delay_us,
        [this, server = decision.server, domain = DomainOf(vm), index, kind,
         is_duplicate] { Reach(server, domain, index, kind, is_duplicate); });
}

void World::Tell(SimVm& vm, const Decision& decision, uint64_t fingerprint) {
  for (const VmId to : {decision.notify_first, decision.notify_second}) {
    if (to == kNoVm) continue;
    After(kNoticeDelayUs, [this, id = vm.id, incarnation = vm.incarnation, to,
                           fingerprint, server = decision.server,
                           state = decision.notify_state] {
      SimVm& sender = vms_[id];
      if (!sender.alive || sender.incarnation != incarnation) return;
      Outbox out;
      out.push_back({to, FlowAssignmentNotice{
                             .service = 1,
                             .assignments = {{fingerprint, server,
                                              state == FlowState::kOpening}}}});
      Post(sender, out);
    });
  }
}

void World::ArriveByBaseline(SimVm& vm, size_t index, PacketKind kind,
                             bool is_duplicate, uint8_t hops) {
  const SimFlow& flow = flows_[index];
  const Service& service = vm.baseline_sheet->services.front();
  if (strategy_ == Strategy::kHomeAll && hops < kMaxBaselineHops) {
    std::vector<VmId> alive;
    for (const auto& [id, other] : vms_) {
      if (other.in_fabric) alive.push_back(id);
    }
    const VmId home = HomesOf(flow.fingerprint, alive).first;
    if (home != vm.id) {
      ++result_.handed_on;
      After(options_.domain_delay_us, [this, home, index, kind, is_duplicate] {
        SimVm& peer = vms_[home];
        if (!peer.alive || peer.paused) {
          Lose(index, kind, is_duplicate);
          return;
        }
        ArriveByBaseline(peer, index, kind, is_duplicate, 1);
      });
      return;
    }
  }
  const std::vector<ServerId>& targets = CachedTargets(vm.baseline_sheet);
  ServerId server =
      strategy_ == Strategy::kHash
          ? HashServer(service, flow.fingerprint)
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
                   {.to = peer, .bytes = std::string(kCopiedFlowBytes, 0)});
    while (vm.queue->Pop(now()).has_value()) {
    }
    After(options_.domain_delay_us, [this, peer, index, server] {
      SimVm& copy = vms_[peer];
      if (!copy.alive) return;
      FlowTable::Shard& shard = copy.flows->ShardOf(flows_[index].fingerprint);
      absl::MutexLock lock(&shard.mutex);
      RecordFlowServer(shard.flows, copy.baseline_sheet->services.front(),
                       flows_[index].fingerprint, server,
                       FlowState::kEstablished, now());
    });
  }
  After(options_.domain_delay_us,
        [this, server, domain = DomainOf(vm), index, kind, is_duplicate] {
          Reach(server, domain, index, kind, is_duplicate);
        });
}

void World::Lose(size_t index, PacketKind kind, bool is_duplicate) {
  SimFlow& flow = flows_[index];
  if (is_duplicate || flow.over) return;
  if (++flow.attempts > kMaxAttempts) {
    flow.over = true;
    ++result_.stalled;
    return;
  }
  const int64_t wait = kFirstRetransmitUs
                       << std::min(flow.attempts - 1, kMaxDoublings);
  After(wait, [this, index, kind] { SendPacket(index, kind); });
}

bool World::ServerGone(ServerId server) const {
  return server > published_servers_;
}

void World::Reach(ServerId server, uint32_t from_domain, size_t index,
                  PacketKind kind, bool is_duplicate) {
  SimFlow& flow = flows_[index];
  const bool cut = cut_domain_.has_value() &&
                   (from_domain == *cut_domain_) !=
                       (server % options_.domains == *cut_domain_);
  if (cut || server == kNoServer) {
    Lose(index, kind, is_duplicate);
    return;
  }
  if (kind == PacketKind::kSyn) {
    AcceptSyn(server, index, is_duplicate);
    return;
  }
  if (server != flow.server) {
    ++result_.guessed_wrong;
    if (!flow.over) Break(index);
    return;
  }
  if (is_duplicate || flow.over) return;
  const bool ran_elsewhere = flow.ran_on != kNoServer && flow.ran_on != server;
  if (ran_elsewhere) ++result_.doubled;
  flow.ran_on = server;
  Acknowledge(index, kind);
}

void World::AcceptSyn(ServerId server, size_t index, bool is_duplicate) {
  SimFlow& flow = flows_[index];
  if (flow.over || flow.answered_syn) return;
  const auto late = late_after_us_.find(server);
  // A domain that is cut off cannot hear that a server is leaving.
  const bool can_hear = now_us_ > deaf_until_us_;
  if (late != late_after_us_.end() && now_us_ > late->second && can_hear) {
    ++result_.late_new_work;
  }
  flow.server = server;
  if (is_duplicate) return;
  // Where the SYN-ACK is lost, the next SYN may be accepted elsewhere.
  if (Chance(options_.loss)) {
    Lose(index, PacketKind::kSyn, false);
    return;
  }
  flow.answered_syn = true;
  ++connections_[server];
  Acknowledge(index, PacketKind::kSyn);
}

void World::Acknowledge(size_t index, PacketKind kind) {
  SimFlow& flow = flows_[index];
  flow.attempts = 0;
  if (kind == PacketKind::kFin) {
    flow.over = true;
    --connections_[flow.server];
    return;
  }
  int64_t pause = 2 * options_.caller_delay_us;
  // The first packet after the SYN follows at once, as a handshake's ACK does.
  if (kind == PacketKind::kData) {
    const int64_t mean =
        flow.long_lived ? options_.long_pause_us : kShortPauseUs;
    std::exponential_distribution<double> wait(1.0 / static_cast<double>(mean));
    pause += static_cast<int64_t>(wait(random_));
  }
  if (flow.packets_left > 0) --flow.packets_left;
  const PacketKind next =
      flow.packets_left == 0 ? PacketKind::kFin : PacketKind::kData;
  After(pause, [this, index, next] { SendPacket(index, next); });
}

void World::Break(size_t index) {
  SimFlow& flow = flows_[index];
  flow.over = true;
  flow.broken = true;
  if (flow.server != kNoServer) --connections_[flow.server];
  ++(ServerGone(flow.server) ? result_.unavoidable_broken
                             : result_.avoidable_broken);
}

}  // namespace knapweedlift::lab
