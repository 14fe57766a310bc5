#include "core/policy/decision.h"

#include <chrono>

#include "core/policy/homes.h"

namespace knapweedlift {
namespace {

// Maximum number of times that a packet is relayed before a VM must decide.
constexpr uint8_t kMaxHops = 2;
// Hop count of a packet relayed to a former home, which decides although it may
// no longer be a home.
constexpr uint8_t kFinalHop = kMaxHops + 1;

// How long a SYN stays assigned to a server that has begun to leave.
constexpr Duration kSynReassignDelay{2'000};

// Inputs shared by the decision rules below.
struct Context {
  const View& view;
  FlowMap& flows;
  const PacketMetadata& meta;
  uint64_t fingerprint;
  const std::optional<RelayOption>& hand_on;
  TimePoint now;
  const ServiceView& service;
  // Server to which the flow's SYN was sent, as far as this VM or one before it
  // on the path knows.
  ServerId hint;
};

uint8_t HopsOf(const Context& context) {
  return context.hand_on.has_value() ? context.hand_on->hops : 0;
}

Decision Drop(ResultCode reason, const ServiceView* service) {
  return {.verdict = Verdict::kDrop, .reason = reason, .service = service};
}

Decision Forward(const Context& context, ServerId server, ResultCode reason) {
  if (FindServer(*context.service.service, server) == nullptr) {
    return Drop(ResultCode::kDropServerGone, &context.service);
  }
  return {.verdict = Verdict::kForward,
          .reason = reason,
          .service = &context.service,
          .server = server};
}

Decision Relay(const Context& context, VmId peer, ResultCode reason) {
  const RelayOption hand_on{.ingress_vm = context.hand_on.has_value()
                                              ? context.hand_on->ingress_vm
                                              : context.view.self,
                            .hops = static_cast<uint8_t>(HopsOf(context) + 1),
                            .server_hint = context.hint};
  return {.verdict = Verdict::kRelay,
          .reason = reason,
          .service = &context.service,
          .peer = peer,
          .hand_on = hand_on};
}

// Relays a packet to a VM that must decide instead of relaying it again.
Decision RelayForFinalDecision(const Context& context, VmId peer) {
  Decision decision = Relay(context, peer, ResultCode::kHandedToHome);
  decision.hand_on.hops = kFinalHop;
  return decision;
}

FlowState NextState(FlowState state, const PacketMetadata& meta) {
  if (meta.rst) return FlowState::kReset;
  if (meta.fin) return FlowState::kClosing;
  if (meta.bare_syn) return state;
  return state == FlowState::kOpening ? FlowState::kEstablished : state;
}

Duration Lifetime(const Service& service, FlowState state) {
  switch (state) {
    case FlowState::kOpening:
      return kOpeningLifetime;
    case FlowState::kClosing:
      return kClosingLifetime;
    case FlowState::kReset:
      return kResetLifetime;
    case FlowState::kEstablished:
      break;
  }
  return std::chrono::seconds(service.idle_timeout_s);
}

uint32_t Expiry(const Service& service, FlowState state, TimePoint now) {
  return FlowTicks(now + Lifetime(service, state));
}

bool RecordServer(const Context& context, ServerId server) {
  const Service& service = *context.service.service;
  const FlowState initial =
      context.meta.bare_syn ? FlowState::kOpening : FlowState::kEstablished;
  const FlowState state = NextState(initial, context.meta);
  return UpsertFlow(context.flows, context.fingerprint,
                    {.expires = Expiry(service, state, context.now),
                     .opened = FlowTicks(context.now),
                     .service = service.number,
                     .state = state,
                     .server = server});
}

// Returns true if a SYN to this server has probably not arrived, because this
// VM is isolated from the server's failure domain. VMs on the other side of the
// partition may place the flow elsewhere, so such SYNs are forwarded but not
// recorded.
bool IsAcrossPartition(const Context& context, ServerId number) {
  if (!context.view.isolated) return false;
  const BackendServer* server = FindServer(*context.service.service, number);
  return server != nullptr && server->failure_domain != context.view.domain;
}

// Returns true if another VM may have placed the flow elsewhere: only SYNs were
// seen here, and the homes decide.
bool IsTentative(const Context& context, const FlowEntry& entry,
                 const Bucket& bucket) {
  // Checked first, so that packets of established flows do not access the
  // table's memory.
  if (entry.state != FlowState::kOpening) return false;
  if (IsStable(bucket) && !context.view.isolated) return false;
  if (HopsOf(context) >= kFinalHop) return false;
  const Homes homes = HomesOf(context.fingerprint, context.view.homes);
  return homes.first != context.view.self;
}

// Returns true if a SYN that a leaving server has not answered may be assigned
// to another server: no other packet of the flow was seen.
bool MayReassign(const Context& context, const FlowEntry& entry,
                 const Bucket& bucket) {
  const bool unanswered = context.meta.bare_syn &&
                          entry.state == FlowState::kOpening &&
                          !IsStable(bucket);
  if (!unanswered) return false;
  const BackendServer* server =
      FindServer(*context.service.service, entry.server);
  const bool leaving = server == nullptr || !AcceptsNewFlows(*server);
  return leaving &&
         FlowTicks(context.now) >= entry.opened + kSynReassignDelay / kFlowTick;
}

// Returns true if a bare SYN opens a new flow with the 5-tuple of an ended one.
bool ReopensFlow(const FlowEntry& entry, const PacketMetadata& meta) {
  const bool ended =
      entry.state == FlowState::kClosing || entry.state == FlowState::kReset;
  return meta.bare_syn && ended;
}

// Returns true if this VM's own entry decides. `bucket` is null while this VM's
// facts are not confirmed.
bool IsTrusted(const Context& context, const FlowEntry& entry,
               const Bucket* bucket) {
  if (ReopensFlow(entry, context.meta)) return false;
  if (bucket == nullptr) return entry.state != FlowState::kOpening;
  const bool uncertain = entry.state == FlowState::kOpening &&
                         IsAcrossPartition(context, entry.server);
  if (uncertain) return false;
  return !IsTentative(context, entry, *bucket) &&
         !MayReassign(context, entry, *bucket);
}

Decision ForwardKnown(const Context& context, const Bucket* bucket,
                      FlowEntry& entry) {
  const Service& service = *context.service.service;
  const FlowState before = entry.state;
  const FlowState state = NextState(before, context.meta);
  SetFlowState(context.flows, entry, state);
  entry.expires = Expiry(service, state, context.now);
  Decision decision =
      Forward(context, entry.server, ResultCode::kForwardedKnownFlow);
  decision.notify_state = state == FlowState::kOpening
                              ? FlowState::kOpening
                              : FlowState::kEstablished;
  const VmId self = context.view.self;
  if (context.hand_on.has_value() && context.hand_on->ingress_vm != self) {
    decision.notify_first = context.hand_on->ingress_vm;
  }
  // Otherwise the entry at the other home would expire like that of a flow that
  // was never established.
  const bool established =
      before == FlowState::kOpening && state != FlowState::kOpening;
  if (established && bucket != nullptr && !IsStable(*bucket)) {
    const Homes homes = HomesOf(context.fingerprint, context.view.homes);
    if (homes.first == self && homes.second != decision.notify_first) {
      decision.notify_second = homes.second;
    }
  }
  return decision;
}

// An ICMP error does not change the state of the quoted flow and opens no flow.
Decision DecideIcmpError(const Context& context, const FlowEntry* entry) {
  if (entry != nullptr) {
    return Forward(context, entry->server, ResultCode::kForwardedQuotedFlow);
  }
  if (context.service.table == nullptr) {
    return Drop(ResultCode::kDropViewStale, &context.service);
  }
  const auto& buckets = context.service.table->buckets;
  const Bucket& bucket =
      buckets[BucketIndex(context.fingerprint, buckets.size())];
  if (!IsStable(bucket)) {
    return Drop(ResultCode::kDropHomeUnclear, &context.service);
  }
  return Forward(context, bucket.current, ResultCode::kForwardedQuotedFlow);
}

// This VM's facts are too old to place a flow. Another VM may decide.
Decision RelayUnconfirmed(const Context& context) {
  const auto& fallback_vms = context.view.fallback_vms;
  if (fallback_vms.empty() || HopsOf(context) >= kMaxHops) {
    return Drop(ResultCode::kDropViewStale, &context.service);
  }
  const Homes homes = HomesOf(context.fingerprint, fallback_vms);
  return Relay(context, homes.first, ResultCode::kHandedUnconfirmed);
}

Decision PlaceByStableBucket(const Context& context, const Bucket& bucket) {
  if (bucket.current == kNoServer) {
    return Drop(ResultCode::kDropNoServer, &context.service);
  }
  RecordServer(context, bucket.current);
  Decision decision =
      Forward(context, bucket.current, ResultCode::kForwardedByTable);
  // A VM without confirmed facts relayed the packet; it is notified of the
  // server.
  if (context.hand_on.has_value()) {
    decision.notify_first = context.hand_on->ingress_vm;
  }
  if (context.meta.bare_syn) decision.notify_state = FlowState::kOpening;
  return decision;
}

// Returns the server of a flow that no home knows for certain.
ServerId ChooseServer(const Context& context, const Bucket& bucket) {
  const bool opens_flow = context.meta.bare_syn;
  const BackendServer* hinted =
      context.hint == kNoServer
          ? nullptr
          : FindServer(*context.service.service, context.hint);
  const bool use_hint =
      hinted != nullptr && (!opens_flow || AcceptsNewFlows(*hinted));
  if (use_hint) return context.hint;
  return opens_flow ? bucket.current : ServerOfUnknownFlow(bucket);
}

// Decides as a home, after the other home was consulted where that is required.
Decision DecideAsHome(const Context& context, const Bucket& bucket,
                      const Homes& homes) {
  const bool opens_flow = context.meta.bare_syn;
  // An unknown flow may have been opened on the other side of a network
  // partition that has just healed.
  const bool uncertain =
      context.view.isolated && !opens_flow && context.hint == kNoServer;
  if (uncertain &&
      !PassesQuarantine(context.flows, context.fingerprint, context.now)) {
    return Drop(ResultCode::kDropIsolated, &context.service);
  }
  const ServerId server = ChooseServer(context, bucket);
  if (server == kNoServer) {
    return Drop(ResultCode::kDropNoServer, &context.service);
  }
  if (opens_flow && IsAcrossPartition(context, server)) {
    return Forward(context, server, ResultCode::kForwardedByHome);
  }
  // Later packets of a flow that was placed but not recorded would be treated
  // as those of an old flow.
  if (!RecordServer(context, server) && opens_flow) {
    return Drop(ResultCode::kDropFlowTableFull, &context.service);
  }
  Decision decision = Forward(
      context, server,
      opens_flow ? ResultCode::kForwardedByHome : ResultCode::kForwardedOldest);
  const VmId self = context.view.self;
  if (context.hand_on.has_value() && context.hand_on->ingress_vm != self) {
    decision.notify_first = context.hand_on->ingress_vm;
  }
  // Old flows need no entry at the other home: unknown flows are treated as
  // old.
  const VmId other = homes.first == self ? homes.second : homes.first;
  if (opens_flow && other != decision.notify_first) {
    decision.notify_second = other;
  }
  if (opens_flow) decision.notify_state = FlowState::kOpening;
  return decision;
}

// Returns a former home that may know a flow which the current homes do not;
// kNoVm if there is none.
VmId FormerHome(const Context& context, const Homes& homes) {
  if (context.view.former_homes.empty()) return kNoVm;
  const Homes former = HomesOf(context.fingerprint, context.view.former_homes);
  for (const VmId vm : {former.first, former.second}) {
    const bool consulted = IsHome(homes, vm) || vm == context.view.self;
    if (vm != kNoVm && !consulted) return vm;
  }
  return kNoVm;
}

Decision DecideAmbiguous(const Context& context, const Bucket& bucket) {
  const Homes homes = HomesOf(context.fingerprint, context.view.homes);
  const VmId self = context.view.self;
  const uint8_t hops = HopsOf(context);
  if (hops >= kFinalHop && !context.meta.bare_syn) {
    return DecideAsHome(context, bucket, homes);
  }
  if (!IsHome(homes, self)) {
    if (hops >= kMaxHops) {
      return Drop(ResultCode::kDropHomeUnclear, &context.service);
    }
    return Relay(context, homes.first, ResultCode::kHandedToHome);
  }
  // Only the first home places flows, so that two VMs cannot place the same
  // flow differently.
  const VmId other = homes.first == self ? homes.second : homes.first;
  const bool decides_alone = context.meta.bare_syn && homes.first == self;
  const bool other_consulted =
      hops >= kMaxHops ||
      (context.hand_on.has_value() && context.hand_on->ingress_vm == other);
  if (decides_alone || other == kNoVm || other_consulted) {
    const VmId former = FormerHome(context, homes);
    if (former != kNoVm && !context.meta.bare_syn) {
      return RelayForFinalDecision(context, former);
    }
    return DecideAsHome(context, bucket, homes);
  }
  return Relay(context, other, ResultCode::kHandedToHome);
}

}  // namespace

const ServiceView* ServiceOf(const View& view, const FlowKey& key) {
  const ServiceAddress address{
      .endpoint = {.address = key.destination, .port = key.destination_port},
      .protocol = key.protocol};
  const auto found = view.by_address.find(address);
  if (found == view.by_address.end()) return nullptr;
  return &view.services[found->second];
}

Decision DecidePacket(const View& view, FlowMap& flows,
                      const PacketMetadata& meta, uint64_t fingerprint,
                      const std::optional<RelayOption>& hand_on,
                      const DecisionTime& time) {
  const TimePoint now = time.now;
  const ServiceView* service = ServiceOf(view, meta.key);
  if (service == nullptr) return Drop(ResultCode::kDropUnknownService, nullptr);

  FlowEntry* entry = FindFlow(flows, fingerprint, now);
  // The address may have belonged to another service when the flow was opened.
  if (entry != nullptr && entry->service != service->service->number) {
    entry = nullptr;
  }
  ServerId hint = hand_on.has_value() ? hand_on->server_hint : kNoServer;
  if (entry != nullptr && entry->state == FlowState::kOpening) {
    hint = entry->server;
  }
  const Context context{view,    flows, meta,     fingerprint,
                        hand_on, now,   *service, hint};
  if (meta.icmp_error) return DecideIcmpError(context, entry);
  const bool confirmed = service->table != nullptr && time.fresh;
  const Bucket* bucket = nullptr;
  if (confirmed) {
    const auto& buckets = service->table->buckets;
    bucket = &buckets[BucketIndex(fingerprint, buckets.size())];
  }
  if (entry != nullptr && IsTrusted(context, *entry, bucket)) {
    return ForwardKnown(context, bucket, *entry);
  }
  if (bucket == nullptr) return RelayUnconfirmed(context);

  // While this VM is isolated, the homes decide for stable buckets as well:
  // they distinguish flows opened since then from unknown ones.
  if (IsStable(*bucket) && !view.isolated) {
    return PlaceByStableBucket(context, *bucket);
  }
  return DecideAmbiguous(context, *bucket);
}

void RecordFlowServer(FlowMap& flows, const Service& service,
                      uint64_t fingerprint, ServerId server, FlowState state,
                      TimePoint now) {
  const FlowEntry* known = FindFlow(flows, fingerprint, now);
  const bool keep = known != nullptr && known->service == service.number &&
                    known->state == FlowState::kEstablished;
  if (keep) return;
  UpsertFlow(flows, fingerprint,
             {.expires = Expiry(service, state, now),
              .opened = FlowTicks(now),
              .service = service.number,
              .state = state,
              .server = server});
}

}  // namespace knapweedlift
