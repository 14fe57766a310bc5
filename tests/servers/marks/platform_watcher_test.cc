#include "servers/marks/platform_watcher.h"

#include <boost/fiber/operations.hpp>

#include "core/registry/facts_digest.h"
#include "core/result_code.h"
#include "drivers/clock.h"
#include "tests/support/facts.h"
#include "tests/support/properties.h"

using namespace knapweedlift;
using namespace knapweedlift::testing;

namespace {

// Lists one server, which starts to drain while it is being read.
class DrainingSource : public FactSource {
 public:
  explicit DrainingSource(Duration read_time) : read_time_(read_time) {}

  absl::StatusOr<SourceUpdate> ReadAll(size_t /*max_pages*/,
                                       uint64_t /*known_era*/,
                                       TimePoint /*now*/) override {
    boost::this_fiber::sleep_for(read_time_);
    SourceUpdate update{.as_of = 10,
                        .is_snapshot = true,
                        .servers = SnapshotOf({Server(1)}).servers};
    if (config_.has_value()) {
      update.config = {.revision = 10, .config = *config_};
    }
    return update;
  }

  absl::StatusOr<SourceUpdate> WaitForChanges(Revision after,
                                              TimePoint /*wait_until*/,
                                              TimePoint /*now*/) override {
    ++change_calls_;
    ServerFact server = Server(1);
    server.draining = true;
    SourceUpdate update{.after = after, .as_of = 11};
    update.servers.push_back(
        {.name = server.name, .revision = 11, .server = server});
    return update;
  }

  // Adds a configuration with one route to the snapshot.
  void SetConfig(const ConfigFact& config) { config_ = config; }

  size_t change_calls() const { return change_calls_; }

 private:
  Duration read_time_;
  std::optional<ConfigFact> config_;
  size_t change_calls_ = 0;
};

// Loses its latest changes and states no era.
class ForgetfulSource : public FactSource {
 public:
  absl::StatusOr<SourceUpdate> ReadAll(size_t /*max_pages*/, uint64_t known_era,
                                       TimePoint /*now*/) override {
    ++reads_;
    SourceUpdate update{.states_era = false,
                        .as_of = 7,
                        .is_snapshot = true,
                        .servers = SnapshotOf({Server(2)}).servers};
    update.config = {
        .revision = 6,
        .config = {.limits = {.version = 1}, .routes = {Route(200)}}};
    SetEra(update, known_era);
    return update;
  }

  absl::StatusOr<SourceUpdate> WaitForChanges(Revision after,
                                              TimePoint /*wait_until*/,
                                              TimePoint /*now*/) override {
    if (after.number > 7) {
      return MakeStatus(ResultCode::kPlatformHistoryGone, "gone");
    }
    return SourceUpdate{.era = after.era, .after = after, .as_of = after};
  }

  size_t reads() const { return reads_; }

 private:
  size_t reads_ = 0;
};

// Responds as the store did before its return, while a peer tells of it.
class LateSource : public FactSource {
 public:
  explicit LateSource(Registry& registry) : registry_(registry) {}

  absl::StatusOr<SourceUpdate> ReadAll(size_t /*max_pages*/,
                                       uint64_t /*known_era*/,
                                       TimePoint /*now*/) override {
    return MakeStatus(ResultCode::kPlatformAnswer, "unused");
  }

  absl::StatusOr<SourceUpdate> WaitForChanges(Revision after,
                                              TimePoint /*wait_until*/,
                                              TimePoint now) override {
    MergeDelta(registry_, SnapshotOf({Server(2)}, {1, 4}), now);
    return SourceUpdate{.era = after.era, .after = after, .as_of = after};
  }

 private:
  Registry& registry_;
};

// Opens the messenger of a VM without seeds.
void Open(FleetMessenger& messenger) {
  cr_assert(
      messenger
          .Open(1, {.address = *ParseIpAddress("127.0.0.1")}, "coimbra-a", {})
          .ok());
}

// Runs the first reads of a VM without seeds and returns its facts.
Registry ReadFirstFacts(DrainingSource& source) {
  Reactor reactor;
  Registry registry;
  FleetMessenger messenger(reactor, registry);
  Open(messenger);
  PlatformWatcher watcher(source, messenger, registry, {}, [] {});
  watcher.Run();
  return registry;
}

}  // namespace

// The load: many pages over a slow link.
Test(platform_watcher, a_long_first_read_is_followed_by_the_changes) {
  DrainingSource source(Duration(300));
  const Registry registry = ReadFirstFacts(source);
  cr_expect(source.change_calls() == 1);
  cr_expect(registry.as_of == 11);
  cr_expect(registry.servers.at(Server(1).name).fact.draining);
}

Test(platform_watcher, a_short_first_read_needs_no_further_call) {
  DrainingSource source(Duration(1));
  cr_expect(ReadFirstFacts(source).as_of == 10);
  cr_expect(source.change_calls() == 0);
}

// The loss: a route of this VM is wrong, and its revision does not show it.
Test(platform_watcher, a_repair_replaces_facts_of_the_same_revision) {
  DrainingSource source(Duration(0));
  source.SetConfig({.limits = {.version = 1}, .routes = {Route(200)}});
  Reactor reactor;
  Registry registry = RegistryOf({Server(1)});
  registry.routes.at(Route(200).address).fact = Route(200, "catalogue");
  registry.digest = ComputeFactsDigest(registry);
  FleetMessenger messenger(reactor, registry);
  Open(messenger);
  messenger.state().repair.needed = true;
  bool changed = false;
  PlatformWatcher watcher(source, messenger, registry, {},
                          [&changed] { changed = true; });
  cr_assert(watcher.ShouldRun(Now()));
  watcher.Run();
  cr_expect(changed);
  cr_expect(registry.routes.at(Route(200).address).fact == Route(200));
  cr_expect(not messenger.state().repair.needed);
}

Test(platform_watcher, a_late_response_of_an_earlier_era_confirms_nothing) {
  Reactor reactor;
  Registry registry = RegistryOf({Server(1)});
  LateSource source(registry);
  FleetMessenger messenger(reactor, registry);
  Open(messenger);
  messenger.state().lagging_since = Now();
  PlatformWatcher watcher(source, messenger, registry, {}, [] {});
  watcher.Run();
  cr_expect(registry.as_of == Revision(1, 4));
  cr_expect(messenger.state().confirmed_at == TimePoint{});
  cr_expect(not messenger.state().watching);
}

// A loop of watches that are gone and of snapshots that count as old would go
// on until the revisions have passed the old one.
Test(platform_watcher, notices_a_return_of_a_store_that_states_no_era) {
  ForgetfulSource source;
  Reactor reactor;
  Registry registry = RegistryOf({Server(1)});
  cr_assert(registry.as_of == 10);
  FleetMessenger messenger(reactor, registry);
  Open(messenger);
  messenger.state().lagging_since = Now();
  PlatformWatcher watcher(source, messenger, registry, {}, [] {});
  watcher.Run();
  cr_expect(registry.as_of == Revision(1, 7));
  cr_expect(messenger.state().repair == RepairState(),
            "the next difference is acted on at once");
  cr_expect(not registry.servers.at(Server(2).name).removed);
  watcher.Run();
  cr_expect(source.reads() == 1);
}
