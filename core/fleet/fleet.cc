#include "core/fleet/fleet.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "core/fleet/relay_tree.h"
#include "core/fleet/watch_duty.h"

namespace knapweedlift {
namespace {

Heartbeat OwnHeartbeat(const FleetState& state) {
  return {.vm = state.self.id,
          .incarnation = state.incarnation,
          .count = state.heartbeat,
          .phase = state.phase};
}

void CountOwnHeartbeat(FleetState& state, TimePoint now) {
  ++state.heartbeat;
  MergeHeartbeat(state.members, OwnHeartbeat(state), now);
  UpdateAddress(state.members, state.self);
}

// Other VMs, alive or silent: silent ones are tried, too, so that a healed
// split is noticed.
std::vector<const Member*> OtherMembers(const FleetState& state) {
  std::vector<const Member*> others;
  for (const auto& [id, member] : state.members) {
    const bool other = id != state.self.id && member.address.control.port != 0;
    if (other) others.push_back(&member);
  }
  return others;
}

FleetGossip MakeFleetGossip(FleetState& state, const Registry& registry,
                            bool reply_wanted, TimePoint now) {
  FleetGossip gossip{
      .reply_wanted = reply_wanted,
      .facts = VersionOf(registry),
      .watcher = state.watching ? state.self.id : state.covered_by,
      .lease_expires_at =
          state.watching ? now + kWatchLeasePeriod : state.covered_until,
      .peers = {{.address = state.self, .heartbeat = OwnHeartbeat(state)}}};
  gossip.loads = state.domain_loads;
  for (const auto& [key, load] : state.loads.domains) {
    if (gossip.loads.size() >= kGossipDomainLoads) break;
    if (load.domain != state.self.domain) gossip.loads.push_back(load);
  }
  std::vector<const Member*> others = OtherMembers(state);
  std::shuffle(others.begin(), others.end(), state.random);
  for (const Member* member : others) {
    if (gossip.peers.size() == kFleetGossipPeers) break;
    if (now >= member->lease_expires_at) continue;
    gossip.peers.push_back(
        {.address = member->address, .heartbeat = member->heartbeat});
  }
  return gossip;
}

void GossipTo(FleetState& state, const Registry& registry, const Endpoint& to,
              bool reply_wanted, TimePoint now, FleetOutbox& out) {
  out.push_back({{to}, MakeFleetGossip(state, registry, reply_wanted, now)});
}

// Asks one of the seeds: a whole fleet that starts must not drown them.
void GossipToSeed(FleetState& state, const Registry& registry, TimePoint now,
                  FleetOutbox& out) {
  if (now < state.next_seed_at) return;
  state.seed_pause =
      std::clamp(2 * state.seed_pause, kFirstSeedPause, kMaxSeedPause);
  state.next_seed_at = now + state.seed_pause;
  std::vector<Endpoint> seeds = state.seeds;
  std::erase(seeds, state.self.control);
  if (seeds.empty()) return;
  // Each seed in turn; VMs begin with different ones.
  const size_t index = (state.self.id + state.seed_attempts++) % seeds.size();
  GossipTo(state, registry, seeds[index], true, now, out);
}

void SendDueGossip(FleetState& state, const Registry& registry, TimePoint now,
                   FleetOutbox& out) {
  if (now < state.next_gossip_at) return;
  state.next_gossip_at = now + kFleetGossipPeriod;
  CountOwnHeartbeat(state, now);
  RemoveExpiredMembers(state.members, now);
  std::vector<const Member*> others = OtherMembers(state);
  const bool alone = std::none_of(
      others.begin(), others.end(),
      [now](const Member* member) { return now < member->lease_expires_at; });
  if (alone) GossipToSeed(state, registry, now, out);
  std::shuffle(others.begin(), others.end(), state.random);
  size_t near = kFleetGossipFanout;
  size_t remote = state.heartbeat % kRemoteGossipPeriods == 0 ? 1 : 0;
  std::vector<Endpoint> targets;
  for (const Member* member : others) {
    const bool is_near = member->address.domain == state.self.domain;
    size_t& left = is_near ? near : remote;
    if (left == 0) continue;
    --left;
    targets.push_back(member->address.control);
  }
  for (const Endpoint& target : targets) {
    GossipTo(state, registry, target, true, now, out);
  }
}

// The oldest VM of each other failure domain, a living one where there is one.
std::vector<const Member*> OtherDomainHeads(const FleetState& state,
                                            TimePoint now) {
  std::map<std::string, const Member*> heads;
  for (const Member* member : OtherMembers(state)) {
    if (member->address.domain == state.self.domain) continue;
    const Member*& head = heads[member->address.domain];
    const auto order = [now](const Member& candidate) {
      return std::tuple(now >= candidate.suspect_after, AgeOf(candidate));
    };
    if (head == nullptr || order(*member) < order(*head)) head = member;
  }
  std::vector<const Member*> list;
  list.reserve(heads.size());
  for (const auto& [domain, head] : heads) list.push_back(head);
  return list;
}

// Sends a message that travels through the failure domain on to this VM's part
// of the root's tree.
void Relay(const FleetState& state, VmId root, const FleetMessage& message,
           FleetOutbox& out) {
  std::vector<Endpoint> targets;
  for (const VmId vm : RelayTargets(DomainVms(state), root, state.self.id)) {
    const auto found = state.members.find(vm);
    if (found == state.members.end()) continue;
    targets.push_back(found->second.address.control);
  }
  if (!targets.empty()) out.push_back({std::move(targets), message});
}

// Sends a message of this VM through the whole fleet.
void SendToFleet(const FleetState& state, const FleetMessage& message,
                 TimePoint now, FleetOutbox& out) {
  Relay(state, state.self.id, message, out);
  std::vector<Endpoint> targets;
  for (const Member* head : OtherDomainHeads(state, now)) {
    targets.push_back(head->address.control);
  }
  if (!targets.empty()) out.push_back({std::move(targets), message});
}

// Passes a message that travels through the fleet on. A message that came from
// another failure domain gets this VM as its root here.
template <typename Notice>
void PassOn(const FleetState& state, Notice notice, FleetOutbox& out) {
  const auto root = state.members.find(notice.root);
  const bool foreign = root != state.members.end() &&
                       root->second.address.domain != state.self.domain;
  if (foreign) notice.root = state.self.id;
  Relay(state, notice.root, notice, out);
}

void SendLease(FleetState& state, const Registry& registry, TimePoint now,
               FleetOutbox& out) {
  state.next_lease_at = now + kWatchLeasePeriod;
  SendToFleet(state,
              WatchLease{.root = state.self.id,
                         .watcher = state.self.id,
                         .watching = state.watching,
                         .facts = VersionOf(registry)},
              now, out);
}

void RequestFacts(FleetState& state, const Registry& registry,
                  const Endpoint& from, TimePoint now, FleetOutbox& out) {
  if (now < state.next_request_at) return;
  state.next_request_at = now + kFactsRequestPause;
  out.push_back({{from}, FactsRequest{.after = registry.as_of}});
}

// A peer that cannot tell the changes one by one would send everything. It is
// asked for that only where the platform does not help for a while.
void NoteBehind(FleetState& state, const Endpoint& peer, TimePoint now) {
  state.behind_since = std::min(state.behind_since, now);
  state.behind_peer = peer;
}

void SendDueWholeRequest(FleetState& state, const Registry& registry,
                         TimePoint now, FleetOutbox& out) {
  if (state.behind_since == TimePoint::max()) return;
  const Duration delay =
      registry.as_of == 0 ? kFirstFactsDelay : kWholeRequestDelay;
  if (now - state.behind_since < delay || now < state.next_request_at) return;
  state.next_request_at = now + kWholeRequestPause;
  out.push_back({{state.behind_peer}, FactsRequest{.after = registry.as_of}});
}

// Catches up with a peer's facts where they are newer.
void FollowVersion(FleetState& state, Registry& registry,
                   const FactsVersion& version, const Endpoint& from,
                   TimePoint now, FleetOutbox& out) {
  if (version.as_of <= registry.as_of) return;
  const bool changed = registry.as_of < version.last_change;
  if (registry.as_of == 0 || (changed && registry.as_of < version.horizon)) {
    NoteBehind(state, from, now);
    return;
  }
  if (changed) {
    RequestFacts(state, registry, from, now, out);
    return;
  }
  // No fact has changed in between.
  registry.as_of = version.as_of;
}

FleetNews TakeMessage(FleetState& state, Registry& registry, VmId /*sender*/,
                      const Endpoint& from, const FleetGossip& gossip,
                      TimePoint now, FleetOutbox& out) {
  for (const FleetPeer& peer : gossip.peers) {
    if (peer.heartbeat.vm == state.self.id) {
      // A former life of this VM with a clock that ran ahead.
      if (peer.heartbeat.incarnation > state.incarnation) {
        state.incarnation = peer.heartbeat.incarnation + 1;
      }
      continue;
    }
    MergeHeartbeat(state.members, peer.heartbeat, now);
    UpdateAddress(state.members, peer.address);
  }
  for (const DomainLoad& load : gossip.loads) {
    if (load.domain != state.self.domain) RecordDomainLoad(state.loads, load);
  }
  if (gossip.lease_expires_at > state.covered_until) {
    NoteLease(state, gossip.watcher, gossip.lease_expires_at);
  }
  if (gossip.reply_wanted) GossipTo(state, registry, from, false, now, out);
  FollowVersion(state, registry, gossip.facts, from, now, out);
  return {};
}

FleetNews TakeMessage(FleetState& state, Registry& /*registry*/, VmId sender,
                      const Endpoint& /*from*/, const LoadNotice& notice,
                      TimePoint now, FleetOutbox& /*out*/) {
  RecordLoadReport(state.loads, sender, notice.servers, now);
  return {};
}

FleetNews TakeMessage(FleetState& state, Registry& registry, VmId /*sender*/,
                      const Endpoint& from, const FactsNotice& notice,
                      TimePoint now, FleetOutbox& out) {
  const MergeResult result = MergeDelta(registry, notice.delta, now);
  if (result == MergeResult::kGap) {
    RequestFacts(state, registry, from, now, out);
  }
  if (result != MergeResult::kMerged) return {};
  state.behind_since = TimePoint::max();
  if (notice.root != kNoVm) PassOn(state, notice, out);
  return {.facts_changed = true};
}

FleetNews TakeMessage(FleetState& /*state*/, Registry& registry,
                      VmId /*sender*/, const Endpoint& from,
                      const FactsRequest& request, TimePoint /*now*/,
                      FleetOutbox& out) {
  if (registry.as_of <= request.after) return {};
  out.push_back(
      {{from}, FactsNotice{.delta = DeltaSince(registry, request.after)}});
  return {};
}

FleetNews TakeMessage(FleetState& state, Registry& registry, VmId /*sender*/,
                      const Endpoint& from, const WatchLease& lease,
                      TimePoint now, FleetOutbox& out) {
  if (lease.watching) {
    NoteLease(state, lease.watcher, now + kWatchLeaseTime);
  } else if (lease.watcher == state.covered_by) {
    state.covered_until = std::min(state.covered_until, now);
  }
  FollowVersion(state, registry, lease.facts, from, now, out);
  const bool newest = lease.watching && registry.as_of >= lease.facts.as_of;
  if (newest) state.confirmed_at = now;
  PassOn(state, lease, out);
  return {};
}

FleetNews TakeMessage(FleetState& state, Registry& /*registry*/,
                      VmId /*sender*/, const Endpoint& /*from*/,
                      const SuspicionNotice& notice, TimePoint /*now*/,
                      FleetOutbox& out) {
  PassOn(state, notice, out);
  return {.suspects = notice.marks};
}

// The VMs that come after this one in the ring of its failure domain.
std::vector<const Member*> NextInRing(const FleetState& state, TimePoint now) {
  std::vector<const Member*> before;
  std::vector<const Member*> ring;
  for (const auto& [id, member] : state.members) {
    const bool counts = id != state.self.id && now < member.lease_expires_at &&
                        member.address.domain == state.self.domain;
    if (counts) (id < state.self.id ? before : ring).push_back(&member);
  }
  ring.insert(ring.end(), before.begin(), before.end());
  if (ring.size() > kLoadNoticePeers) ring.resize(kLoadNoticePeers);
  return ring;
}

void SendDueLoad(FleetState& state, TimePoint now, FleetOutbox& out) {
  if (now < state.next_load_at) return;
  state.next_load_at = now + kMinLoadReportInterval;
  ExpireLoadReports(state.loads, now);
  const bool due = now - state.told_loads_at >= kLoadReportInterval ||
                   LoadsDifferSignificantly(state.told_loads, state.own_loads);
  if (!due) return;
  state.told_loads = state.own_loads;
  state.told_loads_at = now;
  std::vector<Endpoint> targets;
  for (const Member* member : NextInRing(state, now)) {
    targets.push_back(member->address.control);
  }
  if (targets.empty()) return;
  out.push_back({std::move(targets), LoadNotice{.servers = state.own_loads}});
}

}  // namespace

FleetState StartFleet(const VmAddress& self, const std::vector<Endpoint>& seeds,
                      uint64_t incarnation, TimePoint now) {
  FleetState state{.self = self,
                   .incarnation = incarnation,
                   .seeds = seeds,
                   .random = std::minstd_rand(self.id),
                   .next_gossip_at = now,
                   .settled_at = now + kSettleTime,
                   .covered_until = now + kSettleTime,
                   .next_request_at = now + kFactsRequestPause};
  CountOwnHeartbeat(state, now);
  return state;
}

void TickFleet(FleetState& state, const Registry& registry, TimePoint now,
               FleetOutbox& out) {
  SendDueGossip(state, registry, now, out);
  SendDueLoad(state, now, out);
  SendDueWholeRequest(state, registry, now, out);
  if (state.watching && now >= state.next_lease_at) {
    SendLease(state, registry, now, out);
  }
}

FleetNews TakeFleetMessage(FleetState& state, Registry& registry, VmId sender,
                           const FleetMessage& message, TimePoint now,
                           FleetOutbox& out) {
  if (sender == state.self.id) return {};
  // A VM that is new here tells its address in its gossip.
  const auto* gossip = std::get_if<FleetGossip>(&message);
  if (gossip != nullptr && !gossip->peers.empty()) {
    UpdateAddress(state.members, gossip->peers.front().address);
  }
  const auto found = state.members.find(sender);
  if (found == state.members.end()) return {};
  RenewLease(found->second, now);
  const Endpoint from = found->second.address.control;
  return std::visit(
      [&](const auto& body) {
        return TakeMessage(state, registry, sender, from, body, now, out);
      },
      message);
}

bool ShouldCatchUp(const FleetState& state, const Registry& registry) {
  return registry.as_of != 0 && state.behind_since != TimePoint::max();
}

void SetWatching(FleetState& state, const Registry& registry, bool watching,
                 TimePoint now, FleetOutbox& out) {
  if (watching) state.confirmed_at = now;
  if (state.watching == watching) return;
  state.watching = watching;
  SendLease(state, registry, now, out);
}

void SendFacts(const FleetState& state, const Registry& registry,
               Revision before, TimePoint now, FleetOutbox& out) {
  SendToFleet(
      state,
      FactsNotice{.root = state.self.id, .delta = DeltaSince(registry, before)},
      now, out);
}

void SendSuspicions(const FleetState& state, const std::vector<Mark>& marks,
                    FleetOutbox& out) {
  Relay(state, state.self.id,
        SuspicionNotice{.root = state.self.id, .marks = marks}, out);
}

void EnterPhase(FleetState& state, const Registry& registry, MemberPhase phase,
                TimePoint now, FleetOutbox& out) {
  state.phase = phase;
  CountOwnHeartbeat(state, now);
  std::vector<Endpoint> targets;
  for (const Member* member : OtherMembers(state)) {
    const bool near = member->address.domain == state.self.domain;
    if (near && now < member->lease_expires_at) {
      targets.push_back(member->address.control);
    }
  }
  if (targets.size() > kFleetGossipPeers) targets.resize(kFleetGossipPeers);
  for (const Endpoint& target : targets) {
    GossipTo(state, registry, target, false, now, out);
  }
}

std::vector<VmId> DomainVms(const FleetState& state) {
  std::vector<VmId> vms;
  for (const auto& [id, member] : state.members) {
    if (member.address.domain == state.self.domain) vms.push_back(id);
  }
  return vms;
}

size_t LivePeers(const FleetState& state, TimePoint now) {
  return std::count_if(state.members.begin(), state.members.end(),
                       [&](const auto& item) {
                         return item.first != state.self.id &&
                                now < item.second.lease_expires_at &&
                                item.second.address.domain == state.self.domain;
                       });
}

FactsVersion VersionOf(const Registry& registry) {
  return {.as_of = registry.as_of,
          .last_change = registry.last_change,
          .horizon = registry.horizon};
}

}  // namespace knapweedlift
