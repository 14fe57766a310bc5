#include "core/registry/facts_digest.h"

#include <xxhash.h>

#include <bit>
#include <string_view>

#include "core/registry/registry.h"

namespace knapweedlift {
namespace {

// Hashes a sequence of values. Numbers have the same bytes on all supported
// machines, which are little-endian.
class Hasher {
 public:
  void Add(std::string_view text) {
    hash_ = XXH3_64bits_withSeed(text.data(), text.size(), hash_);
  }
  void Add(uint64_t number) {
    hash_ = XXH3_64bits_withSeed(&number, sizeof(number), hash_);
  }
  void Add(Duration time) { Add(static_cast<uint64_t>(time.count())); }
  void Add(const Endpoint& endpoint) {
    const auto& bytes = endpoint.address.bytes;
    hash_ = XXH3_64bits_withSeed(bytes.data(), bytes.size(), hash_);
    Add(uint64_t{endpoint.port});
  }

  uint64_t hash() const { return hash_; }

 private:
  uint64_t hash_ = 0;
};

// The end of the warm-up is left out, since each VM computes it by its own
// clock.
void AddServer(Hasher& hasher, const ServerFact& server) {
  hasher.Add(server.name);
  hasher.Add(server.instance);
  hasher.Add(uint64_t{server.mark});
  hasher.Add(server.service);
  hasher.Add(server.endpoint);
  hasher.Add(server.domain);
  hasher.Add(uint64_t{server.slots});
  hasher.Add(uint64_t{server.draining});
}

void AddRoute(Hasher& hasher, const RouteFact& route) {
  hasher.Add(route.address);
  hasher.Add(uint64_t{route.shares.size()});
  for (const RouteShare& share : route.shares) {
    hasher.Add(share.service);
    hasher.Add(uint64_t{share.weight});
  }
  const RouteQuality& quality = route.quality;
  hasher.Add(uint64_t{quality.priority});
  hasher.Add(uint64_t{quality.repeatable});
  hasher.Add(quality.target_latency);
  hasher.Add(quality.timeout);
}

void AddLimits(Hasher& hasher, const LimitsFact& limits) {
  hasher.Add(limits.version);
  hasher.Add(limits.idle_timeout);
  hasher.Add(uint64_t{limits.services.size()});
  for (const ServiceLimits& service : limits.services) {
    hasher.Add(service.service);
    hasher.Add(service.cold_time);
    hasher.Add(std::bit_cast<uint64_t>(service.cold_rate));
  }
}

}  // namespace

FactsDigest ComputeFactsDigest(const Registry& registry) {
  const Revision config = registry.limits.revision;
  if (config == 0 || config > registry.as_of) return kNoDigest;
  // VMs that started after the store's return have other facts.
  if (HasUnsettledFacts(registry)) return kNoDigest;
  Hasher hasher;
  AddLimits(hasher, registry.limits.limits);
  for (const auto& [name, record] : registry.servers) {
    if (record.revision > registry.as_of) return kNoDigest;
    if (!record.removed) AddServer(hasher, record.fact);
  }
  for (const auto& [address, record] : registry.routes) {
    if (!record.removed) AddRoute(hasher, record.fact);
  }
  for (const auto& [domain, record] : registry.evacuations) {
    if (record.revision > registry.as_of) return kNoDigest;
    if (!record.removed) hasher.Add(domain);
  }
  const auto digest = static_cast<FactsDigest>(hasher.hash());
  return digest == kNoDigest ? kNoDigest + 1 : digest;
}

}  // namespace knapweedlift
