#include "core/control/control.h"

#include <utility>

#include "core/control/internal.h"
#include "core/policy/homes.h"
#include "core/sheet/sheet_parser.h"

namespace knapweedlift {
namespace {

// Makes the selection of watchers independent of the selection of homes.
constexpr uint64_t kWatcherSalt = 0x7761746368ULL << 24;

// Gives VMs with adjacent numbers distinct random seeds.
constexpr uint64_t kSeedFactor = 1'000'003;

// After a pause of this process, missing heartbeats are no evidence against the
// peers. Marks this VM as not fresh and renews the leases of all members.
void DetectPause(ControlState& state, TimePoint now) {
  const bool paused = now > state.next_tick_deadline;
  state.next_tick_deadline = now + kPauseThreshold;
  if (!paused) return;
  state.fresh_until = now;
  state.no_peer_deadline = now + kNoPeerTimeout;
  for (auto& [id, member] : state.members) {
    member.lease_expires_at = now + kLeaseTimeout;
  }
}

bool HasServingPeer(const ControlState& state, TimePoint now) {
  for (const VmId vm : ServingVms(state.members, now)) {
    if (vm != state.self.id) return true;
  }
  return false;
}

void InstallInitialTables(ControlState& state) {
  for (const Service& service : state.sheet->services) {
    ServiceControl& control = state.services[service.number];
    if (control.table != nullptr) continue;
    control::ReplaceTable(state, control,
                          InitialTable(service, state.sheet->revision));
  }
}

// In a new deployment no VM serves yet. Each VM then starts with the tables
// that are derived from the sheet alone.
void Bootstrap(ControlState& state, TimePoint now, Outbox& out) {
  const bool due = state.phase == MemberPhase::kJoining &&
                   now >= state.bootstrap_until && state.sheet != nullptr;
  if (!due || HasServingPeer(state, now)) return;
  InstallInitialTables(state);
  state.phase = MemberPhase::kServing;
  state.fresh_until = now + kFreshTimeout;
  control::GossipToAll(state, now, out);
}

void ServeWithoutPeers(ControlState& state, TimePoint now) {
  const bool alone =
      state.phase == MemberPhase::kServing && now >= state.no_peer_deadline;
  if (alone) state.fresh_until = now + kFreshTimeout;
}

void DetectIsolation(ControlState& state, TimePoint now) {
  const bool cut_off = state.phase != MemberPhase::kJoining &&
                       IsIsolated(state.members, state.self.domain, now);
  if (!cut_off || state.isolated) return;
  state.isolated = true;
  state.view_changed = true;
}

void UpdateHomes(ControlState& state, FlowTable& flows, TimePoint now,
                 Outbox& out) {
  if (now >= state.former_homes_until && !state.former_homes.empty()) {
    state.former_homes.clear();
    state.view_changed = true;
  }
  std::vector<VmId> homes = ServingVms(state.members, now);
  if (now < state.home_from && homes.size() > 1) {
    std::erase(homes, state.self.id);
  }
  if (homes == state.homes) return;
  if (state.former_homes.empty()) state.former_homes = state.homes;
  state.former_homes_until = now + kFormerHomesRetention;
  control::HandOverFlows(state, state.homes, homes, flows, now, out);
  // The successor is selected among the serving VMs and may have changed.
  state.next_occupancy_at = now;
  state.homes = std::move(homes);
  state.view_changed = true;
}

void DropRemovedServices(ControlState& state) {
  std::erase_if(state.services, [&state](const auto& item) {
    return FindService(*state.sheet, item.first) == nullptr;
  });
}

}  // namespace

ControlState InitialControlState(const VmAddress& self, uint64_t incarnation,
                                 TimePoint now) {
  ControlState state;
  state.self = self;
  state.incarnation = incarnation;
  state.random.seed(uint64_t{self.id} * kSeedFactor + incarnation);
  state.bootstrap_until = now + kBootstrapTimeout;
  state.no_peer_deadline = now + kNoPeerTimeout;
  state.next_tick_deadline = now + kPauseThreshold;
  state.next_gossip_at = now;
  UpdateAddress(state.members, self);
  return state;
}

absl::Status ApplySheet(ControlState& state,
                        const std::vector<std::string>& chunks, TimePoint now) {
  auto sheet = ParseSheet(chunks);
  if (!sheet.ok()) return sheet.status();
  if (state.sheet != nullptr) {
    absl::Status status = CheckSheetChange(*state.sheet, *sheet);
    if (!status.ok()) return status;
  }
  const SheetPtr before = state.sheet;
  state.sheet = std::make_shared<const Sheet>(*std::move(sheet));
  state.sheet_chunks = chunks;
  state.view_changed = true;
  for (const Service& service : state.sheet->services) {
    ServiceControl& control = state.services[service.number];
    control.coordinator.idle_until = TimePoint{};
    const Service* old =
        before == nullptr ? nullptr : FindService(*before, service.number);
    const bool same = old != nullptr && old->servers == service.servers;
    if (!same) {
      control.targets = SheetTargets(service);
      control.coordinator.next_move_at = now;
    }
  }
  DropRemovedServices(state);
  // A serving VM derives the first table of a new service from the sheet. A
  // joining VM must not: the service may be an existing one whose table it has
  // not received yet.
  if (state.phase != MemberPhase::kJoining) InstallInitialTables(state);
  return absl::OkStatus();
}

void ApplyPlatformList(ControlState& state, const std::vector<ListedVm>& list) {
  ApplyPlatformList(state.members, list);
}

void Tick(ControlState& state, FlowTable& flows, TimePoint now, Outbox& out) {
  DetectPause(state, now);
  RemoveExpiredMembers(state.members, now);
  control::SendDueGossip(state, now, out);
  Bootstrap(state, now, out);
  ServeWithoutPeers(state, now);
  DetectIsolation(state, now);
  UpdateHomes(state, flows, now, out);
  control::SendDueOccupancy(state, flows, now, out);
  control::RunDueSteps(state, flows, now, out);
}

void Receive(ControlState& state, VmId from, const Message& message,
             FlowTable& flows, TimePoint now, Outbox& out) {
  if (const auto* gossip = std::get_if<Gossip>(&message)) {
    control::HandleGossip(state, *gossip, now, out);
  } else if (std::holds_alternative<SheetRequest>(message)) {
    if (state.sheet != nullptr) {
      out.push_back({from, SheetReply{state.sheet_chunks}});
    }
  } else if (const auto* sheet = std::get_if<SheetReply>(&message)) {
    // A sheet that is not newer is rejected, which is expected here.
    ApplySheet(state, sheet->chunks, now).IgnoreError();
  } else if (const auto* request = std::get_if<TableRequest>(&message)) {
    control::SendTable(state, from, request->service, out);
  } else if (const auto* table = std::get_if<TableReply>(&message)) {
    control::HandleTableReply(state, *table);
  } else if (const auto* step = std::get_if<StepMessage>(&message)) {
    control::HandleStep(state, from, step->step, flows, now, out);
  } else if (const auto* step_reply = std::get_if<StepReply>(&message)) {
    control::HandleStepReply(state, from, *step_reply, flows, now, out);
  } else if (const auto* notice = std::get_if<FlowAssignmentNotice>(&message)) {
    control::HandleFlowAssignments(state, *notice, flows, now);
  } else if (const auto* occupancy = std::get_if<OccupancyNotice>(&message)) {
    control::HandleOccupancy(state, *occupancy, now);
  }
}

void Leave(ControlState& state, FlowTable& flows, TimePoint now, Outbox& out) {
  if (state.phase == MemberPhase::kLeaving) return;
  state.phase = MemberPhase::kLeaving;
  control::GossipToAll(state, now, out);
  UpdateHomes(state, flows, now, out);
  control::ReportOccupancy(state, flows, Duration(0), now, out);
  control::ForwardInheritedOccupancies(state, now, out);
}

bool WatchesPlatform(const ControlState& state, TimePoint now) {
  if (state.phase != MemberPhase::kServing) return true;
  std::vector<VmId> candidates;
  for (const VmId vm : ServingVms(state.members, now)) {
    const Member& member = state.members.at(vm);
    const bool same_domain = member.address.domain == state.self.domain;
    if (same_domain || vm == state.self.id) candidates.push_back(vm);
  }
  return IsHome(HomesOf(kWatcherSalt, candidates), state.self.id);
}

bool NeedsVmList(const ControlState& state, TimePoint now) {
  for (const auto& [number, control] : state.services) {
    if (control.coordinates_from != TimePoint::max()) return true;
  }
  return WatchesPlatform(state, now);
}

bool IsFresh(const ControlState& state, TimePoint now) {
  return state.phase != MemberPhase::kJoining && now < state.fresh_until;
}

ViewPtr MakeView(const ControlState& state) {
  auto view = std::make_shared<View>();
  view->self = state.self.id;
  view->failure_domain = state.self.domain;
  view->sheet = state.sheet;
  IndexServices(*view, state.tenants);
  for (ServiceView& service : view->services) {
    const auto found = state.services.find(service.service->number);
    if (found != state.services.end()) service.table = found->second.table;
  }
  for (const auto& [id, member] : state.members) {
    view->data_endpoints[id] = member.address.data;
  }
  view->isolated = state.isolated;
  // Taken from the last tick instead of computed here: after a pause this VM's
  // own heartbeat would count as expired and the VM would miss itself.
  view->homes = state.homes;
  view->former_homes = state.former_homes;
  for (const VmId vm : view->homes) {
    if (vm != state.self.id) view->fallback_vms.push_back(vm);
  }
  return view;
}

}  // namespace knapweedlift
