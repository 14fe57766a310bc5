#ifndef KNAPWEEDLIFT_CORE_REGISTRY_FACTS_DIGEST_H_
#define KNAPWEEDLIFT_CORE_REGISTRY_FACTS_DIGEST_H_

#include "core/registry/facts.h"

namespace knapweedlift {

struct Registry;

// Returns a digest of the servers, routes, limits and evacuations in force,
// which is the same on all VMs that hold the same facts. Returns kNoDigest if
// the registry holds facts that are newer than its revision (the pages of a
// read are not from one moment), or older ones than the store's copy after its
// return.
FactsDigest ComputeFactsDigest(const Registry& registry);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_REGISTRY_FACTS_DIGEST_H_
