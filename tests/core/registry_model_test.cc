#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <ostream>
#include <set>
#include <tuple>

#include "core/registry/fact_source.h"
#include "core/registry/facts_digest.h"
#include "core/registry/registry.h"
#include "tests/support/facts.h"
#include "tests/support/properties.h"

// Checks the replication of facts against a model of the platform's store:
// after a bounded exchange between any registries, all with the same revision
// hold the same facts, and those that the store had at that revision.

using namespace knapweedlift;
using namespace knapweedlift::testing;

namespace {

constexpr size_t kRegistries = 4;
constexpr uint8_t kServers = 3;
constexpr uint8_t kRoutes = 3;
constexpr uint8_t kDomains = 2;

// The facts in force at one revision.
struct Content {
  std::map<std::string, ServerFact> servers;
  std::map<Endpoint, RouteFact> routes;
  std::set<std::string> evacuations;
  std::vector<ServiceLimits> limits;
  uint64_t config_version = 0;

  bool operator==(const Content&) const = default;
};

Content ContentOf(const Registry& registry) {
  Content content{.limits = registry.limits.limits.services,
                  .config_version = registry.limits.limits.version};
  for (const auto& [name, record] : registry.servers) {
    if (!record.removed) content.servers[name] = record.fact;
  }
  for (const auto& [address, record] : registry.routes) {
    if (!record.removed) content.routes[address] = record.fact;
  }
  for (const auto& [domain, record] : registry.evacuations) {
    if (!record.removed) content.evacuations.insert(domain);
  }
  return content;
}

// A store whose revision counts its changes, with its whole past for the
// comparison, and a history of changes that can be compacted.
class ModelStore {
 public:
  ModelStore() {
    PutServer(0, false);
    PutConfig(0);
  }

  void PutServer(uint8_t number, bool draining) {
    ServerFact server = Server(number);
    server.draining = draining;
    servers_[server.name] = {
        .name = server.name, .revision = revision_ + 1, .server = server};
    Append(servers_[server.name], {});
  }

  void RemoveServer(uint8_t number) {
    const std::string name = Server(number).name;
    if (servers_.erase(name) == 0) return;
    Append(ServerChange{.name = name, .revision = revision_ + 1}, {});
  }

  void PutEvacuation(uint8_t number) {
    const std::string domain = "domain-" + std::to_string(number);
    evacuations_[domain] = {
        .domain = domain, .revision = revision_ + 1, .active = true};
    Append({}, {}, evacuations_[domain]);
  }

  void EndEvacuation(uint8_t number) {
    const std::string domain = "domain-" + std::to_string(number);
    if (evacuations_.erase(domain) == 0) return;
    Append({}, {},
           EvacuationChange{.domain = domain, .revision = revision_ + 1});
  }

  // Each two bits of `services` state the service of one route, 3 that the
  // configuration lacks the route.
  void PutConfig(uint8_t services) {
    constexpr uint8_t kAbsent = 3;
    ConfigFact config{.limits = {.version = ++version_}};
    for (uint8_t i = 0; i < kRoutes; ++i) {
      const int service = (services >> (2 * i)) & kAbsent;
      if (service == kAbsent) continue;
      config.routes.push_back(Route(i, "service-" + std::to_string(service)));
      config.routes.back().quality.priority = services % 3;
    }
    config.limits.services = {
        {.service = "service-0", .cold_rate = static_cast<double>(services)}};
    config_ = {.revision = revision_ + 1, .config = config};
    Append({}, config_);
  }

  // Drops the history of changes.
  void Compact() { compacted_ = revision_; }

  // Returns from a copy that lacks the last `count` changes, or all that the
  // present era has, if these are fewer.
  void ReturnFromCopy(uint64_t count) {
    const auto copy = copies_.upper_bound(revision_.number > count
                                              ? revision_ - count
                                              : Revision(revision_.era, 0));
    const Copy& state =
        (copy == copies_.begin() ? copy : std::prev(copy))->second;
    const Copy restored = state;
    revision_ = {revision_.era + 1, restored.revision.number};
    servers_ = restored.servers;
    evacuations_ = restored.evacuations;
    config_ = restored.config;
    // What a store says is of its present era.
    for (auto& [name, change] : servers_) {
      change.revision.era = revision_.era;
    }
    for (auto& [domain, change] : evacuations_) {
      change.revision.era = revision_.era;
    }
    config_.revision.era = revision_.era;
    history_.clear();
    compacted_ = revision_;
    Record();
  }

  // Reads the changes after the registry's revision, or everything if it has
  // none, the history is gone, or a new era has begun.
  void ReadInto(Registry& registry, bool whole, TimePoint now) const {
    FactDelta delta{.after = registry.as_of, .as_of = revision_};
    delta.is_snapshot =
        whole || registry.as_of == 0 || registry.as_of < compacted_;
    std::optional<ConfigChange> config;
    if (delta.is_snapshot) {
      for (const auto& [name, change] : servers_) {
        delta.servers.push_back(change);
      }
      for (const auto& [domain, change] : evacuations_) {
        delta.evacuations.push_back(change);
      }
      config = config_;
    } else {
      for (const Event& event : history_) {
        if (event.revision <= registry.as_of) continue;
        if (event.server.has_value()) delta.servers.push_back(*event.server);
        if (event.config.has_value()) config = event.config;
        if (event.evacuation.has_value()) {
          delta.evacuations.push_back(*event.evacuation);
        }
      }
    }
    if (config.has_value()) {
      AddConfigChanges(registry, config->config, config->revision, delta);
    }
    MergeDelta(registry, delta, now);
  }

  Revision revision() const { return revision_; }
  const Content& ContentAt(Revision revision) const {
    return past_.at(revision);
  }

 private:
  struct Event {
    Revision revision = 0;
    std::optional<ServerChange> server;
    std::optional<ConfigChange> config;
    std::optional<EvacuationChange> evacuation;
  };

  void Append(std::optional<ServerChange> server,
              std::optional<ConfigChange> config,
              std::optional<EvacuationChange> evacuation = {}) {
    ++revision_;
    history_.push_back({.revision = revision_,
                        .server = server,
                        .config = config,
                        .evacuation = evacuation});
    Record();
  }

  // Keeps the present state for the comparison and for later returns.
  void Record() {
    copies_[revision_] = {.revision = revision_,
                          .servers = servers_,
                          .evacuations = evacuations_,
                          .config = config_};
    Content content{.limits = config_.config.limits.services,
                    .config_version = config_.config.limits.version};
    for (const auto& [domain, change] : evacuations_) {
      content.evacuations.insert(domain);
    }
    for (const auto& [name, change] : servers_) {
      content.servers[name] = *change.server;
    }
    for (const RouteFact& route : config_.config.routes) {
      content.routes[route.address] = route;
    }
    past_[revision_] = content;
  }

  struct Copy {
    Revision revision;
    std::map<std::string, ServerChange> servers;
    std::map<std::string, EvacuationChange> evacuations;
    ConfigChange config;
  };

  Revision revision_ = {1, 0};
  Revision compacted_ = {1, 0};
  uint64_t version_ = 0;
  std::map<Revision, Copy> copies_;
  std::map<std::string, ServerChange> servers_;
  std::map<std::string, EvacuationChange> evacuations_;
  ConfigChange config_;
  std::deque<Event> history_;
  std::map<Revision, Content> past_;
};

enum class Action : uint8_t {
  kPutServer,
  kRemoveServer,
  kPutConfig,
  kCompact,
  // A registry reads the changes, or everything, from the store.
  kReadChanges,
  kReadAll,
  // A registry reads the changes and sends them to another one.
  kReadAndSend,
  // A registry sends the changes since a recent revision, or everything.
  kSendChanges,
  kSendAll,
  // A message that was sent before arrives again, or late.
  kRepeat,
  kRestart,
  kPrune,
  kPutEvacuation,
  kEndEvacuation,
  // The store returns from an older copy.
  kReturn,
};
constexpr int kActionsWithoutReturn = 14;
constexpr int kActions = 15;

struct Step {
  Action action = Action::kPutServer;
  uint8_t actor = 0;
  uint8_t peer = 0;
  uint8_t detail = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{" << static_cast<int>(step.action) << ", "
             << static_cast<int>(step.actor) << ", "
             << static_cast<int>(step.peer) << ", "
             << static_cast<int>(step.detail) << "}";
}

rc::Gen<Step> AnyStep(int actions) {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, actions),
                     rc::gen::inRange<uint8_t>(0, kRegistries),
                     rc::gen::inRange<uint8_t>(0, kRegistries),
                     rc::gen::inRange<uint8_t>(0, 64)),
      [](const std::tuple<int, uint8_t, uint8_t, uint8_t>& numbers) {
        const auto& [action, actor, peer, detail] = numbers;
        return Step{static_cast<Action>(action), actor, peer, detail};
      });
}

class Model {
 public:
  Model() {
    for (Registry& registry : registries_)
      store_.ReadInto(registry, true, now_);
  }

  void Run(const Step& step) {
    now_ += Duration(1);
    Registry& actor = registries_[step.actor];
    Registry& peer = registries_[step.peer];
    switch (step.action) {
      case Action::kPutServer:
        store_.PutServer(step.detail % kServers, step.detail % 2 == 0);
        break;
      case Action::kRemoveServer:
        store_.RemoveServer(step.detail % kServers);
        break;
      case Action::kPutConfig:
        store_.PutConfig(step.detail);
        break;
      case Action::kPutEvacuation:
        store_.PutEvacuation(step.detail % kDomains);
        break;
      case Action::kEndEvacuation:
        store_.EndEvacuation(step.detail % kDomains);
        break;
      case Action::kCompact:
        store_.Compact();
        break;
      case Action::kReadChanges:
      case Action::kReadAll:
        store_.ReadInto(actor, step.action == Action::kReadAll, now_);
        break;
      case Action::kReadAndSend: {
        const Revision before = actor.as_of;
        store_.ReadInto(actor, false, now_);
        Send(DeltaSince(actor, before), peer);
        break;
      }
      case Action::kSendChanges:
        Send(DeltaSince(actor,
                        actor.as_of - std::min<uint64_t>(actor.as_of.number,
                                                         step.detail % 8)),
             peer);
        break;
      case Action::kSendAll:
        Send(DeltaSince(actor, 0), peer);
        break;
      case Action::kRepeat:
        if (!sent_.empty()) {
          MergeDelta(peer, sent_[step.detail % sent_.size()], now_);
        }
        break;
      case Action::kRestart:
        actor = {};
        break;
      case Action::kReturn:
        store_.ReturnFromCopy(step.detail % 8);
        break;
      case Action::kPrune:
        PruneTombstones(actor, now_ + kTombstoneLifetime + Duration(1));
        break;
    }
  }

  // The registry with the newest facts brings the others to its revision. Only
  // after a return of the store may it lack changes that they need.
  void Exchange(bool store_returned = false) {
    Registry& source = registries_[0];
    store_.ReadInto(source, false, now_);
    for (Registry& registry : registries_) {
      const MergeResult result =
          MergeDelta(registry, DeltaSince(source, registry.as_of), now_);
      // A VM that lags behind reads the platform, or asks for a snapshot.
      const bool lags = result == MergeResult::kOtherConfig ||
                        (store_returned && result == MergeResult::kGap);
      if (lags) MergeDelta(registry, DeltaSince(source, 0), now_);
    }
  }

  // The operator writes a new configuration, and what the store's copy says
  // takes effect where nothing else was written.
  void Settle() {
    store_.PutConfig(0);
    Exchange(true);
    now_ += Duration(60'000);
    for (Registry& registry : registries_) {
      ApplyDeferredChanges(registry, now_);
    }
  }

  std::vector<uint64_t> ConfigVersions() const {
    std::vector<uint64_t> versions;
    for (const Registry& registry : registries_) {
      versions.push_back(registry.limits.limits.version);
    }
    return versions;
  }

  // True if the registry holds the facts of the store at its revision, and a
  // digest of them.
  bool IsCorrect(const Registry& registry) const {
    return registry.as_of == 0 ||
           (ContentOf(registry) == store_.ContentAt(registry.as_of) &&
            registry.digest != kNoDigest &&
            registry.digest == ComputeFactsDigest(registry));
  }

  // True if digests are equal where the facts are.
  bool DigestsMatchFacts() const {
    for (const Registry& one : registries_) {
      for (const Registry& other : registries_) {
        const bool same_digest = one.digest == other.digest;
        if (same_digest != (ContentOf(one) == ContentOf(other))) return false;
      }
    }
    return true;
  }

  bool AllAreCorrect() const {
    return std::all_of(
        registries_.begin(), registries_.end(),
        [this](const Registry& registry) { return IsCorrect(registry); });
  }

  bool AllAreAt(Revision revision) const {
    return std::all_of(registries_.begin(), registries_.end(),
                       [revision](const Registry& registry) {
                         return registry.as_of == revision;
                       });
  }

  const ModelStore& store() const { return store_; }

 private:
  void Send(const FactDelta& delta, Registry& to) {
    sent_.push_back(delta);
    MergeDelta(to, delta, now_);
  }

  ModelStore store_;
  std::array<Registry, kRegistries> registries_;
  std::vector<FactDelta> sent_;
  TimePoint now_ = At(0);
};

}  // namespace

// Guards against a route that changes and changes back between two reads of one
// VM and stays wrong on a peer that saw the change in between (review case 2).
Test(registry_model, facts_depend_on_the_revision_alone, .timeout = 300) {
  ExpectProperty("facts are those of the store", [] {
    const auto steps =
        *rc::gen::container<std::vector<Step>>(AnyStep(kActionsWithoutReturn));
    Model model;
    for (const Step& step : steps) {
      model.Run(step);
      RC_ASSERT(model.AllAreCorrect());
      RC_ASSERT(model.DigestsMatchFacts());
    }
    model.Exchange();
    RC_ASSERT(model.AllAreCorrect());
    RC_ASSERT(model.AllAreAt(model.store().revision()));
  });
}

// Guards against changes that are lost because the store gives out revisions
// again after its return from an older copy (review cases 11 and 13).
Test(registry_model, facts_of_several_eras_converge, .timeout = 300) {
  ExpectProperty("facts converge", [] {
    const auto steps =
        *rc::gen::container<std::vector<Step>>(AnyStep(kActions));
    Model model;
    std::vector<uint64_t> versions = model.ConfigVersions();
    for (const Step& step : steps) {
      model.Run(step);
      const std::vector<uint64_t> after = model.ConfigVersions();
      for (size_t i = 0; i < after.size(); ++i) {
        const bool restarted = step.action == Action::kRestart;
        RC_ASSERT(restarted || after[i] >= versions[i]);
      }
      versions = after;
    }
    model.Settle();
    RC_ASSERT(model.AllAreAt(model.store().revision()));
    RC_ASSERT(model.AllAreCorrect());
    RC_ASSERT(model.DigestsMatchFacts());
  });
}
