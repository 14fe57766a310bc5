#ifndef KNAPWEEDLIFT_TESTS_SUPPORT_FAKE_FLEET_H_
#define KNAPWEEDLIFT_TESTS_SUPPORT_FAKE_FLEET_H_

#include <algorithm>
#include <deque>
#include <set>
#include <string>
#include <vector>

#include "core/fleet/fleet.h"
#include "core/fleet/openings.h"
#include "core/fleet/watcher_election.h"
#include "tests/support/facts.h"

namespace knapweedlift::testing {

// Time-out of a platform call in the daemon's watch.
inline constexpr Duration kCallTimeout{1'400};
inline constexpr Duration kTickPeriod{50};
inline constexpr Duration kNetworkDelay{2};
// A fleet on a simulated network with a platform store that holds one server.
class FakeFleet {
 public:
  explicit FakeFleet(size_t vms, size_t domains = 3) {
    store_ = RegistryOf({Server(1)});
    for (size_t i = 0; i < vms; ++i) AddVm(i, domains);
  }

  struct Vm {
    FleetState fleet;
    Registry registry;
    bool running = true;
    bool store_answers = true;
    // True if no messages pass between this VM and other failure domains.
    bool partitioned = false;
    bool calling = false;
    TimePoint call_ends_at;
    std::vector<OpeningReply> opening_replies;
  };

  void AddVm(size_t index, size_t domains) {
    const Endpoint control = Address(static_cast<uint8_t>(index + 1), 7'000);
    Vm vm;
    vm.fleet = StartFleet(
        {.id = static_cast<VmId>(index + 1),
         .control = control,
         .domain = std::string(1, static_cast<char>('a' + index % domains))},
        {Address(1, 7'000), Address(99, 7'000)}, 1'000 + index, now_);
    vm.registry = store_;
    vms_.push_back(vm);
    FleetOutbox out;
    EnterPhase(vms_.back().fleet, vms_.back().registry, MemberPhase::kServing,
               now_, out);
    Send(vms_.size() - 1, out);
  }

  void Run(Duration time) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += Duration(1);
      Deliver();
      if (now_.time_since_epoch() % kTickPeriod == Duration(0)) TickAll();
    }
  }

  // Changes the server in the store.
  void ChangeServer() {
    FactDelta delta{.after = store_.as_of, .as_of = store_.as_of + 1};
    ServerFact server = Server(1);
    server.slots = static_cast<uint32_t>(delta.as_of.number);
    delta.servers.push_back(
        {.name = server.name, .revision = delta.as_of, .server = server});
    MergeDelta(store_, delta, now_);
  }

  // Lets the store return from an older copy, in the next era.
  void ReturnStoreFrom(const Registry& copy) {
    const uint64_t era = store_.as_of.era + 1;
    FactDelta content = DeltaSince(copy, 0);
    content.as_of.era = era;
    content.limits->revision.era = era;
    for (ServerChange& change : content.servers) change.revision.era = era;
    for (RouteChange& change : content.routes) change.revision.era = era;
    store_ = {};
    MergeDelta(store_, content, now_);
  }

  const Registry& store() const { return store_; }

  bool AllUpToDate() const {
    for (const Vm& vm : vms_) {
      if (vm.running && vm.registry.as_of < store_.as_of) return false;
    }
    return true;
  }

  // Changes the server and returns the time until every VM has the change, at
  // most one minute.
  Duration PropagationTime() {
    const TimePoint start = now_;
    ChangeServer();
    while (!AllUpToDate() && now_ - start < Duration(60'000)) Run(Duration(10));
    return now_ - start;
  }

  std::vector<size_t> Watchers() const {
    std::vector<size_t> watchers;
    for (size_t i = 0; i < vms_.size(); ++i) {
      if (vms_[i].running && vms_[i].fleet.watching) watchers.push_back(i);
    }
    return watchers;
  }

  // Announces that the VM leaves. It runs on until its caller stops it.
  void Leave(size_t index) {
    Vm& vm = vms_[index];
    FleetOutbox out;
    EnterPhase(vm.fleet, vm.registry, MemberPhase::kLeaving, now_, out);
    Send(index, out);
  }

  // Reports an opening that the VM has placed.
  void ReportOpening(size_t index, const Opening& opening) {
    FleetOutbox out;
    SendOpenings(vms_[index].fleet, {opening}, now_, out);
    Send(index, out);
  }

  // Lets the VM ask for an opening.
  void AskForOpening(size_t index, const OpeningId& id) {
    FleetOutbox out;
    SendOpeningQuery(vms_[index].fleet, id, now_, out);
    Send(index, out);
  }

  Vm& vm(size_t index) { return vms_[index]; }
  // Reads the store for the VM, as the daemon does at its start.
  void ReadStore(size_t index) {
    Vm& vm = vms_[index];
    vm.registry = store_;
    RecordConfirmation(vm.fleet, now_);
  }

  // Lets a VM read a configuration from the store, in which the route leads to
  // `service`. A watcher sends it to the fleet.
  void ReadConfig(size_t index, const std::string& service, Revision revision) {
    Vm& vm = vms_[index];
    const Revision before = vm.registry.as_of;
    FactDelta delta{.after = before, .as_of = revision};
    const ConfigFact config{.limits = {.version = revision.number},
                            .routes = {Route(200, service)}};
    AddConfigChanges(vm.registry, config, revision, delta);
    MergeDelta(vm.registry, delta, now_);
    FleetOutbox out;
    if (vm.fleet.watching) {
      SendFacts(vm.fleet, vm.registry, before, now_, out);
    }
    Send(index, out);
  }

  TimePoint now() const { return now_; }
  // Number of complete reads of the store by watchers.
  size_t snapshots_read() const { return snapshots_read_; }
  // VMs that would have read the store because they lagged behind.
  const std::set<VmId>& catch_ups() const { return catch_ups_; }
  // Number of messages with facts.
  size_t facts_sent() const { return facts_sent_; }
  size_t platform_calls() const { return platform_calls_; }
  size_t messages_sent() const { return messages_sent_; }
  size_t max_gossip_peers() const { return max_gossip_peers_; }

 private:
  struct InFlight {
    TimePoint at;
    size_t from;
    FleetEnvelope envelope;
  };

  void Send(size_t from, const FleetOutbox& out) {
    for (const FleetEnvelope& envelope : out) {
      in_flight_.push_back({now_ + kNetworkDelay, from, envelope});
      messages_sent_ += envelope.recipients.size();
      facts_sent_ += std::holds_alternative<FactsNotice>(envelope.message);
      const auto* gossip = std::get_if<FleetGossip>(&envelope.message);
      if (gossip == nullptr) continue;
      max_gossip_peers_ = std::max(max_gossip_peers_, gossip->peers.size());
    }
  }

  void Deliver() {
    while (!in_flight_.empty() && in_flight_.front().at <= now_) {
      const InFlight in_flight = in_flight_.front();
      in_flight_.pop_front();
      for (size_t i = 0; i < vms_.size(); ++i) {
        const auto& to = in_flight.envelope.recipients;
        const bool addressed =
            std::find(to.begin(), to.end(), vms_[i].fleet.self.control) !=
            to.end();
        if (addressed) Receive(i, in_flight);
      }
    }
  }

  void Receive(size_t to, const InFlight& in_flight) {
    Vm& vm = vms_[to];
    const Vm& sender = vms_[in_flight.from];
    const bool remote = vm.fleet.self.domain != sender.fleet.self.domain;
    const bool blocked = remote && (vm.partitioned || sender.partitioned);
    if (!vm.running || blocked) return;
    FleetOutbox out;
    const FleetMessageResult result =
        HandleFleetMessage(vm.fleet, vm.registry, sender.fleet.self.id,
                           in_flight.envelope.message, now_, out);
    if (result.opening_reply.has_value()) {
      vm.opening_replies.push_back(*result.opening_reply);
    }
    Send(to, out);
  }

  void TickAll() {
    for (size_t i = 0; i < vms_.size(); ++i) {
      if (vms_[i].running) Tick(i);
    }
  }

  void Tick(size_t index) {
    Vm& vm = vms_[index];
    FleetOutbox out;
    TickFleet(vm.fleet, vm.registry, now_, out);
    const bool lags = vm.fleet.lagging_since != TimePoint::max() &&
                      ShouldCatchUp(vm.fleet, vm.registry, now_);
    if (lags) catch_ups_.insert(vm.fleet.self.id);
    Watch(vm, out);
    Send(index, out);
  }

  // Runs one step of the watch as the daemon does.
  void Watch(Vm& vm, FleetOutbox& out) {
    if (!vm.calling) {
      if (!ShouldWatch(vm.fleet, now_)) {
        SetWatching(vm.fleet, vm.registry, false, now_, out);
        return;
      }
      vm.calling = true;
      vm.call_ends_at = now_ + kCallTimeout;
      ++platform_calls_;
    }
    if (vm.store_answers) {
      vm.calling = false;
      const Revision before = vm.registry.as_of;
      SetWatching(vm.fleet, vm.registry, ShouldWatch(vm.fleet, now_), now_,
                  out);
      const FactDelta changes = DeltaSince(store_, before);
      if (MergeDelta(vm.registry, changes, now_) == MergeResult::kMerged) {
        snapshots_read_ += changes.is_snapshot;
        SendFacts(vm.fleet, vm.registry, before, now_, out);
      }
    } else if (now_ >= vm.call_ends_at) {
      vm.calling = false;
      SetWatching(vm.fleet, vm.registry, false, now_, out);
    }
  }

  TimePoint now_{Duration(1'000'000)};
  Registry store_;
  std::deque<Vm> vms_;
  std::deque<InFlight> in_flight_;
  size_t platform_calls_ = 0;
  size_t messages_sent_ = 0;
  size_t facts_sent_ = 0;
  size_t snapshots_read_ = 0;
  std::set<VmId> catch_ups_;
  size_t max_gossip_peers_ = 0;
};

}  // namespace knapweedlift::testing

#endif  // KNAPWEEDLIFT_TESTS_SUPPORT_FAKE_FLEET_H_
