#include "core/fleet/fleet.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "core/fleet/catch_up.h"
#include "core/fleet/first_facts.h"
#include "core/fleet/load_notices.h"
#include "core/fleet/openings.h"
#include "core/fleet/relay_tree.h"
#include "core/fleet/watcher_election.h"

namespace knapweedlift {
namespace {

Heartbeat OwnHeartbeat(const FleetState& state) {
  return {.vm = state.self.id,
          .incarnation = state.incarnation,
          .count = state.heartbeat,
          .phase = state.phase};
}

void AdvanceHeartbeat(FleetState& state, TimePoint now) {
  ++state.heartbeat;
  MergeHeartbeat(state.members, OwnHeartbeat(state), now);
  UpdateAddress(state.members, state.self);
}

// Other VMs, live or silent. Silent ones get gossip as well, so that the end of
// a network partition is detected.
std::vector<const Member*> OtherMembers(const FleetState& state) {
  std::vector<const Member*> others;
  for (const auto& [id, member] : state.members) {
    const bool reachable =
        id != state.self.id && member.address.control.port != 0;
    if (reachable) others.push_back(&member);
  }
  return others;
}

FleetGossip MakeGossip(FleetState& state, const Registry& registry,
                       bool reply_wanted, TimePoint now) {
  FleetGossip gossip{
      .reply_wanted = reply_wanted,
      .facts = FactsVersionOf(registry),
      .watcher = state.watching ? state.self.id : state.watch_lease_holder,
      .lease_expires_at = state.watching ? now + kWatchLeaseRenewalPeriod
                                         : state.watch_lease_expires_at,
      .peers = {{.address = state.self, .heartbeat = OwnHeartbeat(state)}}};
  gossip.loads = state.domain_loads;
  for (const auto& [key, load] : state.loads.domains) {
    if (gossip.loads.size() >= kMaxGossipDomainLoads) break;
    if (load.domain != state.self.domain) gossip.loads.push_back(load);
  }
  std::vector<const Member*> others = OtherMembers(state);
  std::shuffle(others.begin(), others.end(), state.random);
  for (const Member* member : others) {
    if (gossip.peers.size() == kMaxFleetGossipPeers) break;
    if (now >= member->lease_expires_at) continue;
    gossip.peers.push_back(
        {.address = member->address, .heartbeat = member->heartbeat});
  }
  return gossip;
}

// Contacts a single seed at a time, so that a fleet that starts all at once
// does not overload the seeds.
void SendGossipToSeed(FleetState& state, const Registry& registry,
                      TimePoint now, FleetOutbox& out) {
  if (now < state.next_seed_at) return;
  state.seed_backoff =
      std::clamp(2 * state.seed_backoff, kMinSeedBackoff, kMaxSeedBackoff);
  state.next_seed_at = now + state.seed_backoff;
  const auto seed = NextSeed(state);
  if (seed.has_value()) SendGossip(state, registry, *seed, true, now, out);
}

void SendDueGossip(FleetState& state, const Registry& registry, TimePoint now,
                   FleetOutbox& out) {
  if (now < state.next_gossip_at) return;
  state.next_gossip_at = now + kFleetGossipPeriod;
  AdvanceHeartbeat(state, now);
  RemoveExpiredMembers(state.members, now);
  std::vector<const Member*> others = OtherMembers(state);
  const bool no_live_peer = std::none_of(
      others.begin(), others.end(),
      [now](const Member* member) { return now < member->lease_expires_at; });
  if (no_live_peer) SendGossipToSeed(state, registry, now, out);
  std::shuffle(others.begin(), others.end(), state.random);
  size_t local = kFleetGossipFanout;
  size_t remote = state.heartbeat % kRemoteGossipInterval == 0 ? 1 : 0;
  std::vector<Endpoint> targets;
  for (const Member* member : others) {
    const bool is_local = member->address.domain == state.self.domain;
    size_t& quota = is_local ? local : remote;
    if (quota == 0) continue;
    --quota;
    targets.push_back(member->address.control);
  }
  for (const Endpoint& target : targets) {
    SendGossip(state, registry, target, true, now, out);
  }
}

// The longest-running VM of each other failure domain, preferably a live one
// that serves. Messages to the fleet enter the relay tree of that domain there,
// and one that has left may not be suspect yet.
std::vector<const Member*> RemoteRelayRoots(const FleetState& state,
                                            TimePoint now) {
  std::map<std::string, const Member*> roots;
  for (const Member* member : OtherMembers(state)) {
    if (member->address.domain == state.self.domain) continue;
    const Member*& root = roots[member->address.domain];
    const auto order = [now](const Member& candidate) {
      return std::tuple(now >= candidate.suspect_after,
                        candidate.heartbeat.phase != MemberPhase::kServing,
                        StartOrderOf(candidate));
    };
    if (root == nullptr || order(*member) < order(*root)) root = member;
  }
  std::vector<const Member*> list;
  list.reserve(roots.size());
  for (const auto& [domain, root] : roots) list.push_back(root);
  return list;
}

// Relays a message to this VM's children in the root's relay tree.
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

// Sends a message of this VM to the fleet: through the relay tree of the own
// failure domain and to one VM of each other domain.
void SendToFleet(const FleetState& state, const FleetMessage& message,
                 TimePoint now, FleetOutbox& out) {
  Relay(state, state.self.id, message, out);
  std::vector<Endpoint> targets;
  for (const Member* root : RemoteRelayRoots(state, now)) {
    targets.push_back(root->address.control);
  }
  if (!targets.empty()) out.push_back({std::move(targets), message});
}

// Relays a notice within the failure domain. For a notice from another failure
// domain this VM becomes the root of the relay tree.
template <typename Notice>
void ForwardNotice(const FleetState& state, Notice notice, FleetOutbox& out) {
  const auto root = state.members.find(notice.root);
  const bool from_other_domain =
      root != state.members.end() &&
      root->second.address.domain != state.self.domain;
  if (from_other_domain) notice.root = state.self.id;
  Relay(state, notice.root, notice, out);
}

void SendLease(FleetState& state, const Registry& registry, TimePoint now,
               FleetOutbox& out) {
  state.next_lease_at = now + kWatchLeaseRenewalPeriod;
  SendToFleet(state,
              WatchLease{.root = state.self.id,
                         .watcher = state.self.id,
                         .watching = state.watching,
                         .facts = FactsVersionOf(registry)},
              now, out);
}

// Sends all facts to the fleet if a peer is still in an earlier era and this
// VM cannot send it the changes: it started after the store's return, and the
// peers that have run for longer do not watch.
void SendSnapshotOfEra(FleetState& state, const Registry& registry,
                       const FactsVersion& version, TimePoint now,
                       FleetOutbox& out) {
  const bool is_behind = version.knows_eras && version.as_of != 0 &&
                         version.as_of.era < registry.as_of.era &&
                         NeedsSnapshot(registry, version.as_of);
  if (!state.watching || !is_behind || now < state.next_era_snapshot_at) return;
  state.next_era_snapshot_at = now + kEraSnapshotInterval;
  SendToFleet(
      state,
      FactsNotice{.root = state.self.id, .delta = DeltaSince(registry, 0)}, now,
      out);
}

FleetMessageResult HandleMessage(FleetState& state, Registry& registry,
                                 VmId /*sender*/, const Endpoint& from,
                                 const FleetGossip& gossip, TimePoint now,
                                 FleetOutbox& out) {
  for (const FleetPeer& peer : gossip.peers) {
    if (peer.heartbeat.vm == state.self.id) {
      // The clock was ahead in an earlier run of this VM, and peers would
      // ignore heartbeats of a lower incarnation.
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
  const bool lease_is_newer =
      gossip.lease_expires_at > state.watch_lease_expires_at;
  if (lease_is_newer && KnowsPresentEra(gossip.facts, registry)) {
    RecordWatchLease(state, gossip.watcher, gossip.lease_expires_at);
  }
  if (gossip.reply_wanted) SendGossip(state, registry, from, false, now, out);
  CatchUpWith(state, registry, gossip.facts, from, now, out);
  SendSnapshotOfEra(state, registry, gossip.facts, now, out);
  return {.facts_differ = CompareFacts(state, registry, gossip.facts, now)};
}

FleetMessageResult HandleMessage(FleetState& state, Registry& /*registry*/,
                                 VmId sender, const Endpoint& /*from*/,
                                 const LoadNotice& notice, TimePoint now,
                                 FleetOutbox& /*out*/) {
  RecordLoadReport(state.loads, sender, notice.servers, now);
  return {};
}

FleetMessageResult HandleMessage(FleetState& state, Registry& registry,
                                 VmId /*sender*/, const Endpoint& from,
                                 const FactsNotice& notice, TimePoint now,
                                 FleetOutbox& out) {
  const MergeResult result = MergeDelta(registry, notice.delta, now);
  if (result == MergeResult::kGap) {
    RequestFacts(state, registry, from, now, out);
  }
  if (result == MergeResult::kOtherConfig) RecordLag(state, from, now);
  if (result != MergeResult::kMerged) return {};
  EndLag(state);
  state.confirmed_at = std::max(state.confirmed_at, notice.confirmed_at);
  SendWaitingSnapshots(state, registry, now, out);
  if (notice.root != kNoVm) ForwardNotice(state, notice, out);
  return {.facts_changed = true};
}

FleetMessageResult HandleMessage(FleetState& state, Registry& registry,
                                 VmId sender, const Endpoint& from,
                                 const FactsRequest& request, TimePoint now,
                                 FleetOutbox& out) {
  // A program that does not know eras asks as if there were one.
  const Revision after =
      request.knows_eras ? request.after
                         : Revision(registry.as_of.era, request.after.number);
  if (NeedsSnapshot(registry, after)) {
    HandleSnapshotRequest(state, registry, state.members.at(sender).address,
                          request, now, out);
    return {};
  }
  if (registry.as_of <= after) return {};
  out.push_back({{from}, FactsNotice{.delta = DeltaSince(registry, after)}});
  return {};
}

FleetMessageResult HandleMessage(FleetState& state, Registry& registry,
                                 VmId /*sender*/, const Endpoint& from,
                                 const FactsReferral& referral, TimePoint now,
                                 FleetOutbox& out) {
  HandleReferral(state, registry, from, referral, now, out);
  return {};
}

FleetMessageResult HandleMessage(FleetState& state, Registry& registry,
                                 VmId /*sender*/, const Endpoint& from,
                                 const WatchLease& lease, TimePoint now,
                                 FleetOutbox& out) {
  // A watcher of an earlier era reports no changes of the present one.
  const bool is_watching =
      lease.watching && KnowsPresentEra(lease.facts, registry);
  if (is_watching) {
    RecordWatchLease(state, lease.watcher, now + kWatchLeaseDuration);
  } else if (lease.watcher == state.watch_lease_holder) {
    state.watch_lease_expires_at = std::min(state.watch_lease_expires_at, now);
  }
  CatchUpWith(state, registry, lease.facts, from, now, out);
  if (is_watching && registry.as_of >= lease.facts.as_of)
    state.confirmed_at = now;
  ForwardNotice(state, lease, out);
  return {.facts_differ = CompareFacts(state, registry, lease.facts, now)};
}

FleetMessageResult HandleMessage(FleetState& state, Registry& /*registry*/,
                                 VmId /*sender*/, const Endpoint& /*from*/,
                                 const SuspicionNotice& notice,
                                 TimePoint /*now*/, FleetOutbox& out) {
  ForwardNotice(state, notice, out);
  return {.suspect_marks = notice.marks};
}

FleetMessageResult HandleMessage(FleetState& state, Registry& /*registry*/,
                                 VmId /*sender*/, const Endpoint& /*from*/,
                                 const AnswerNotice& notice, TimePoint /*now*/,
                                 FleetOutbox& out) {
  ForwardNotice(state, notice, out);
  return {.answering_marks = notice.marks, .answered_at = notice.answered_at};
}

FleetMessageResult HandleMessage(FleetState& state, Registry& /*registry*/,
                                 VmId /*sender*/, const Endpoint& /*from*/,
                                 const OpeningNotice& notice, TimePoint now,
                                 FleetOutbox& /*out*/) {
  for (const Opening& opening : notice.openings) {
    KeepOpening(state.openings, opening, now);
  }
  return {};
}

FleetMessageResult HandleMessage(FleetState& state, Registry& /*registry*/,
                                 VmId /*sender*/, const Endpoint& /*from*/,
                                 const OpeningQuery& query, TimePoint now,
                                 FleetOutbox& out) {
  HandleOpeningQuery(state, query, now, out);
  return {};
}

FleetMessageResult HandleMessage(FleetState& /*state*/, Registry& /*registry*/,
                                 VmId /*sender*/, const Endpoint& /*from*/,
                                 const OpeningReply& reply, TimePoint /*now*/,
                                 FleetOutbox& /*out*/) {
  return {.opening_reply = reply};
}

// Leaves the watch to others until this VM has discovered its peers.
void StartDiscovery(FleetState& state, TimePoint now) {
  state.discovery_ends_at =
      now + (IsSeed(state) ? kSeedDiscoveryTime : kDiscoveryTime);
  state.watch_lease_expires_at =
      std::max(state.watch_lease_expires_at, state.discovery_ends_at);
}

}  // namespace

bool IsSeed(const FleetState& state) {
  return std::find(state.seeds.begin(), state.seeds.end(),
                   state.self.control) != state.seeds.end();
}

std::optional<Endpoint> NextSeed(FleetState& state) {
  std::vector<Endpoint> seeds = state.seeds;
  std::erase(seeds, state.self.control);
  if (seeds.empty()) return {};
  return seeds[(state.self.id + state.seed_attempts++) % seeds.size()];
}

void SendGossip(FleetState& state, const Registry& registry, const Endpoint& to,
                bool reply_wanted, TimePoint now, FleetOutbox& out) {
  out.push_back({{to}, MakeGossip(state, registry, reply_wanted, now)});
}

FleetState StartFleet(const VmAddress& self, const std::vector<Endpoint>& seeds,
                      uint64_t incarnation, TimePoint now) {
  FleetState state{.self = self,
                   .incarnation = incarnation,
                   .seeds = seeds,
                   .random = std::minstd_rand(self.id),
                   .next_gossip_at = now,
                   .next_facts_request_at = now + kFactsRequestInterval};
  AdvanceHeartbeat(state, now);
  StartDiscovery(state, now);
  StartFirstFacts(state, now);
  return state;
}

void TickFleet(FleetState& state, const Registry& registry, TimePoint now,
               FleetOutbox& out) {
  RequestFirstFacts(state, registry, now, out);
  SendDueGossip(state, registry, now, out);
  SendWaitingSnapshots(state, registry, now, out);
  SendDueLoadNotice(state, now, out);
  SendDueSnapshotRequest(state, registry, now, out);
  ExpireOpenings(state.openings, now);
  if (state.watching && now >= state.next_lease_at) {
    SendLease(state, registry, now, out);
  }
}

FleetMessageResult HandleFleetMessage(FleetState& state, Registry& registry,
                                      VmId sender, const FleetMessage& message,
                                      TimePoint now, FleetOutbox& out) {
  if (sender == state.self.id) return {};
  const VmAddress* address = SenderAddress(message);
  if (address != nullptr && address->id == sender) {
    UpdateAddress(state.members, *address);
  }
  const auto found = state.members.find(sender);
  if (found == state.members.end()) return {};
  RenewLease(found->second, now);
  const Endpoint from = found->second.address.control;
  return std::visit(
      [&](const auto& body) {
        return HandleMessage(state, registry, sender, from, body, now, out);
      },
      message);
}

bool ShouldCatchUp(const FleetState& state, const Registry& registry,
                   TimePoint now) {
  if (registry.as_of == 0) return false;
  if (NeedsRepair(state, registry)) return true;
  if (state.lagging_since == TimePoint::max()) return false;
  const bool leaves_it_to_watcher =
      state.lags_by_era && FactsAreFresh(state, now);
  return !leaves_it_to_watcher || now - state.lagging_since >= kEraCatchUpDelay;
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

void SendAnswers(const FleetState& state, const std::vector<Mark>& marks,
                 TimePoint answered_at, FleetOutbox& out) {
  Relay(state, state.self.id,
        AnswerNotice{
            .root = state.self.id, .marks = marks, .answered_at = answered_at},
        out);
}

void EnterPhase(FleetState& state, const Registry& registry, MemberPhase phase,
                TimePoint now, FleetOutbox& out) {
  state.phase = phase;
  AdvanceHeartbeat(state, now);
  std::vector<Endpoint> targets;
  for (const Member* member : OtherMembers(state)) {
    const bool local = member->address.domain == state.self.domain;
    if (local && now < member->lease_expires_at) {
      targets.push_back(member->address.control);
    }
  }
  if (targets.size() > kMaxFleetGossipPeers)
    targets.resize(kMaxFleetGossipPeers);
  if (phase == MemberPhase::kLeaving) {
    const auto watcher = state.members.find(state.watch_lease_holder);
    const bool is_remote = watcher != state.members.end() &&
                           watcher->second.address.domain != state.self.domain;
    if (is_remote) targets.push_back(watcher->second.address.control);
  }
  for (const Endpoint& target : targets) {
    SendGossip(state, registry, target, false, now, out);
  }
  if (phase != MemberPhase::kServing) return;
  StartDiscovery(state, now);
  const auto seed = NextSeed(state);
  if (seed.has_value()) SendGossip(state, registry, *seed, true, now, out);
}

std::vector<VmId> DomainVms(const FleetState& state) {
  std::vector<VmId> vms;
  for (const auto& [id, member] : state.members) {
    if (member.address.domain == state.self.domain) vms.push_back(id);
  }
  return vms;
}

size_t CountLivePeers(const FleetState& state, TimePoint now) {
  return std::count_if(state.members.begin(), state.members.end(),
                       [&](const auto& item) {
                         return item.first != state.self.id &&
                                now < item.second.lease_expires_at &&
                                item.second.address.domain == state.self.domain;
                       });
}

FactsVersion FactsVersionOf(const Registry& registry) {
  return {.as_of = registry.as_of,
          .last_change = registry.last_change,
          .horizon = registry.horizon,
          .digest = registry.digest,
          .past_spans = registry.past_spans};
}

}  // namespace knapweedlift
