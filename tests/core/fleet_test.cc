#include <map>
#include <set>

#include "core/fleet/catch_up.h"
#include "core/fleet/relay_tree.h"
#include "core/fleet/watcher_election.h"
#include "core/placement/cold_allowance.h"
#include "core/registry/facts_digest.h"
#include "tests/support/facts.h"
#include "tests/support/fake_fleet.h"
#include "tests/support/properties.h"

using namespace knapweedlift;
using namespace knapweedlift::testing;

namespace {

// A change must reach every VM within this time.
constexpr Duration kMaxPropagationTime{3'000};

constexpr Duration kConvergenceTime{5'000};

}  // namespace

Test(fleet, single_vm_watches_for_the_fleet) {
  FakeFleet fleet(15);
  fleet.Run(kConvergenceTime);
  cr_assert(fleet.Watchers() == std::vector<size_t>({0}),
            "the longest-running VM");
  cr_expect(fleet.PropagationTime() <= Duration(200));
}

Test(fleet, discovers_all_vms_through_one_live_seed) {
  // Seed 99 does not exist, and VM 1 is itself a seed.
  FakeFleet fleet(15);
  fleet.Run(kConvergenceTime);
  for (size_t i = 0; i < 15; ++i) {
    cr_expect(fleet.vm(i).fleet.members.size() == 15, "VM %zu", i);
  }
}

Test(fleet, another_vm_takes_over_from_a_crashed_watcher) {
  FakeFleet fleet(15);
  fleet.Run(kConvergenceTime);
  fleet.vm(0).running = false;
  cr_expect(fleet.PropagationTime() < kMaxPropagationTime);
}

Test(fleet, changes_arrive_when_the_watcher_alone_loses_the_platform) {
  FakeFleet fleet(15);
  fleet.Run(kConvergenceTime);
  fleet.vm(0).store_answers = false;
  fleet.vm(0).calling = true;
  cr_expect(fleet.PropagationTime() < kMaxPropagationTime);
  // The next VMs in line may get no answers either.
  FakeFleet no_answers(15);
  no_answers.Run(kConvergenceTime);
  for (size_t i = 0; i < 5; ++i) no_answers.vm(i).store_answers = false;
  cr_expect(no_answers.PropagationTime() < kMaxPropagationTime);
  cr_expect(no_answers.PropagationTime() < kMaxPropagationTime,
            "the second change arrives as well");
  no_answers.Run(kConvergenceTime);
  for (size_t i = 0; i < 5; ++i) no_answers.vm(i).store_answers = true;
  no_answers.Run(kConvergenceTime);
  cr_expect(no_answers.Watchers() == std::vector<size_t>({0}),
            "the VMs that started later stop watching");
}

Test(fleet, a_partitioned_domain_elects_its_own_watcher) {
  FakeFleet fleet(15);
  fleet.Run(kConvergenceTime);
  for (size_t i = 0; i < 15; i += 3) fleet.vm(i).partitioned = true;
  fleet.Run(kConvergenceTime);
  cr_expect(fleet.PropagationTime() < kMaxPropagationTime);
  cr_expect(fleet.Watchers().size() == 2);
  for (size_t i = 0; i < 15; i += 3) fleet.vm(i).partitioned = false;
  fleet.Run(kConvergenceTime);
  cr_expect(fleet.Watchers().size() == 1);
}

Test(fleet, vms_without_the_platform_get_facts_from_peers) {
  FakeFleet fleet(15);
  for (size_t i = 0; i < 14; ++i) fleet.vm(i).store_answers = false;
  fleet.Run(kConvergenceTime);
  cr_expect(fleet.PropagationTime() < kMaxPropagationTime);
}

Test(fleet, a_vm_that_missed_changes_catches_up) {
  FakeFleet fleet(15);
  fleet.Run(kConvergenceTime);
  fleet.vm(7).running = false;
  for (int i = 0; i < 5; ++i) fleet.ChangeServer();
  fleet.Run(Duration(1'000));
  fleet.vm(7).running = true;
  fleet.Run(Duration(2'000));
  cr_expect(fleet.AllUpToDate());
}

// Guards against a route that stays wrong on a VM that read a configuration
// which the watcher skipped (review case 2).
Test(fleet, a_vm_that_read_a_skipped_configuration_gets_the_next_one) {
  FakeFleet fleet(15);
  fleet.Run(kConvergenceTime);
  cr_assert(fleet.vm(0).fleet.watching);
  const Revision revision = fleet.vm(0).registry.as_of;
  fleet.ReadConfig(7, "catalogue", revision + 1);
  fleet.ReadConfig(0, "atelier", revision + 2);
  fleet.Run(kMaxPropagationTime);
  for (size_t i = 0; i < 15; ++i) {
    const Registry& registry = fleet.vm(i).registry;
    cr_expect(registry.as_of == revision + 2);
    const RouteRecord& record = registry.routes.at(Route(200).address);
    cr_expect(record.fact == Route(200, "atelier"), "VM %zu", i);
  }
}

// Whatever made the facts of a VM differ is noticed by gossip.
Test(fleet, a_vm_with_other_facts_at_the_same_revision_needs_a_repair) {
  FakeFleet fleet(15);
  fleet.Run(kConvergenceTime);
  for (size_t i = 0; i < 15; ++i) {
    cr_expect(not fleet.vm(i).fleet.repair.needed, "VM %zu", i);
  }
  FakeFleet::Vm& vm = fleet.vm(7);
  vm.registry.routes.at(Route(200).address).fact = Route(200, "catalogue");
  vm.registry.digest = ComputeFactsDigest(vm.registry);
  fleet.Run(kMaxPropagationTime);
  cr_assert(vm.fleet.repair.needed);
  cr_expect(ShouldCatchUp(vm.fleet, vm.registry, fleet.now()));
  // The difference is counted once until the repair, and then not at once.
  cr_expect(vm.fleet.repair.count == 1);
  RecordRepair(vm.fleet, false, At(2'000'000));
  const FactsVersion version = FactsVersionOf(fleet.vm(0).registry);
  cr_expect(not CompareFacts(vm.fleet, vm.registry, version, At(2'000'100)));
  cr_expect(CompareFacts(vm.fleet, vm.registry, version, At(2'100'000)));
}

Test(fleet, a_starting_vm_without_the_platform_gets_facts_from_a_peer) {
  FakeFleet fleet(15);
  fleet.Run(kConvergenceTime);
  fleet.AddVm(15, 3);
  fleet.vm(15).registry = {};
  fleet.vm(15).store_answers = false;
  fleet.Run(Duration(700));
  cr_expect(fleet.AllUpToDate());
}

Test(fleet, a_starting_vm_gets_its_first_facts_once) {
  FakeFleet fleet(15);
  fleet.Run(kConvergenceTime);
  const size_t before = fleet.facts_sent();
  fleet.AddVm(15, 3);
  fleet.vm(15).registry = {};
  fleet.Run(Duration(200));
  cr_expect(fleet.AllUpToDate());
  fleet.Run(Duration(2'000));
  cr_expect(fleet.facts_sent() == before + 1);
}

Test(fleet, another_vm_takes_over_from_a_leaving_watcher_at_once) {
  FakeFleet fleet(15);
  fleet.Run(kConvergenceTime);
  FleetOutbox out;
  FakeFleet::Vm& vm = fleet.vm(0);
  vm.fleet.phase = MemberPhase::kLeaving;
  fleet.Run(Duration(1'500));
  cr_expect(fleet.Watchers().size() == 1);
  cr_expect(fleet.Watchers() != std::vector<size_t>({0}));
  cr_expect(fleet.PropagationTime() < Duration(500));
}

// Regression test: the watcher sent changes for another failure domain to a VM
// that had announced its end and was gone, for up to 2 s, and the VMs of that
// domain learned of them by gossip alone (review/6).
Test(fleet, changes_do_not_enter_a_domain_through_a_vm_that_left) {
  FakeFleet fleet(8, 2);
  fleet.Run(kConvergenceTime);
  cr_assert(fleet.Watchers() == std::vector<size_t>({0}));
  // The longest-running VMs of the other domain, as in a rolling stop.
  for (const size_t index : {1, 3}) {
    fleet.Leave(index);
    fleet.Run(Duration(1'500));
    fleet.vm(index).running = false;
    cr_expect(fleet.PropagationTime() <= Duration(200), "VM %zu", index);
  }
}

Test(fleet, platform_calls_do_not_grow_with_the_fleet) {
  const auto count_calls = [](size_t vms) {
    FakeFleet fleet(vms);
    fleet.Run(kConvergenceTime);
    const size_t before = fleet.platform_calls();
    for (int i = 0; i < 10; ++i) {
      fleet.ChangeServer();
      fleet.Run(Duration(1'000));
    }
    return fleet.platform_calls() - before;
  };
  cr_expect(count_calls(60) == count_calls(6));
}

Test(fleet, message_rate_and_size_are_bounded) {
  FakeFleet fleet(90);
  fleet.Run(kConvergenceTime);
  const size_t before = fleet.messages_sent();
  fleet.Run(Duration(10'000));
  const double rate =
      static_cast<double>(fleet.messages_sent() - before) / 90 / 10;
  // Gossip and its replies, load notices to eight peers, and leases.
  cr_expect(rate < 40, "%f messages per VM and second", rate);
  cr_expect(fleet.max_gossip_peers() <= kMaxFleetGossipPeers);
}

Test(fleet, a_vm_restarted_with_an_earlier_clock_is_not_ignored) {
  FakeFleet fleet(6);
  fleet.Run(kConvergenceTime);
  // The VM restarts with a clock that is behind that of its previous run. Its
  // peers would ignore its heartbeats if it kept the lower incarnation.
  FakeFleet::Vm& vm = fleet.vm(3);
  vm.fleet = StartFleet(vm.fleet.self, vm.fleet.seeds, 5, At(1'005'000));
  vm.fleet.phase = MemberPhase::kServing;
  fleet.Run(kConvergenceTime);
  const Member& seen = fleet.vm(0).fleet.members.at(vm.fleet.self.id);
  cr_expect(seen.heartbeat.incarnation == vm.fleet.incarnation);
  cr_expect(seen.heartbeat.count + 4 >= vm.fleet.heartbeat);
}

Test(fleet, messages_of_unknown_senders_are_ignored) {
  FakeFleet fleet(3);
  FakeFleet::Vm& vm = fleet.vm(0);
  const Registry before = vm.registry;
  FleetOutbox out;
  FactsNotice notice{.delta = SnapshotOf({}, 99)};
  HandleFleetMessage(vm.fleet, vm.registry, 4'711, notice, At(1'000'000), out);
  cr_expect(vm.registry == before);
  cr_expect(out.empty());
}

// Each owner of a cold server must know the VMs that begin to serve before
// these open flows there.
Test(fleet, vms_that_begin_to_serve_are_known_within_the_divergence_time) {
  const auto time_until_known = [](FakeFleet& fleet, size_t first,
                                   size_t size) {
    const auto knows = [&](size_t vm, size_t other) {
      const VmId id = fleet.vm(other).fleet.self.id;
      const Members& members = fleet.vm(vm).fleet.members;
      return members.contains(id) &&
             members.at(id).heartbeat.phase == MemberPhase::kServing;
    };
    const auto all_known = [&] {
      for (size_t vm = 0; vm < size; ++vm) {
        for (size_t other = first; other < size; ++other) {
          const bool same_domain = fleet.vm(vm).fleet.self.domain ==
                                   fleet.vm(other).fleet.self.domain;
          if (vm != other && same_domain && !knows(vm, other)) return false;
        }
      }
      return true;
    };
    Duration time{0};
    for (; !all_known() && time < Duration(60'000); time += Duration(50)) {
      fleet.Run(Duration(50));
    }
    return time;
  };
  for (const size_t size : {3, 9, 18, 36, 60}) {
    FakeFleet fleet(size);
    const Duration all = time_until_known(fleet, 0, size);
    fleet.Run(Duration(5'000));
    fleet.AddVm(size, 3);
    const Duration one = time_until_known(fleet, size, size + 1);
    cr_expect(all <= MembershipDivergence(size), "%zu VMs: %d ms", size,
              static_cast<int>(all.count()));
    cr_expect(one <= MembershipDivergence(size + 1), "one more than %zu: %d ms",
              size, static_cast<int>(one.count()));
  }
}

// Guards against VMs of a large fleet that take a late heartbeat for a crash,
// so that none or several of them own a cold server.
Test(fleet, a_cold_server_has_one_owner_in_a_fleet_of_any_size) {
  for (const size_t size : {3, 9, 18, 36, 60}) {
    FakeFleet fleet(size);
    std::vector<ColdElection> elections(size);
    const auto count_owners = [&](TimePoint now) {
      size_t owners = 0;
      for (size_t vm = 0; vm < size; vm += 3) {
        owners += OwnsColdServer(elections[vm], vm + 1, 7, now) ? 1 : 0;
      }
      return owners;
    };
    size_t most = 0;
    size_t without = 0;
    for (int step = 0; step < 400; ++step) {
      fleet.Run(Duration(100));
      for (size_t vm = 0; vm < size; vm += 3) {
        RefreshColdElection(elections[vm],
                            ColdMembershipOf(fleet.vm(vm).fleet, fleet.now()),
                            fleet.now());
      }
      const size_t owners = count_owners(fleet.now());
      most = std::max(most, owners);
      if (step >= 200 && owners == 0) ++without;
    }
    cr_expect(most == 1, "%zu VMs: %zu owners", size, most);
    cr_expect(without == 0, "%zu VMs: none at %zu of 200 times", size, without);
  }
}

// Other VMs would learn of a slow server only up to 1.5 s later.
Test(fleet, change_of_a_servers_speed_is_reported_at_the_shortest_interval) {
  const Registry registry = RegistryOf({Server(1)});
  FleetState state =
      StartFleet({.id = 1, .control = Address(1), .domain = "a"}, {}, 1, At(0));
  state.members[2] = {
      .address = {.id = 2, .control = Address(2), .domain = "a"},
      .lease_expires_at = At(100'000)};
  const auto reports = [&](int64_t now) {
    FleetOutbox out;
    TickFleet(state, registry, At(now), out);
    return std::count_if(out.begin(), out.end(), [](const auto& envelope) {
      return std::holds_alternative<LoadNotice>(envelope.message);
    });
  };
  cr_expect(reports(2'000) == 1);
  cr_expect(reports(2'300) == 0, "nothing has changed");
  state.load_report_due = true;
  cr_expect(reports(2'400) == 0, "within the shortest interval");
  cr_expect(reports(2'600) == 1);
  cr_expect(reports(2'900) == 0);
}

// The cost: one VM reads the store, the others get changes from it.
Test(fleet, a_return_of_the_store_is_read_by_the_watcher_alone) {
  FakeFleet fleet(60);
  fleet.Run(kConvergenceTime);
  const Registry copy = fleet.store();
  for (int i = 0; i < 5; ++i) fleet.ChangeServer();
  fleet.Run(kConvergenceTime);
  fleet.ReturnStoreFrom(copy);
  cr_expect(fleet.PropagationTime() < kMaxPropagationTime);
  fleet.Run(kConvergenceTime);
  for (size_t i = 0; i < 60; ++i) {
    cr_expect(fleet.vm(i).registry.as_of == fleet.store().as_of, "VM %zu", i);
  }
  cr_expect(fleet.snapshots_read() == 1);
  cr_expect(fleet.catch_ups().empty());
}

// Each side of a partition has a watcher, and neither reads again when the
// partition ends. One VM stands still meanwhile.
Test(fleet, a_return_of_the_store_reaches_vms_that_were_cut_off) {
  FakeFleet fleet(15);
  fleet.Run(kConvergenceTime);
  const Registry copy = fleet.store();
  fleet.ChangeServer();
  fleet.Run(kConvergenceTime);
  for (size_t i = 0; i < 15; i += 3) fleet.vm(i).partitioned = true;
  fleet.vm(7).running = false;
  fleet.Run(kConvergenceTime);
  fleet.ReturnStoreFrom(copy);
  cr_expect(fleet.Watchers().size() == 2);
  fleet.Run(Duration(1'000));
  // The second return comes before all VMs know of the first.
  fleet.ReturnStoreFrom(copy);
  fleet.Run(kMaxPropagationTime);
  for (size_t i = 0; i < 15; i += 3) fleet.vm(i).partitioned = false;
  fleet.vm(7).running = true;
  fleet.Run(kConvergenceTime);
  fleet.ChangeServer();
  fleet.Run(kMaxPropagationTime);
  for (size_t i = 0; i < 15; ++i) {
    cr_expect(fleet.vm(i).registry.as_of == fleet.store().as_of, "VM %zu", i);
  }
  // Two watchers read after each return, and the VM that stood still once, as
  // its lease had expired.
  cr_expect(fleet.snapshots_read() == 5);
  cr_expect(fleet.catch_ups().empty());
}

// A VM that knows the new era while the watcher still waits for the old store.
Test(fleet, a_watcher_of_an_earlier_era_holds_no_lease) {
  FakeFleet fleet(15);
  fleet.Run(kConvergenceTime);
  cr_assert(fleet.Watchers() == std::vector<size_t>({0}));
  const Registry copy = fleet.store();
  fleet.ChangeServer();
  fleet.Run(kConvergenceTime);
  fleet.ReturnStoreFrom(copy);
  fleet.vm(0).store_answers = false;
  fleet.ReadStore(7);
  const FactsVersion old_era = FactsVersionOf(fleet.vm(0).registry);
  const Registry& reader = fleet.vm(7).registry;
  cr_expect(not KnowsPresentEra(old_era, reader));
  cr_expect(KnowsPresentEra(FactsVersionOf(reader), fleet.vm(0).registry));
  const TimePoint confirmed_at = fleet.vm(7).fleet.confirmed_at;
  FleetOutbox out;
  HandleFleetMessage(
      fleet.vm(7).fleet, fleet.vm(7).registry, 1,
      WatchLease{.root = 1, .watcher = 1, .watching = true, .facts = old_era},
      fleet.now() + Duration(100), out);
  cr_expect(fleet.vm(7).fleet.confirmed_at == confirmed_at);
  cr_expect(fleet.PropagationTime() < kMaxPropagationTime);
}

// In a rolling stop the last version of the program may watch the store and not
// notice its return.
Test(fleet, a_watcher_that_knows_no_eras_holds_no_lease) {
  FakeFleet fleet(15);
  fleet.Run(kConvergenceTime);
  FleetState& state = fleet.vm(7).fleet;
  FactsVersion facts = FactsVersionOf(fleet.vm(0).registry);
  facts.knows_eras = false;
  const TimePoint expires_at = state.watch_lease_expires_at;
  const TimePoint now = fleet.now() + Duration(1'000);
  FleetOutbox out;
  HandleFleetMessage(
      state, fleet.vm(7).registry, 1,
      WatchLease{.root = 1, .watcher = 1, .watching = true, .facts = facts},
      now, out);
  cr_expect(state.watch_lease_expires_at == expires_at);
  FleetGossip gossip{
      .facts = facts, .watcher = 1, .lease_expires_at = now + Duration(500)};
  gossip.peers.push_back({.address = fleet.vm(0).fleet.self});
  HandleFleetMessage(state, fleet.vm(7).registry, 1, gossip, now, out);
  cr_expect(state.watch_lease_expires_at == expires_at);
  // Its requests are answered as if there were one era.
  Registry& registry = fleet.vm(7).registry;
  registry.as_of.era = 4;
  registry.horizon.era = 4;
  registry.limits.revision.era = 4;
  out.clear();
  HandleFleetMessage(
      state, registry, 1,
      FactsRequest{.after = registry.horizon.number, .knows_eras = false}, now,
      out);
  cr_expect(out.empty(), "the sender lacks nothing");
}
