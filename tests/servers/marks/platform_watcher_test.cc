#include "servers/marks/platform_watcher.h"

#include <boost/fiber/operations.hpp>

#include "core/registry/facts_digest.h"
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

// Runs the first reads of a VM without seeds and returns its facts.
Registry ReadFirstFacts(DrainingSource& source) {
  Reactor reactor;
  Registry registry;
  FleetMessenger messenger(reactor, registry);
  cr_assert(
      messenger
          .Open(1, {.address = *ParseIpAddress("127.0.0.1")}, "coimbra-a", {})
          .ok());
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
  cr_assert(
      messenger
          .Open(1, {.address = *ParseIpAddress("127.0.0.1")}, "coimbra-a", {})
          .ok());
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
