#include "core/table/bucket_table.h"

#include <cmath>
#include <limits>

#include "core/flow/flow_key.h"

namespace knapweedlift {
namespace {

// 2^-53 scales the top 53 bits of a hash to the interval [0, 1).
constexpr double kHashToUnit = 0x1.0p-53;

// Score of weighted rendezvous hashing. The highest score wins, and each server
// wins in proportion to its weight. The logarithm is negative.
double WeightedScore(uint64_t hash, double weight) {
  const double unit = (static_cast<double>(hash >> 11) + 0.5) * kHashToUnit;
  return std::log(unit) / weight;
}

struct Candidate {
  ServerId number = kNoServer;
  uint64_t seed = 0;
  double weight = 0;
};

std::vector<Candidate> Candidates(const Service& service) {
  std::vector<Candidate> candidates;
  for (const BackendServer& server : service.servers) {
    if (!AcceptsNewFlows(server)) continue;
    candidates.push_back({.number = server.number,
                          .seed = MixHash(service.number, server.number),
                          .weight = static_cast<double>(server.slots)});
  }
  return candidates;
}

bool EqualWeights(const std::vector<Candidate>& candidates) {
  for (const Candidate& candidate : candidates) {
    if (candidate.weight != candidates.front().weight) return false;
  }
  return true;
}

// With equal weights the scores are in the order of the hashes, which saves a
// logarithm for each pair of server and bucket.
ServerId BestByHash(const std::vector<Candidate>& candidates, uint64_t bucket) {
  ServerId best = kNoServer;
  uint64_t best_hash = 0;
  for (const Candidate& candidate : candidates) {
    const uint64_t hash = MixHash(candidate.seed, bucket) >> 11;
    if (best != kNoServer && hash <= best_hash) continue;
    best = candidate.number;
    best_hash = hash;
  }
  return best;
}

ServerId BestByScore(const std::vector<Candidate>& candidates,
                     uint64_t bucket) {
  ServerId best = kNoServer;
  double best_score = -std::numeric_limits<double>::infinity();
  for (const Candidate& candidate : candidates) {
    const double score =
        WeightedScore(MixHash(candidate.seed, bucket), candidate.weight);
    if (score <= best_score) continue;
    best = candidate.number;
    best_score = score;
  }
  return best;
}

}  // namespace

std::vector<ServerId> SheetTargets(const Service& service) {
  std::vector<ServerId> targets(service.buckets, kNoServer);
  const std::vector<Candidate> candidates = Candidates(service);
  if (candidates.empty()) return targets;
  const bool equal = EqualWeights(candidates);
  for (size_t i = 0; i < targets.size(); ++i) {
    targets[i] = equal ? BestByHash(candidates, i) : BestByScore(candidates, i);
  }
  return targets;
}

BucketTable InitialTable(const Service& service, uint64_t revision) {
  const std::vector<ServerId> targets = SheetTargets(service);
  BucketTable table;
  table.generation.revision = revision;
  table.buckets.resize(targets.size());
  for (size_t i = 0; i < targets.size(); ++i) {
    table.buckets[i].current = targets[i];
  }
  return table;
}

TableSummary Summarize(const BucketTable& table) {
  TableSummary summary;
  for (const Bucket& bucket : table.buckets) {
    if (IsStable(bucket)) ++summary.stable;
    if (IsPending(bucket)) ++summary.pending;
    if (bucket.oldest != kNoServer) ++summary.ambiguous;
    if (bucket.closing) ++summary.closing;
  }
  return summary;
}

}  // namespace knapweedlift
