#include <deque>
#include <map>
#include <set>

#include "core/fleet/relay_tree.h"
#include "core/fleet/watcher_election.h"
#include "tests/support/facts.h"
#include "tests/support/properties.h"

using namespace knapweedlift;
using namespace knapweedlift::testing;

namespace {

// What the daemon's watch does with the platform: a call that is not answered
// ends after this time.
constexpr Duration kCallTime{1'400};
constexpr Duration kTick{50};
constexpr Duration kDelay{2};
// Within this time a change must be in force everywhere.
constexpr Duration kPromise{3'000};

// A fleet on a simulated network, with a store that has one server fact.
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
    // Whether the store answers it, and whether other domains reach it.
    bool store_answers = true;
    bool cut_off = false;
    bool calling = false;
    TimePoint call_ends_at;
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
    Post(vms_.size() - 1, out);
  }

  void Run(Duration time) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += Duration(1);
      Deliver();
      if (now_.time_since_epoch() % kTick == Duration(0)) TickAll();
    }
  }

  // The store takes a change of its server.
  void Change() {
    FactDelta delta{.after = store_.as_of, .as_of = store_.as_of + 1};
    ServerFact server = Server(1);
    server.slots = static_cast<uint32_t>(delta.as_of);
    delta.servers.push_back(
        {.name = server.name, .revision = delta.as_of, .server = server});
    MergeDelta(store_, delta, now_);
  }

  bool AllKnow() const {
    for (const Vm& vm : vms_) {
      if (vm.running && vm.registry.as_of < store_.as_of) return false;
    }
    return true;
  }

  // How long the change takes to reach all, at most a minute.
  Duration TimeToAll() {
    const TimePoint began = now_;
    Change();
    while (!AllKnow() && now_ - began < Duration(60'000)) Run(Duration(10));
    return now_ - began;
  }

  std::vector<size_t> Watchers() const {
    std::vector<size_t> watchers;
    for (size_t i = 0; i < vms_.size(); ++i) {
      if (vms_[i].running && vms_[i].fleet.watching) watchers.push_back(i);
    }
    return watchers;
  }

  Vm& vm(size_t index) { return vms_[index]; }
  // The VM's first read of the store.
  void ReadStore(size_t index) {
    Vm& vm = vms_[index];
    vm.registry = store_;
    RecordConfirmation(vm.fleet, now_);
  }

  // Messages that carried facts.
  size_t facts_sent() const { return facts_sent_; }
  size_t calls() const { return calls_; }
  size_t messages() const { return messages_; }
  size_t largest_message() const { return largest_message_; }

 private:
  struct Flying {
    TimePoint at;
    size_t from;
    FleetEnvelope envelope;
  };

  void Post(size_t from, const FleetOutbox& out) {
    for (const FleetEnvelope& envelope : out) {
      flying_.push_back({now_ + kDelay, from, envelope});
      messages_ += envelope.recipients.size();
      facts_sent_ += std::holds_alternative<FactsNotice>(envelope.message);
      const auto* gossip = std::get_if<FleetGossip>(&envelope.message);
      if (gossip == nullptr) continue;
      largest_message_ = std::max(largest_message_, gossip->peers.size());
    }
  }

  void Deliver() {
    while (!flying_.empty() && flying_.front().at <= now_) {
      const Flying flying = flying_.front();
      flying_.pop_front();
      for (size_t i = 0; i < vms_.size(); ++i) {
        const auto& to = flying.envelope.recipients;
        const bool meant = std::find(to.begin(), to.end(),
                                     vms_[i].fleet.self.control) != to.end();
        if (meant) Receive(i, flying);
      }
    }
  }

  void Receive(size_t to, const Flying& flying) {
    Vm& vm = vms_[to];
    const Vm& sender = vms_[flying.from];
    const bool far = vm.fleet.self.domain != sender.fleet.self.domain;
    if (!vm.running || (far && (vm.cut_off || sender.cut_off))) return;
    FleetOutbox out;
    HandleFleetMessage(vm.fleet, vm.registry, sender.fleet.self.id,
                       flying.envelope.message, now_, out);
    Post(to, out);
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
    Watch(vm, out);
    Post(index, out);
  }

  // One step of a watch, as the daemon makes it.
  void Watch(Vm& vm, FleetOutbox& out) {
    if (!vm.calling) {
      if (!ShouldWatch(vm.fleet, now_)) {
        SetWatching(vm.fleet, vm.registry, false, now_, out);
        return;
      }
      vm.calling = true;
      vm.call_ends_at = now_ + kCallTime;
      ++calls_;
    }
    if (vm.store_answers) {
      vm.calling = false;
      const Revision before = vm.registry.as_of;
      SetWatching(vm.fleet, vm.registry, ShouldWatch(vm.fleet, now_), now_,
                  out);
      if (MergeDelta(vm.registry, DeltaSince(store_, before), now_) ==
          MergeResult::kMerged) {
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
  std::deque<Flying> flying_;
  size_t calls_ = 0;
  size_t messages_ = 0;
  size_t facts_sent_ = 0;
  size_t largest_message_ = 0;
};

constexpr Duration kSettled{5'000};

}  // namespace

Test(fleet, one_vm_watches_for_all) {
  FakeFleet fleet(15);
  fleet.Run(kSettled);
  cr_assert(fleet.Watchers() == std::vector<size_t>({0}), "the oldest");
  cr_expect(fleet.TimeToAll() <= Duration(200));
}

Test(fleet, vms_find_each_other_through_one_living_seed) {
  // Seed 99 does not exist, and VM 1 is a seed of its own.
  FakeFleet fleet(15);
  fleet.Run(kSettled);
  for (size_t i = 0; i < 15; ++i) {
    cr_expect(fleet.vm(i).fleet.members.size() == 15, "VM %zu", i);
  }
}

Test(fleet, another_vm_takes_over_from_a_killed_watcher) {
  FakeFleet fleet(15);
  fleet.Run(kSettled);
  fleet.vm(0).running = false;
  cr_expect(fleet.TimeToAll() < kPromise);
}

Test(fleet, a_platform_that_is_silent_for_the_watcher_alone_hides_nothing) {
  FakeFleet fleet(15);
  fleet.Run(kSettled);
  fleet.vm(0).store_answers = false;
  fleet.vm(0).calling = true;
  cr_expect(fleet.TimeToAll() < kPromise);
  // The first ones in line may be refused, too.
  FakeFleet refused(15);
  refused.Run(kSettled);
  for (size_t i = 0; i < 5; ++i) refused.vm(i).store_answers = false;
  cr_expect(refused.TimeToAll() < kPromise);
  cr_expect(refused.TimeToAll() < kPromise, "and it stays so");
  refused.Run(kSettled);
  for (size_t i = 0; i < 5; ++i) refused.vm(i).store_answers = true;
  refused.Run(kSettled);
  cr_expect(refused.Watchers() == std::vector<size_t>({0}),
            "younger watchers yield");
}

Test(fleet, a_domain_that_is_cut_off_watches_for_itself) {
  FakeFleet fleet(15);
  fleet.Run(kSettled);
  for (size_t i = 0; i < 15; i += 3) fleet.vm(i).cut_off = true;
  fleet.Run(kSettled);
  cr_expect(fleet.TimeToAll() < kPromise);
  cr_expect(fleet.Watchers().size() == 2);
  for (size_t i = 0; i < 15; i += 3) fleet.vm(i).cut_off = false;
  fleet.Run(kSettled);
  cr_expect(fleet.Watchers().size() == 1);
}

Test(fleet, vms_without_the_platform_follow_those_with_it) {
  FakeFleet fleet(15);
  for (size_t i = 0; i < 14; ++i) fleet.vm(i).store_answers = false;
  fleet.Run(kSettled);
  cr_expect(fleet.TimeToAll() < kPromise);
}

Test(fleet, a_vm_that_missed_changes_catches_up) {
  FakeFleet fleet(15);
  fleet.Run(kSettled);
  fleet.vm(7).running = false;
  for (int i = 0; i < 5; ++i) fleet.Change();
  fleet.Run(Duration(1'000));
  fleet.vm(7).running = true;
  fleet.Run(Duration(2'000));
  cr_expect(fleet.AllKnow());
}

Test(fleet, a_vm_that_the_platform_does_not_answer_starts_on_a_peers_facts) {
  FakeFleet fleet(15);
  fleet.Run(kSettled);
  fleet.AddVm(15, 3);
  fleet.vm(15).registry = {};
  fleet.vm(15).store_answers = false;
  fleet.Run(Duration(700));
  cr_expect(fleet.AllKnow());
}

Test(fleet, a_vm_that_the_platform_answers_costs_its_peers_nothing) {
  FakeFleet fleet(15);
  fleet.Run(kSettled);
  const size_t before = fleet.facts_sent();
  fleet.AddVm(15, 3);
  fleet.vm(15).registry = {};
  fleet.Run(Duration(200));
  fleet.ReadStore(15);
  fleet.Run(Duration(2'000));
  cr_expect(fleet.facts_sent() == before);
}

Test(fleet, a_leaving_watcher_hands_over_at_once) {
  FakeFleet fleet(15);
  fleet.Run(kSettled);
  FleetOutbox out;
  FakeFleet::Vm& vm = fleet.vm(0);
  vm.fleet.phase = MemberPhase::kLeaving;
  fleet.Run(Duration(1'500));
  cr_expect(fleet.Watchers().size() == 1);
  cr_expect(fleet.Watchers() != std::vector<size_t>({0}));
  cr_expect(fleet.TimeToAll() < Duration(500));
}

Test(fleet, calls_do_not_grow_with_the_fleet) {
  const auto calls_of = [](size_t vms) {
    FakeFleet fleet(vms);
    fleet.Run(kSettled);
    const size_t before = fleet.calls();
    for (int i = 0; i < 10; ++i) {
      fleet.Change();
      fleet.Run(Duration(1'000));
    }
    return fleet.calls() - before;
  };
  cr_expect(calls_of(60) == calls_of(6));
}

Test(fleet, messages_stay_bounded) {
  FakeFleet fleet(90);
  fleet.Run(kSettled);
  const size_t before = fleet.messages();
  fleet.Run(Duration(10'000));
  const double each = static_cast<double>(fleet.messages() - before) / 90 / 10;
  // Gossip and its answers, load to eight peers, leases.
  cr_expect(each < 40, "%f messages a VM and second", each);
  cr_expect(fleet.largest_message() <= kMaxFleetGossipPeers);
}

Test(fleet, a_clock_that_ran_ahead_in_a_former_life_does_not_hide_a_vm) {
  FakeFleet fleet(6);
  fleet.Run(kSettled);
  // It starts again with a clock that lies behind its former life's.
  FakeFleet::Vm& vm = fleet.vm(3);
  vm.fleet = StartFleet(vm.fleet.self, vm.fleet.seeds, 5, At(1'005'000));
  vm.fleet.phase = MemberPhase::kServing;
  fleet.Run(kSettled);
  const Member& seen = fleet.vm(0).fleet.members.at(vm.fleet.self.id);
  cr_expect(seen.heartbeat.incarnation == vm.fleet.incarnation);
  cr_expect(seen.heartbeat.count + 4 >= vm.fleet.heartbeat);
}

Test(fleet, messages_of_strangers_are_ignored) {
  FakeFleet fleet(3);
  FakeFleet::Vm& vm = fleet.vm(0);
  const Registry before = vm.registry;
  FleetOutbox out;
  FactsNotice notice{.delta = SnapshotOf({}, 99)};
  HandleFleetMessage(vm.fleet, vm.registry, 4'711, notice, At(1'000'000), out);
  cr_expect(vm.registry == before);
  cr_expect(out.empty());
}
