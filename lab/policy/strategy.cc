#include "lab/policy/strategy.h"

#include "core/flow/flow_key.h"

namespace knapweedlift::lab {
namespace {

struct NamedStrategy {
  Strategy strategy;
  const char* name;
};

constexpr NamedStrategy kStrategyNames[] = {
    {Strategy::kBucketTables, "ours"},
    {Strategy::kHash, "hash"},
    {Strategy::kMaglevLocal, "maglev-local"},
    {Strategy::kReplicate, "replicate"},
    {Strategy::kHomeAll, "home-all"}};

}  // namespace

std::optional<Strategy> StrategyByName(const std::string& name) {
  for (const NamedStrategy& named : kStrategyNames) {
    if (name == named.name) return named.strategy;
  }
  return std::nullopt;
}

const char* StrategyName(Strategy strategy) {
  for (const NamedStrategy& named : kStrategyNames) {
    if (strategy == named.strategy) return named.name;
  }
  return "unknown";
}

const std::vector<Strategy>& AllStrategies() {
  static const std::vector<Strategy> all = [] {
    std::vector<Strategy> strategies;
    for (const NamedStrategy& named : kStrategyNames) {
      strategies.push_back(named.strategy);
    }
    return strategies;
  }();
  return all;
}

ServerId ChooseServerByHash(const Service& service, uint64_t fingerprint) {
  ServerId best = kNoServer;
  uint64_t best_hash = 0;
  for (const BackendServer& server : service.servers) {
    if (!AcceptsNewFlows(server)) continue;
    const uint64_t hash = MixHash(fingerprint, server.number);
    if (best != kNoServer && hash <= best_hash) continue;
    best = server.number;
    best_hash = hash;
  }
  return best;
}

}  // namespace knapweedlift::lab
