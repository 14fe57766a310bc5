#ifndef KNAPWEEDLIFT_CORE_REGISTRY_NEW_ERA_H_
#define KNAPWEEDLIFT_CORE_REGISTRY_NEW_ERA_H_

#include "core/registry/registry.h"

// The store's return from an older copy of its content.
namespace knapweedlift {

// Returns true if two facts of a server differ at most in the end of the
// warm-up, which is estimated anew from each response.
bool IsSameFact(const ServerFact& a, ServerFact b);

// Returns the changes that lead from the facts of `registry` to those of a
// snapshot of a newer era. The copy may lack or contradict what was known
// before the return, and the operator and running servers write that again:
// - A configuration with a lower version is left out.
// - What the copy says of an earlier state of a server or an evacuation is
//   deferred. Otherwise a draining server would get new flows, and flows would
//   go to servers that have ended.
// - Servers that the copy lacks are removed, but held in use for the time in
//   which running ones register again.
FactDelta ChangesOfNewEra(const Registry& registry, const FactDelta& snapshot,
                          TimePoint now);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_REGISTRY_NEW_ERA_H_
