#include "core/registry/new_era.h"

#include <utility>

#include "core/fleet/catch_up.h"
#include "core/health/server_health.h"
#include "core/placement/mark_view.h"
#include "core/registry/facts_digest.h"
#include "core/registry/removal_hold.h"
#include "tests/support/facts.h"
#include "tests/support/properties.h"

// The store's return from an older copy, as one VM sees it.

using namespace knapweedlift;
using namespace knapweedlift::testing;

namespace {

constexpr Revision kLastOfOldEra = {1, 20};
constexpr Revision kFirstOfNewEra = {2, 12};
constexpr TimePoint kReturn = TimePoint(Duration(10'000));
constexpr Duration kListingTime{5'000};

ServerFact Draining(uint8_t number) {
  ServerFact server = Server(number);
  server.draining = true;
  return server;
}

// The next incarnation of a server.
ServerFact StartedAgain(uint8_t number) {
  ServerFact server = Server(number);
  server.started_at_ms = 2;
  server.mark = ComputeMark(server.name, 2);
  return server;
}

// The facts before the return. Configuration 1 was set at revision 10.
Registry OldEra(const std::vector<ServerFact>& servers) {
  Registry registry;
  FactDelta delta = SnapshotOf(servers, {1, 10});
  MergeDelta(registry, delta, At(0));
  MergeDelta(registry, {.after = {1, 10}, .as_of = kLastOfOldEra}, At(0));
  return registry;
}

FactDelta CopyOf(const std::vector<ServerFact>& servers,
                 uint64_t config_version = 1) {
  FactDelta copy = SnapshotOf(servers, kFirstOfNewEra);
  for (ServerChange& change : copy.servers) change.revision = {2, 9};
  copy.limits->revision = {2, 10};
  copy.limits->limits.version = config_version;
  return copy;
}

// A change of one server after the return.
FactDelta ChangeOf(const ServerFact& server, bool removed = false) {
  FactDelta delta{.after = kFirstOfNewEra, .as_of = kFirstOfNewEra + 1};
  delta.servers.push_back({.name = server.name, .revision = delta.as_of});
  if (!removed) delta.servers[0].server = server;
  return delta;
}

MarkView ViewOf(const Registry& registry, TimePoint now) {
  ViewBuildState memory;
  return BuildMarkView(registry, {}, "a", now, memory);
}

const ServerTarget& TargetOf(const MarkView& view, uint8_t number) {
  return view.servers.at(FindServerByMark(view, Server(number).mark));
}

bool GetsNewFlows(const Registry& registry, uint8_t number, TimePoint now) {
  return TargetOf(ViewOf(registry, now), number).eligible;
}

}  // namespace

Test(new_era, replaces_facts_though_its_revisions_are_lower) {
  Registry registry = OldEra({Server(1), Server(2)});
  ServerFact moved = Server(1);
  moved.slots = 7;
  cr_expect(MergeDelta(registry, CopyOf({moved, Server(3)}), kReturn) ==
            MergeResult::kMerged);
  cr_expect(registry.as_of == kFirstOfNewEra);
  cr_expect(registry.servers.at(Server(1).name).fact.slots == 7);
  cr_expect(not registry.servers.at(Server(3).name).removed);
  // A late answer of the old era changes nothing.
  const Registry before = registry;
  FactDelta late{.after = kLastOfOldEra, .as_of = kLastOfOldEra + 5};
  late.servers.push_back({.name = Server(3).name, .revision = late.as_of});
  cr_expect(MergeDelta(registry, late, kReturn) == MergeResult::kUnchanged);
  cr_expect(registry == before);
}

// The first watch after the return may succeed from the old revision.
Test(new_era, does_not_begin_with_changes_after_an_old_revision) {
  Registry registry = OldEra({Server(1)});
  const Registry before = registry;
  const FactDelta watched{.after = kLastOfOldEra, .as_of = {2, 25}};
  cr_expect(MergeDelta(registry, watched, kReturn) == MergeResult::kGap);
  cr_expect(registry == before);
}

// The rule: no VM goes back to an older configuration.
Test(new_era, keeps_a_newer_configuration) {
  Registry registry = OldEra({Server(1)});
  FactDelta newer{.after = kLastOfOldEra, .as_of = {1, 21}};
  AddConfigChanges(registry, {.limits = {.version = 8}, .routes = {Route(201)}},
                   {1, 21}, newer);
  MergeDelta(registry, newer, At(0));
  MergeDelta(registry, CopyOf({Server(1)}, 5), kReturn);
  cr_expect(registry.as_of == kFirstOfNewEra);
  cr_expect(registry.limits.limits.version == 8);
  // A VM that reads the copy at its start has other facts and is right, too.
  cr_expect(registry.digest == kNoDigest);
  cr_expect(not registry.routes.at(Route(201).address).removed);
  cr_expect(registry.routes.at(Route(200).address).removed);
  // The operator writes all again, from the oldest on.
  Revision revision = kFirstOfNewEra;
  for (const uint64_t version : {6, 8, 9}) {
    const bool is_older = version == 6;
    FactDelta change{.after = revision, .as_of = revision + 1};
    const RouteFact route = is_older ? Route(202) : Route(203);
    AddConfigChanges(registry,
                     {.limits = {.version = version}, .routes = {route}},
                     change.as_of, change);
    cr_expect(change.limits.has_value() == not is_older);
    MergeDelta(registry, change, kReturn);
    ++revision;
    cr_expect(registry.limits.limits.version == (is_older ? 8 : version));
  }
  cr_expect(not registry.routes.contains(Route(202).address));
  cr_expect(not registry.routes.at(Route(203).address).removed);
  cr_expect(registry.digest != kNoDigest);
}

// A VM that has just started may read the copy's configuration and send it.
Test(new_era, takes_no_routes_of_an_older_configuration_from_a_peer) {
  Registry registry = OldEra({Server(1)});
  registry.limits.limits.version = 8;
  MergeDelta(registry, CopyOf({Server(1)}, 5), kReturn);
  const Registry before = registry;
  FactDelta notice{.after = kFirstOfNewEra, .as_of = kFirstOfNewEra + 1};
  notice.routes.push_back({.address = Route(202).address,
                           .revision = notice.as_of,
                           .route = Route(202)});
  notice.limits = {.revision = notice.as_of, .limits = {.version = 6}};
  MergeDelta(registry, notice, kReturn);
  cr_expect(registry.as_of == notice.as_of);
  cr_expect(registry.routes == before.routes);
  notice.is_snapshot = true;
  notice.as_of = kFirstOfNewEra + 2;
  MergeDelta(registry, notice, kReturn);
  cr_expect(registry.routes == before.routes);
}

// The rule: a draining server gets no new flow.
Test(new_era, keeps_a_server_draining_that_the_copy_shows_as_ready) {
  Registry registry = OldEra({Draining(1), Server(2)});
  MergeDelta(registry, CopyOf({Server(1), Server(2)}), kReturn);
  cr_expect(not GetsNewFlows(registry, 1, kReturn));
  // Nothing else may conclude from its facts meanwhile.
  cr_expect(registry.digest == kNoDigest);
  // The server writes its entry again.
  MergeDelta(registry, ChangeOf(Draining(1)), kReturn);
  cr_expect(registry.digest != kNoDigest);
  cr_expect(not ApplyDeferredChanges(registry, kReturn + kListingTime));
  cr_expect(not GetsNewFlows(registry, 1, kReturn + kListingTime));
}

// The store lists a server that has ended until its entry expires again.
Test(new_era, sends_no_flows_to_a_server_that_has_ended) {
  Registry registry = OldEra({Server(1), Server(2)});
  FactDelta removal{.after = kLastOfOldEra, .as_of = {1, 21}};
  removal.servers.push_back({.name = Server(1).name, .revision = {1, 21}});
  MergeDelta(registry, removal, At(0));
  const FactDelta copy = CopyOf({Server(1), Server(2)});
  MergeDelta(registry, copy, kReturn);
  cr_expect(not GetsNewFlows(registry, 1, kReturn));
  // A read of all entries within the era tells nothing new.
  FactDelta again = copy;
  again.as_of = kFirstOfNewEra + 1;
  MergeDelta(registry, again, kReturn);
  cr_expect(not GetsNewFlows(registry, 1, kReturn));
  Registry expired = registry;
  MergeDelta(
      expired,
      {.after = again.as_of,
       .as_of = again.as_of + 1,
       .servers = {{.name = Server(1).name, .revision = again.as_of + 1}}},
      kReturn);
  cr_expect(not ApplyDeferredChanges(expired, kReturn + kListingTime));
  cr_expect(not GetsNewFlows(expired, 1, kReturn + kListingTime));
  // An entry that does not expire is that of a running server.
  cr_expect(ApplyDeferredChanges(registry, kReturn + kListingTime));
  cr_expect(GetsNewFlows(registry, 1, kReturn + kListingTime));
  cr_expect(registry.digest != kNoDigest);
}

// Its packets would get the mark of an incarnation that has ended.
Test(new_era, does_not_go_back_to_an_earlier_incarnation) {
  ServerFact first = Server(1);
  first.started_at_ms = 1;
  Registry registry = OldEra({StartedAgain(1)});
  MergeDelta(registry, CopyOf({first}), kReturn);
  cr_expect(registry.servers.at(first.name).fact.mark == StartedAgain(1).mark);
  cr_expect(registry.retired_marks.empty());
  MergeDelta(registry, ChangeOf(StartedAgain(1)), kReturn);
  cr_expect(registry.deferred_servers.empty());
  cr_expect(registry.retired_marks.empty());
}

// The rule: no open flow ends because the copy lacks an entry. A server that
// lives is back two seconds after the return.
Test(new_era, holds_servers_that_the_copy_lacks) {
  Registry registry = OldEra({Server(1), Draining(2)});
  MergeDelta(registry, CopyOf({}), kReturn);
  cr_expect(TargetOf(ViewOf(registry, kReturn), 1).removal_held);
  cr_expect(GetsNewFlows(registry, 1, kReturn + Duration(2'400)));
  cr_expect(not GetsNewFlows(registry, 1, kReturn + Duration(2'500)));
  cr_expect(not GetsNewFlows(registry, 2, kReturn));
  MergeDelta(registry, ChangeOf(Server(1)), kReturn);
  cr_expect(GetsNewFlows(registry, 1, kReturn + Duration(2'500)));
}

// The server may have lost its entry again before it could write it.
Test(new_era, extends_the_hold_at_the_next_return) {
  Registry registry = OldEra({Server(1), Server(2)});
  MergeDelta(registry, CopyOf({Server(2)}), kReturn);
  FactDelta second = CopyOf({Server(2)});
  second.as_of = {3, 11};
  second.limits->revision = {3, 10};
  MergeDelta(registry, second, kReturn + Duration(1'000));
  cr_expect(GetsNewFlows(registry, 1, kReturn + Duration(3'400)));
  cr_expect(not GetsNewFlows(registry, 1, kReturn + Duration(3'500)));
  // A server whose hold has ended is gone.
  FactDelta third = second;
  third.as_of = {4, 11};
  third.limits->revision = {4, 10};
  MergeDelta(registry, third, kReturn + Duration(4'000));
  cr_expect(not GetsNewFlows(registry, 1, kReturn + Duration(4'000)));
}

// A read of everything every 0.5 s until the operator writes.
Test(new_era, postpones_a_repair) {
  Registry registry = OldEra({Draining(1)});
  FleetState state;
  state.repair.needed = true;
  cr_expect(ShouldCatchUp(state, registry, kReturn));
  MergeDelta(registry, CopyOf({Server(1)}), kReturn);
  cr_expect(not ShouldCatchUp(state, registry, kReturn));
  MergeDelta(registry, ChangeOf(Draining(1)), kReturn);
  cr_expect(ShouldCatchUp(state, registry, kReturn));
}

// Server 2 has the address of server 1, which has ended. The copy lists
// server 1 and lacks server 2.
Test(new_era, leaves_a_reused_address_to_its_last_server) {
  ServerFact successor = Server(2);
  successor.endpoint = Server(1).endpoint;
  Registry registry = OldEra({Server(1)});
  FactDelta change{.after = kLastOfOldEra, .as_of = {1, 22}};
  change.servers.push_back({.name = Server(1).name, .revision = {1, 21}});
  change.servers.push_back(
      {.name = successor.name, .revision = {1, 22}, .server = successor});
  MergeDelta(registry, change, At(0));
  MergeDelta(registry, CopyOf({Server(1)}), kReturn);
  const MarkView view = ViewOf(registry, kReturn);
  cr_expect(not TargetOf(view, 2).replaced);
  cr_expect(TargetOf(view, 2).eligible);
  cr_expect(not TargetOf(view, 1).eligible);
}

Test(new_era, keeps_evacuations_until_the_operator_writes_again) {
  Registry registry = OldEra({Server(1)});
  MergeDelta(registry, EvacuationDelta("begun", {1, 21}), At(0));
  MergeDelta(registry, EvacuationDelta("ended", {1, 22}), At(0));
  MergeDelta(registry, EvacuationDelta("ended", {1, 23}, false), At(0));
  FactDelta copy = CopyOf({Server(1)});
  copy.evacuations = {{.domain = "ended", .revision = {2, 9}, .active = true}};
  MergeDelta(registry, copy, kReturn);
  cr_expect(not registry.evacuations.at("begun").removed);
  cr_expect(registry.evacuations.at("ended").removed);
  Registry written = registry;
  MergeDelta(written, EvacuationDelta("begun", kFirstOfNewEra + 1), kReturn);
  MergeDelta(written, EvacuationDelta("ended", kFirstOfNewEra + 2, false),
             kReturn);
  cr_expect(written.deferred_evacuations.empty());
  // The store decides if the operator does not write.
  cr_expect(ApplyDeferredChanges(registry, kReturn + Duration(60'000)));
  cr_expect(registry.evacuations.at("begun").removed);
  cr_expect(not registry.evacuations.at("ended").removed);
}

// The cost: the VM that reads the snapshot sends the others changes only.
Test(new_era, reaches_peers_as_changes) {
  const Registry peer = OldEra({Server(1), Server(2), Draining(3)});
  Registry reader = peer;
  const Revision before = reader.as_of;
  MergeDelta(reader, CopyOf({Server(1), Server(3)}), kReturn);
  const FactDelta delta = DeltaSince(reader, before);
  cr_expect(not delta.is_snapshot);
  cr_expect(delta.routes.empty());
  cr_expect(delta.servers.size() == 2);
  Registry receiver = peer;
  cr_expect(MergeDelta(receiver, delta, kReturn) == MergeResult::kMerged);
  cr_expect(receiver.as_of == reader.as_of);
  cr_expect(receiver.servers == reader.servers);
  cr_expect(receiver.deferred_servers == reader.deferred_servers);
  // It can do the same for another one.
  cr_expect(not NeedsSnapshot(receiver, before));
  const FactsVersion version = FactsVersionOf(receiver);
  cr_expect(HasChangesSince(version.past_spans, version.horizon, before));
}

Test(new_era, reaches_a_peer_that_misses_several_eras_as_changes) {
  const Registry peer = OldEra({Server(1), Server(2)});
  Registry reader = peer;
  MergeDelta(reader, CopyOf({Server(1)}), kReturn);
  MergeDelta(reader, ChangeOf(Server(2)), kReturn);
  FactDelta second = CopyOf({Server(1)});
  second.as_of = {3, 11};
  for (ServerChange& change : second.servers) change.revision = {3, 9};
  second.limits->revision = {3, 10};
  MergeDelta(reader, second, kReturn);
  cr_assert(reader.as_of == second.as_of);
  for (const Revision since : {kLastOfOldEra, Revision(2, 13)}) {
    cr_expect(not NeedsSnapshot(reader, since));
  }
  Registry receiver = peer;
  MergeDelta(receiver, DeltaSince(reader, peer.as_of), kReturn);
  cr_expect(receiver.as_of == reader.as_of);
  cr_expect(receiver.servers.at(Server(2).name).removed);
}

// It knows changes of the old era that the sender does not.
Test(new_era, needs_a_snapshot_on_a_peer_that_was_ahead) {
  Registry reader = OldEra({Server(1)});
  Registry ahead = reader;
  FactDelta change{.after = kLastOfOldEra, .as_of = {1, 21}};
  change.servers.push_back(
      {.name = Server(1).name, .revision = {1, 21}, .server = Draining(1)});
  MergeDelta(ahead, change, At(0));
  const Revision before = reader.as_of;
  MergeDelta(reader, CopyOf({Server(1)}), kReturn);
  cr_expect(MergeDelta(ahead, DeltaSince(reader, before), kReturn) ==
            MergeResult::kGap);
  cr_assert(NeedsSnapshot(reader, ahead.as_of));
  MergeDelta(ahead, DeltaSince(reader, ahead.as_of), kReturn);
  cr_expect(ahead.as_of == reader.as_of);
  cr_expect(not GetsNewFlows(ahead, 1, kReturn));
}

// What was written between the two reads is not among the reader's changes if
// it was the same before the return.
Test(new_era, needs_a_snapshot_on_a_peer_that_read_the_copy_earlier) {
  Registry reader = OldEra({Server(1), Server(2)});
  Registry earlier;
  FactDelta copy = CopyOf({Server(1)});
  copy.as_of = {2, 10};
  MergeDelta(earlier, copy, kReturn);
  const Revision before = reader.as_of;
  MergeDelta(reader, CopyOf({Server(1), Server(2)}), kReturn);
  cr_expect(MergeDelta(earlier, DeltaSince(reader, before), kReturn) ==
            MergeResult::kGap);
  MergeDelta(earlier, DeltaSince(reader, earlier.as_of), kReturn);
  cr_expect(not earlier.servers.at(Server(2).name).removed);
}

// Removals that are no longer known one by one were before the spans' end.
Test(new_era, needs_a_snapshot_once_tombstones_are_pruned) {
  Registry reader = OldEra({Server(1), Server(2)});
  MergeDelta(reader, CopyOf({Server(1)}), kReturn);
  cr_expect(not NeedsSnapshot(reader, kLastOfOldEra));
  PruneTombstones(reader, kReturn + kTombstoneLifetime + Duration(1));
  cr_expect(NeedsSnapshot(reader, kLastOfOldEra));
}

// An entry of the copy does not show that its server lives: a check passed at
// its address may be passed by another server.
Test(new_era, makes_listings_unreliable_for_a_while) {
  Registry registry = OldEra({Server(1)});
  const Mark mark = Server(1).mark;
  HealthTable health;
  RecordPeerSuspicion(health, mark, At(0));
  while (not IsSuspect(health, mark, At(60'000))) {
    RecordCheck(health, mark, CheckOutcome::kRefused, {}, At(100));
  }
  const auto passes_check = [&](TimePoint now) {
    const MarkView view = ViewOf(registry, now);
    const CheckedServer checked{
        .listed = IsListedAsAlive(view, TargetOf(view, 1), now)};
    HealthTable table = health;
    return RecordCheck(table, mark, CheckOutcome::kPassed, checked, now) ==
           HealthVerdict::kHealthy;
  };
  cr_expect(passes_check(kReturn), "listed for longer than an ended server");
  MergeDelta(registry, CopyOf({Server(1)}), kReturn);
  cr_expect(not passes_check(kReturn));
  cr_expect(passes_check(kReturn + kListingTime));
}

// After a return a peer's snapshot gives several records the same revision.
Test(new_era, leaves_an_address_to_the_server_that_started_last) {
  ServerFact former = Server(1);
  former.started_at_ms = 2'000;
  ServerFact present = Server(2);
  present.started_at_ms = 3'000;
  present.endpoint = former.endpoint;
  for (const bool swapped : {false, true}) {
    if (swapped) std::swap(former.started_at_ms, present.started_at_ms);
    const MarkView view = ViewOf(OldEra({former, present}), At(0));
    cr_expect(TargetOf(view, 1).replaced != swapped);
    cr_expect(TargetOf(view, 2).replaced == swapped);
  }
}

// A malformed message must not move a VM to an era without its facts.
Test(new_era, does_not_begin_by_a_version_or_by_spans_of_another_era) {
  Registry registry = OldEra({Server(1)});
  const Registry before = registry;
  FleetState state;
  FleetOutbox out;
  const FactsVersion version{.as_of = {2, 5}, .horizon = {2, 1}};
  CatchUpWith(state, registry, version, Address(9), kReturn, out);
  cr_expect(registry == before);
  const FactDelta delta{.after = kLastOfOldEra,
                        .as_of = {2, 25},
                        .spans = {{.first = {1, 1}, .last = {1, 99}}}};
  cr_expect(MergeDelta(registry, delta, kReturn) == MergeResult::kGap);
  cr_expect(registry == before);
}
