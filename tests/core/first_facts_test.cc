#include "core/fleet/first_facts.h"

#include <algorithm>
#include <functional>
#include <map>

#include "core/fleet/watcher_election.h"
#include "tests/support/facts.h"
#include "tests/support/properties.h"

using namespace knapweedlift;
using namespace knapweedlift::testing;

namespace {

constexpr Duration kTickPeriod{10};
constexpr Duration kDatagramDelay{2};
// A snapshot of 3,000 servers on a link of 20 Mbit/s.
constexpr Duration kSnapshotTransfer{90};
// The platform's entries of 3,000 servers on the same link.
constexpr Duration kPlatformRead{600};
// A fleet has to serve again this long after all its VMs started.
constexpr Duration kMaxRecoveryTime{4'000};

// Starting VMs whose links carry one large message at a time.
class StartingFleet {
 public:
  struct Vm {
    FleetState fleet;
    Registry registry;
    bool running = true;
    bool reading = false;
    bool first_page_read = false;
    TimePoint read_ends_at;
    TimePoint link_free_at;
    TimePoint has_facts_at = TimePoint::max();
    size_t max_streams = 0;
    size_t snapshots_sent = 0;
    size_t remote_snapshots_sent = 0;
  };

  // The first three VMs are the seeds, each in a failure domain of its own.
  StartingFleet(size_t vms, size_t domains) : domains_(domains) {
    for (size_t i = 0; i < vms; ++i) AddVm(i);
  }

  void AddVm(size_t index) {
    Vm vm;
    vm.fleet = StartFleet(
        {.id = static_cast<VmId>(index + 1),
         .control = ControlOf(index),
         .domain = std::string(1, static_cast<char>('a' + index % domains_))},
        {ControlOf(0), ControlOf(1), ControlOf(2)}, 1'000 + index, now_);
    vms_.push_back(vm);
  }

  // Starts the VM again, without facts.
  void Restart(size_t index) {
    Vm& vm = vms_[index];
    vm = {.fleet = StartFleet(vm.fleet.self, vm.fleet.seeds,
                              vm.fleet.incarnation + 1'000, now_)};
  }

  // Lets all VMs confirm their facts and hear of each other.
  void KeepAlive() {
    for (Vm& vm : vms_) {
      if (vm.registry.as_of != 0) vm.fleet.confirmed_at = now_;
      for (const Vm& other : vms_) {
        if (other.registry.as_of != 0) Introduce(other, vm);
      }
    }
  }

  // Gives all VMs confirmed facts and lets them know each other.
  void FinishStart() {
    Run(kMaxRecoveryTime);
    KeepAlive();
    platform_reads_ = 0;
    for (Vm& vm : vms_) vm.snapshots_sent = vm.remote_snapshots_sent = 0;
  }

  void Run(Duration time) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += Duration(1);
      RunDueEvents();
      if (now_.time_since_epoch() % kTickPeriod == Duration(0)) TickAll();
    }
  }

  // Time from `start` until the last running VM had facts.
  Duration RecoveryTime(TimePoint start) const {
    TimePoint last = start;
    for (const Vm& vm : vms_) {
      if (vm.running) last = std::max(last, vm.has_facts_at);
    }
    return last - start;
  }

  Vm& vm(size_t index) { return vms_[index]; }
  std::vector<Vm>& vms() { return vms_; }
  TimePoint now() const { return now_; }
  // Complete reads, and reads that ended after the first of several pages.
  size_t platform_reads() const { return platform_reads_; }
  size_t first_page_reads() const { return first_page_reads_; }
  // The platform's entries fill several pages unless set otherwise.
  void set_platform_is_large(bool large) { platform_is_large_ = large; }

 private:
  void Introduce(const Vm& vm, Vm& to) {
    MergeHeartbeat(to.fleet.members,
                   {.vm = vm.fleet.self.id,
                    .incarnation = vm.fleet.incarnation,
                    .count = vm.fleet.heartbeat,
                    .phase = MemberPhase::kServing},
                   now_);
    UpdateAddress(to.fleet.members, vm.fleet.self);
    RenewLease(to.fleet.members[vm.fleet.self.id], now_);
  }

  static Endpoint ControlOf(size_t index) {
    const uint8_t bytes[] = {10, 0, static_cast<uint8_t>(index / 250),
                             static_cast<uint8_t>(index % 250 + 1)};
    return {.address = IpAddressFromV4(bytes), .port = 7'000};
  }

  void RunDueEvents() {
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
  }

  void TickAll() {
    for (size_t i = 0; i < vms_.size(); ++i) {
      if (!vms_[i].running) continue;
      FleetOutbox out;
      TickFleet(vms_[i].fleet, vms_[i].registry, now_, out);
      Send(i, out);
      ReadPlatform(i);
    }
  }

  void ReadPlatform(size_t index) {
    Vm& vm = vms_[index];
    if (vm.reading || vm.registry.as_of != 0) return;
    const size_t pages = PagesToRead(vm.fleet, vm.first_page_read, now_);
    if (pages == 0) return;
    if (pages == 1 && platform_is_large_) {
      vm.first_page_read = true;
      ++first_page_reads_;
      return;
    }
    vm.reading = true;
    ++platform_reads_;
    events_.emplace(now_ + kPlatformRead, [this, index] {
      Vm& vm = vms_[index];
      if (!vm.running || vm.registry.as_of != 0) return;
      vm.registry = RegistryOf({Server(1)});
      RecordConfirmation(vm.fleet, now_);
      StartServing(index);
      FleetOutbox out;
      SendWaitingSnapshots(vm.fleet, vm.registry, now_, out);
      Send(index, out);
    });
  }

  void StartServing(size_t index) {
    vms_[index].has_facts_at = std::min(vms_[index].has_facts_at, now_);
    vms_[index].fleet.phase = MemberPhase::kServing;
  }

  void Send(size_t from, const FleetOutbox& out) {
    for (const FleetEnvelope& envelope : out) {
      for (const Endpoint& to : envelope.recipients) {
        for (size_t i = 0; i < vms_.size(); ++i) {
          if (vms_[i].fleet.self.control == to) Send(from, i, envelope.message);
        }
      }
    }
  }

  void Send(size_t from, size_t to, const FleetMessage& message) {
    const bool is_snapshot = std::holds_alternative<FactsNotice>(message);
    TimePoint arrives_at = now_ + kDatagramDelay;
    if (is_snapshot) arrives_at = UseLink(from, to);
    events_.emplace(arrives_at, [this, from, to, message, is_snapshot] {
      Receive(from, to, message);
      if (is_snapshot) EndStream(from);
    });
  }

  TimePoint UseLink(size_t from, size_t to) {
    Vm& sender = vms_[from];
    ++sender.snapshots_sent;
    sender.remote_snapshots_sent +=
        sender.fleet.self.domain != vms_[to].fleet.self.domain;
    ++streams_[from];
    sender.max_streams = std::max(sender.max_streams, streams_[from]);
    sender.link_free_at =
        std::max(now_, sender.link_free_at) + kSnapshotTransfer;
    return sender.link_free_at;
  }

  void EndStream(size_t from) {
    Vm& sender = vms_[from];
    sender.fleet.snapshots_in_flight = --streams_[from];
    FleetOutbox out;
    SendWaitingSnapshots(sender.fleet, sender.registry, now_, out);
    Send(from, out);
  }

  void Receive(size_t from, size_t to, const FleetMessage& message) {
    Vm& vm = vms_[to];
    if (!vm.running || !vms_[from].running) return;
    FleetOutbox out;
    vm.fleet.snapshots_in_flight = streams_[to];
    HandleFleetMessage(vm.fleet, vm.registry, vms_[from].fleet.self.id, message,
                       now_, out);
    if (vm.registry.as_of != 0) StartServing(to);
    Send(to, out);
  }

  size_t domains_;
  TimePoint now_{Duration(1'000'000)};
  std::vector<Vm> vms_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::map<size_t, size_t> streams_;
  size_t platform_reads_ = 0;
  size_t first_page_reads_ = 0;
  bool platform_is_large_ = true;
};

}  // namespace

// The load: 300 VMs lose power at the same time, with 3,000 servers listed.
Test(first_facts, a_fleet_that_starts_at_once_serves_within_its_bound) {
  StartingFleet fleet(300, 5);
  const TimePoint start = fleet.now();
  fleet.Run(kMaxRecoveryTime);
  cr_expect(fleet.RecoveryTime(start) <= kMaxRecoveryTime, "%lld ms",
            static_cast<long long>(fleet.RecoveryTime(start).count()));
  const size_t max_reads = 3 * (1 + kMaxGrantedPlatformReads);
  cr_expect(fleet.platform_reads() <= max_reads, "%zu reads",
            fleet.platform_reads());
  for (const auto& vm : fleet.vms()) {
    cr_expect(vm.max_streams <= kMaxSnapshotStreams);
    cr_expect(vm.snapshots_sent <= kMaxWaitingVms);
  }
}

Test(first_facts, the_platform_reads_of_a_start_do_not_grow_with_the_fleet) {
  const auto count_reads = [](size_t vms) {
    StartingFleet fleet(vms, 5);
    fleet.Run(kMaxRecoveryTime);
    return fleet.platform_reads();
  };
  cr_expect(count_reads(300) == count_reads(60));
}

Test(first_facts, vms_of_a_small_fleet_read_the_platform_at_once) {
  StartingFleet fleet(15, 3);
  const TimePoint start = fleet.now();
  fleet.Run(Duration(1'000));
  cr_expect(fleet.platform_reads() == 15);
  cr_expect(fleet.RecoveryTime(start) <= kPlatformRead + Duration(50));
}

Test(first_facts, a_vm_that_joins_gets_them_from_its_failure_domain) {
  StartingFleet fleet(60, 3);
  fleet.FinishStart();
  fleet.AddVm(60);
  fleet.AddVm(61);
  const TimePoint start = fleet.now();
  fleet.Run(Duration(500));
  cr_expect(fleet.RecoveryTime(start) <= Duration(150));
  cr_expect(fleet.platform_reads() == 0);
  for (const auto& vm : fleet.vms()) cr_expect(vm.remote_snapshots_sent == 0);
}

Test(first_facts, many_joining_vms_are_shared_out_over_their_peers) {
  StartingFleet fleet(60, 3);
  fleet.FinishStart();
  for (size_t i = 60; i < 120; ++i) fleet.AddVm(i);
  const TimePoint start = fleet.now();
  fleet.Run(Duration(2'000));
  cr_expect(fleet.RecoveryTime(start) <= Duration(1'000));
  for (const auto& vm : fleet.vms()) {
    cr_expect(vm.max_streams <= kMaxSnapshotStreams);
  }
}

// A peer that cannot reach the platform may know a server that has left.
Test(first_facts, unconfirmed_facts_of_a_peer_are_not_used_for_a_start) {
  StartingFleet fleet(15, 3);
  fleet.FinishStart();
  for (auto& vm : fleet.vms()) {
    vm.fleet.watching = false;
    vm.fleet.confirmed_at = fleet.now() - kMaxFirstFactsAge - Duration(1);
  }
  fleet.AddVm(15);
  fleet.Run(Duration(200));
  cr_expect(fleet.platform_reads() == 1);
  cr_expect(fleet.vm(15).registry.as_of == 0);
}

Test(first_facts, the_age_of_a_peers_facts_is_passed_on) {
  FleetState state = StartFleet({.id = 9, .domain = "a"}, {}, 1, At(5'000));
  Registry registry;
  FleetOutbox out;
  FleetGossip hello{.peers = {{.address = {.id = 1, .control = Address(1)}}}};
  HandleFleetMessage(state, registry, 1, hello, At(5'000), out);
  HandleFleetMessage(
      state, registry, 1,
      FactsNotice{.delta = SnapshotOf({Server(1)}), .confirmed_at = At(4'200)},
      At(5'010), out);
  cr_expect(registry.as_of != 0);
  cr_expect(state.confirmed_at == At(4'200));
}

Test(first_facts, a_vm_that_reaches_no_seed_reads_the_platform) {
  StartingFleet fleet(15, 3);
  fleet.FinishStart();
  for (size_t i = 0; i < 3; ++i) fleet.vm(i).running = false;
  fleet.AddVm(15);
  fleet.Run(Duration(500));
  cr_expect(fleet.platform_reads() == 1);
}

Test(first_facts, a_vm_whose_snapshot_does_not_come_reads_the_platform) {
  StartingFleet fleet(60, 3);
  fleet.Run(Duration(50));
  // All VMs that others wait for fail before they have facts.
  for (auto& vm : fleet.vms()) {
    if (!vm.fleet.first_facts.waiting.empty()) vm.running = false;
  }
  const TimePoint start = fleet.now();
  fleet.Run(kMaxRecoveryTime);
  cr_expect(fleet.RecoveryTime(start) <=
            kSnapshotWait + kSnapshotWaitSpread + kPlatformRead);
}

Test(first_facts, a_seed_reads_the_platform_without_asking) {
  FleetState state = StartFleet({.id = 1, .control = Address(1), .domain = "a"},
                                {Address(1), Address(2)}, 1, At(0));
  cr_expect(PagesToRead(state, false, At(0)) == kAllPages);
  state = StartFleet({.id = 3, .control = Address(3), .domain = "a"},
                     {Address(1), Address(2)}, 1, At(0));
  cr_expect(PagesToRead(state, false, At(0)) == 0);
}

// The load: most VMs of a running fleet are killed and start at the same time.
// Their peers still believe that they serve, and refer them to each other.
Test(first_facts, restarted_vms_do_not_wait_for_each_other) {
  StartingFleet fleet(120, 5);
  fleet.FinishStart();
  for (size_t i = 3; i < 120; ++i) {
    if (i % 5 != 0) fleet.Restart(i);
  }
  const TimePoint start = fleet.now();
  fleet.Run(Duration(1'400));
  cr_expect(fleet.RecoveryTime(start) <= Duration(1'400), "%lld ms",
            static_cast<long long>(fleet.RecoveryTime(start).count()));
}

Test(first_facts, a_vm_that_loses_its_seeds_reads_the_platform) {
  FleetState state = StartFleet({.id = 3, .control = Address(3), .domain = "a"},
                                {Address(1)}, 1, At(0));
  // A changed settings file may name no seeds.
  state.seeds.clear();
  FleetOutbox out;
  TickFleet(state, Registry{}, At(10), out);
  cr_expect(PagesToRead(state, true, At(10) + kPlatformReadSpread) ==
            kAllPages);
}

// The load: a small fleet loses power, and its seeds start last.
Test(first_facts, vms_that_start_before_the_seeds_read_a_small_platform) {
  StartingFleet fleet(18, 3);
  fleet.set_platform_is_large(false);
  for (size_t i = 0; i < 3; ++i) fleet.vm(i).running = false;
  const TimePoint start = fleet.now();
  fleet.Run(Duration(1'000));
  cr_expect(fleet.platform_reads() == 15);
  cr_expect(fleet.RecoveryTime(start) <=
            kPlatformRead + kFirstPageDelay + 2 * kTickPeriod);
}

// The load: 195 VMs of a running fleet stop and start one after the other.
Test(first_facts, seeds_send_no_more_snapshots_than_other_vms) {
  StartingFleet fleet(195, 5);
  fleet.FinishStart();
  size_t sent_by_seeds = 0;
  for (size_t i = 3; i < 195; ++i) {
    fleet.Restart(i);
    fleet.Run(Duration(20));
    fleet.KeepAlive();
  }
  fleet.Run(Duration(1'000));
  for (size_t i = 0; i < 3; ++i) sent_by_seeds += fleet.vm(i).snapshots_sent;
  cr_expect(fleet.platform_reads() == 0);
  cr_expect(sent_by_seeds <= 3 * kMaxSnapshotStreams, "%zu", sent_by_seeds);
}

// A seed that the platform refuses gets old facts of a peer; the VMs that wait
// for its snapshot may reach the platform.
Test(first_facts, waiting_vms_get_no_unconfirmed_facts) {
  FleetState seed = StartFleet({.id = 1, .control = Address(1), .domain = "a"},
                               {Address(1), Address(2)}, 1, At(5'000));
  Registry registry;
  FleetOutbox out;
  const auto request = [&](uint8_t id) {
    const VmAddress vm{.id = id, .control = Address(id), .domain = "a"};
    HandleFleetMessage(seed, registry, id,
                       FactsRequest{.requester = vm, .confirmed_only = true},
                       At(5'000), out);
  };
  for (uint8_t id = 10; id <= 10 + kMaxGrantedPlatformReads; ++id) request(id);
  cr_assert(seed.first_facts.waiting.size() == 1);
  out.clear();
  FactsNotice old{.delta = SnapshotOf({Server(1)}), .confirmed_at = At(100)};
  HandleFleetMessage(seed, registry, 10, old, At(5'100), out);
  cr_assert(registry.as_of != 0);
  cr_expect(seed.first_facts.waiting.empty());
  cr_assert(out.size() == 1);
  const auto* referral = std::get_if<FactsReferral>(&out[0].message);
  cr_assert(referral != nullptr, "the waiting VM got old facts");
  cr_expect(!referral->peer.has_value());
}
