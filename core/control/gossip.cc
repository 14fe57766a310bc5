#include <algorithm>

#include "core/control/internal.h"

namespace knapweedlift::control {
namespace {

std::vector<Heartbeat> PickHeartbeats(ControlState& state, TimePoint now) {
  std::vector<Heartbeat> others;
  for (const auto& [id, member] : state.members) {
    const bool alive = now < member.lease_expires_at;
    if (id != state.self.id && alive) others.push_back(member.heartbeat);
  }
  std::shuffle(others.begin(), others.end(), state.random);
  if (others.size() > kGossipHeartbeats - 1) {
    others.resize(kGossipHeartbeats - 1);
  }
  others.insert(others.begin(), state.members[state.self.id].heartbeat);
  return others;
}

std::vector<TableVersion> PickTables(const ControlState& state) {
  std::vector<std::pair<uint64_t, TableVersion>> changed;
  for (const auto& [number, control] : state.services) {
    if (control.table == nullptr) continue;
    changed.push_back(
        {control.change_number,
         {.service = number, .generation = control.table->generation}});
  }
  std::sort(changed.rbegin(), changed.rend());
  if (changed.size() > kGossipTables) changed.resize(kGossipTables);
  std::vector<TableVersion> versions;
  versions.reserve(changed.size());
  for (const auto& [change_number, version] : changed) {
    versions.push_back(version);
  }
  return versions;
}

Gossip MakeGossip(ControlState& state, TimePoint now) {
  return {.sender = state.self,
          .reply_wanted = true,
          .sheet_revision = state.sheet == nullptr ? 0 : state.sheet->revision,
          .heartbeats = PickHeartbeats(state, now),
          .tables = PickTables(state)};
}

// Includes silent VMs, so that the end of a network partition is detected.
std::vector<VmId> Peers(const ControlState& state) {
  std::vector<VmId> peers;
  for (const auto& [id, member] : state.members) {
    if (id != state.self.id && member.address.control.port != 0) {
      peers.push_back(id);
    }
  }
  return peers;
}

void AdvanceOwnHeartbeat(ControlState& state, TimePoint now) {
  const Heartbeat own{.vm = state.self.id,
                      .incarnation = state.incarnation,
                      .count = ++state.heartbeat,
                      .phase = state.phase};
  MergeHeartbeat(state.members, own, now);
  state.heartbeat_times[own.count] = now;
  if (state.heartbeat_times.size() > kSentHeartbeatHistory) {
    state.heartbeat_times.erase(state.heartbeat_times.begin());
  }
}

// Returns true if the coordinator's next step leads from `own` to `other`.
// Since the coordinator waits for every VM between two steps, a VM that is
// further behind was no longer waited for or was on the wrong side of a network
// partition.
bool IsNextStep(const GenerationId& own, const GenerationId& other) {
  return other.sequence == own.sequence + 1;
}

// Returns true if the whole table must be requested because the step to
// `generation` is overdue. Starts the timeout when the generation is first
// seen.
bool ShouldRequestTable(ServiceControl& control, const GenerationId& generation,
                        TimePoint now) {
  if (control.awaited_generation == generation) {
    return now >= control.step_deadline;
  }
  control.awaited_generation = generation;
  control.step_deadline = now + kStepTimeout;
  return false;
}

// Requests every table that the sender holds in a newer generation, unless the
// step to it may still arrive. Returns true if this VM needs no request, being
// at most one step behind: adjacent generations are compatible.
bool RequestNewerTables(ControlState& state, const Gossip& gossip,
                        TimePoint now, Outbox& out) {
  bool up_to_date = true;
  for (const TableVersion& version : gossip.tables) {
    const auto found = state.services.find(version.service);
    if (found == state.services.end()) continue;
    ServiceControl& control = found->second;
    const BucketTablePtr& table = control.table;
    if (table != nullptr && table->generation >= version.generation) continue;
    const bool next =
        table != nullptr && IsNextStep(table->generation, version.generation);
    if (next && !ShouldRequestTable(control, version.generation, now)) continue;
    up_to_date = false;
    if (!next && table != nullptr) state.fresh_until = now;
    RequestTable(state, gossip.sender.id, version.service, now, out);
  }
  return up_to_date;
}

// Requests the tables that this VM does not have at all from a serving peer.
// Returns true if none is missing.
bool RequestMissingTables(ControlState& state, VmId peer, TimePoint now,
                          Outbox& out) {
  bool complete = true;
  for (const auto& [number, control] : state.services) {
    if (control.table != nullptr) continue;
    complete = false;
    RequestTable(state, peer, number, now, out);
  }
  return complete;
}

// Extends this VM's freshness: the reply proves that its facts were valid when
// it sent the acknowledged heartbeat.
void RenewFreshness(ControlState& state, const Gossip& gossip, TimePoint now) {
  const auto sent = state.heartbeat_times.find(gossip.echo);
  if (sent == state.heartbeat_times.end()) return;
  const bool was_stale = now >= state.fresh_until;
  if (was_stale && now < sent->second + kFreshTimeout) {
    state.home_from = now + kHomeDelay;
  }
  state.fresh_until = std::max(state.fresh_until, sent->second + kFreshTimeout);
  if (state.isolated && gossip.sender.domain != state.self.domain) {
    state.isolated = false;
    state.view_changed = true;
  }
}

void StartServing(ControlState& state, TimePoint now, Outbox& out) {
  state.phase = MemberPhase::kServing;
  state.view_changed = true;
  GossipToAll(state, now, out);
}

}  // namespace

void SendDueGossip(ControlState& state, TimePoint now, Outbox& out) {
  if (now < state.next_gossip_at) return;
  state.next_gossip_at = now + kGossipPeriod;
  AdvanceOwnHeartbeat(state, now);
  std::vector<VmId> peers = Peers(state);
  std::shuffle(peers.begin(), peers.end(), state.random);
  if (peers.size() > kGossipFanout) peers.resize(kGossipFanout);
  for (const VmId peer : peers) out.push_back({peer, MakeGossip(state, now)});
}

void GossipToAll(ControlState& state, TimePoint now, Outbox& out) {
  AdvanceOwnHeartbeat(state, now);
  for (const VmId peer : Peers(state)) {
    out.push_back({peer, MakeGossip(state, now)});
  }
}

void HandleGossip(ControlState& state, const Gossip& gossip, TimePoint now,
                  Outbox& out) {
  if (gossip.heartbeats.empty() || gossip.sender.id == state.self.id) return;
  UpdateAddress(state.members, gossip.sender);
  for (const Heartbeat& heartbeat : gossip.heartbeats) {
    if (heartbeat.vm != state.self.id) {
      MergeHeartbeat(state.members, heartbeat, now);
    }
  }
  state.no_peer_deadline = now + kNoPeerTimeout;
  if (gossip.reply_wanted) {
    Gossip reply = MakeGossip(state, now);
    reply.reply_wanted = false;
    reply.echo = gossip.heartbeats.front().count;
    out.push_back({gossip.sender.id, std::move(reply)});
  }
  const uint64_t revision = state.sheet == nullptr ? 0 : state.sheet->revision;
  if (gossip.sheet_revision > revision && now >= state.next_sheet_request_at) {
    state.next_sheet_request_at = now + kRequestInterval;
    out.push_back({gossip.sender.id, SheetRequest{}});
  }
  const bool sender_serves =
      gossip.heartbeats.front().phase != MemberPhase::kJoining;
  const bool up_to_date = RequestNewerTables(state, gossip, now, out) &&
                          gossip.sheet_revision <= revision;
  if (!sender_serves || !up_to_date || revision == 0) return;
  if (!RequestMissingTables(state, gossip.sender.id, now, out)) return;
  RenewFreshness(state, gossip, now);
  if (state.phase == MemberPhase::kJoining) StartServing(state, now, out);
}

}  // namespace knapweedlift::control
