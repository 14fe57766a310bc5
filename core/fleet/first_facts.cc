#include "core/fleet/first_facts.h"

#include <algorithm>
#include <utility>

namespace knapweedlift {
namespace {

Duration RandomPart(FleetState& state, Duration spread) {
  return Duration(static_cast<int64_t>(state.random()) % spread.count());
}

bool FactsAreConfirmed(const FleetState& state, TimePoint now) {
  return state.watching || now - state.confirmed_at <= kMaxFirstFactsAge;
}

void SendSnapshotRequest(FleetState& state, const Endpoint& to, bool may_wait,
                         TimePoint now, FleetOutbox& out) {
  FirstFactsState& first = state.first_facts;
  first.next_request_at = now + kFirstFactsRequestTimeout *
                                    (1 << std::max<size_t>(first.requests, 1));
  out.push_back({{to},
                 FactsRequest{.requester = state.self,
                              .confirmed_only = true,
                              .may_wait = may_wait}});
}

// Other live serving VMs of the failure domain.
std::vector<Endpoint> OtherServingVms(const FleetState& state,
                                      const std::string& domain, VmId requester,
                                      TimePoint now) {
  std::vector<Endpoint> serving;
  for (const auto& [id, member] : state.members) {
    const bool suitable = id != state.self.id && id != requester &&
                          member.address.domain == domain &&
                          member.heartbeat.phase == MemberPhase::kServing &&
                          now < member.suspect_after;
    if (suitable) serving.push_back(member.address.control);
  }
  return serving;
}

// The VM that a VM with facts refers the requester to: any one of the
// requester's failure domain, so that seeds send no more snapshots than others.
// Nothing if this VM serves the requester itself.
std::optional<Endpoint> ReferralOfServingVm(FleetState& state,
                                            const VmAddress& requester,
                                            TimePoint now) {
  const std::vector<Endpoint> others =
      OtherServingVms(state, requester.domain, requester.id, now);
  if (others.empty()) return {};
  const bool busy = state.snapshots_in_flight >= kMaxSnapshotStreams;
  const bool same_domain = requester.domain == state.self.domain;
  // A VM that was chosen at random serves the request, unless it is busy.
  const bool may_serve = same_domain && !busy;
  const bool serves = may_serve && (!IsSeed(state) ||
                                    state.random() % (others.size() + 1) == 0);
  if (serves) return {};
  return others[state.random() % others.size()];
}

// The VM that a VM without facts refers the requester to: in turn, the VMs that
// it knows to be waiting for facts or reading the platform, those of the
// requester's failure domain first.
std::optional<Endpoint> ReferralOfStartingVm(FirstFactsState& first,
                                             const VmAddress& requester) {
  std::vector<Endpoint> same_domain;
  std::vector<Endpoint> all;
  const auto add = [&](const VmAddress& vm) {
    if (vm.domain == requester.domain) same_domain.push_back(vm.control);
    all.push_back(vm.control);
  };
  for (const VmAddress& vm : first.platform_readers) add(vm);
  for (const WaitingVm& vm : first.waiting) add(vm.address);
  const std::vector<Endpoint>& candidates =
      same_domain.empty() ? all : same_domain;
  if (candidates.empty()) return {};
  return candidates[first.next_referral++ % candidates.size()];
}

void SendReferral(const FleetState& state, const Endpoint& to,
                  const std::optional<Endpoint>& peer, bool may_wait,
                  FleetOutbox& out) {
  out.push_back(
      {{to},
       FactsReferral{
           .sender = state.self, .peer = peer, .may_wait = may_wait}});
}

// Lets the requester wait for a snapshot, which may follow at once, or refers
// it to another VM if too many wait.
void EnqueueOrRefer(FleetState& state, const VmAddress& requester,
                    bool confirmed_only, FleetOutbox& out) {
  FirstFactsState& first = state.first_facts;
  std::erase_if(first.waiting, [&requester](const WaitingVm& vm) {
    return vm.address == requester;
  });
  if (first.waiting.size() < kMaxWaitingVms) {
    first.waiting.push_back(
        {.address = requester, .confirmed_only = confirmed_only});
    SendReferral(state, requester.control, state.self.control, false, out);
    return;
  }
  SendReferral(state, requester.control, ReferralOfStartingVm(first, requester),
               true, out);
}

// Tells the waiting VMs that want confirmed facts to read the platform.
void SendWaitingVmsToPlatform(FleetState& state, FleetOutbox& out) {
  std::vector<WaitingVm>& waiting = state.first_facts.waiting;
  for (const WaitingVm& vm : waiting) {
    if (vm.confirmed_only) {
      SendReferral(state, vm.address.control, {}, false, out);
    }
  }
  std::erase_if(waiting, [](const WaitingVm& vm) { return vm.confirmed_only; });
}

// A seed without facts lets some VMs read the platform beside itself. Another
// VM without facts sends a requester that may not wait here back to a seed.
void HandleRequestWithoutFacts(FleetState& state, const VmAddress& requester,
                               const FactsRequest& request, FleetOutbox& out) {
  if (!IsSeed(state) && !request.may_wait) {
    SendReferral(state, requester.control, NextSeed(state), false, out);
    return;
  }
  std::vector<VmAddress>& readers = state.first_facts.platform_readers;
  const bool granted =
      std::find(readers.begin(), readers.end(), requester) != readers.end();
  const bool may_grant =
      IsSeed(state) && readers.size() < kMaxGrantedPlatformReads;
  if (!granted && !may_grant) {
    EnqueueOrRefer(state, requester, request.confirmed_only, out);
    return;
  }
  if (!granted) readers.push_back(requester);
  SendReferral(state, requester.control, {}, false, out);
}

}  // namespace

void StartFirstFacts(FleetState& state, TimePoint now) {
  std::vector<Endpoint> others = state.seeds;
  std::erase(others, state.self.control);
  const bool reads_at_once = IsSeed(state) || others.empty();
  state.first_facts.platform_read_at = reads_at_once ? now : TimePoint::max();
  state.first_facts.next_request_at = reads_at_once ? TimePoint::max() : now;
  state.first_facts.first_page_at = now + kFirstPageDelay;
}

void RequestFirstFacts(FleetState& state, const Registry& registry,
                       TimePoint now, FleetOutbox& out) {
  FirstFactsState& first = state.first_facts;
  if (registry.as_of != 0 || now < first.next_request_at) return;
  const auto seed = NextSeed(state);
  const bool exhausted = first.requests == kMaxUnansweredFactsRequests;
  if (exhausted || !seed.has_value()) {
    first.next_request_at = TimePoint::max();
    first.platform_read_at = now + RandomPart(state, kPlatformReadSpread);
    return;
  }
  ++first.requests;
  SendSnapshotRequest(state, *seed, false, now, out);
  // Seeds that the whole fleet asks at once answer the requests first.
  state.next_seed_at = std::max(state.next_seed_at, now + kMinSeedBackoff);
}

size_t PagesToRead(const FleetState& state, bool first_page_read,
                   TimePoint now) {
  const FirstFactsState& first = state.first_facts;
  if (now >= first.platform_read_at) return kAllPages;
  return !first_page_read && now >= first.first_page_at ? 1 : 0;
}

void HandleSnapshotRequest(FleetState& state, const Registry& registry,
                           const VmAddress& requester,
                           const FactsRequest& request, TimePoint now,
                           FleetOutbox& out) {
  const Endpoint& to = requester.control;
  if (registry.as_of == 0) {
    HandleRequestWithoutFacts(state, requester, request, out);
    return;
  }
  if (request.confirmed_only && !FactsAreConfirmed(state, now)) {
    SendReferral(state, to, {}, false, out);
    return;
  }
  const auto peer = ReferralOfServingVm(state, requester, now);
  if (peer.has_value()) {
    SendReferral(state, to, peer, false, out);
    return;
  }
  EnqueueOrRefer(state, requester, request.confirmed_only, out);
  SendWaitingSnapshots(state, registry, now, out);
}

void HandleReferral(FleetState& state, const Registry& registry,
                    const Endpoint& from, const FactsReferral& referral,
                    TimePoint now, FleetOutbox& out) {
  FirstFactsState& first = state.first_facts;
  // A VM with facts, or one that reads the platform already, asks the peer when
  // its next request is due.
  if (registry.as_of != 0 || first.platform_read_at <= now) {
    if (referral.peer.has_value()) state.catch_up_peer = *referral.peer;
    return;
  }
  const bool exhausted = first.referrals++ == kMaxFactsReferrals;
  if (!referral.peer.has_value() || exhausted) {
    first.platform_read_at = now;
    first.next_request_at = TimePoint::max();
    return;
  }
  if (*referral.peer != from) {
    SendSnapshotRequest(state, *referral.peer, referral.may_wait, now, out);
    return;
  }
  first.next_request_at = TimePoint::max();
  first.first_page_at = TimePoint::max();
  first.platform_read_at =
      now + kSnapshotWait + RandomPart(state, kSnapshotWaitSpread);
}

void SendWaitingSnapshots(FleetState& state, const Registry& registry,
                          TimePoint now, FleetOutbox& out) {
  std::vector<WaitingVm>& waiting = state.first_facts.waiting;
  if (registry.as_of == 0 || waiting.empty()) return;
  if (!FactsAreConfirmed(state, now)) SendWaitingVmsToPlatform(state, out);
  if (state.snapshots_in_flight >= kMaxSnapshotStreams) return;
  const size_t count =
      std::min(waiting.size(), kMaxSnapshotStreams - state.snapshots_in_flight);
  if (count == 0) return;
  std::vector<Endpoint> recipients;
  for (size_t i = 0; i < count; ++i) {
    recipients.push_back(waiting[i].address.control);
  }
  waiting.erase(waiting.begin(),
                waiting.begin() + static_cast<ptrdiff_t>(count));
  out.push_back(
      {std::move(recipients), FactsNotice{.delta = DeltaSince(registry, 0),
                                          .confirmed_at = state.confirmed_at}});
  state.snapshots_in_flight += count;
}

}  // namespace knapweedlift
