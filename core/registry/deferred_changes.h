#ifndef KNAPWEEDLIFT_CORE_REGISTRY_DEFERRED_CHANGES_H_
#define KNAPWEEDLIFT_CORE_REGISTRY_DEFERRED_CHANGES_H_

#include "core/registry/registry.h"

// Changes that wait, see ChangesOfNewEra. What the store has said last of a
// server or an evacuation is the deferred change if there is one, and the facts
// in force if not.
namespace knapweedlift {

// Returns true if the registry has the facts that the change leads to.
bool IsInForce(const Registry& registry, const ServerChange& change);
bool IsInForce(const Registry& registry, const EvacuationChange& change);

// Returns true if the change is to wait until it applies, and keeps it. One
// that leads to the facts in force need not wait. A later change ends the wait
// of an earlier one, but a snapshot that says the same as the store's copy does
// not.
bool DeferChange(Registry& registry, const ServerChange& change,
                 bool is_snapshot, TimePoint now);
bool DeferChange(Registry& registry, const EvacuationChange& change,
                 bool is_snapshot, TimePoint now);

// Drops deferred changes that a snapshot of the same era contradicts: what they
// say was true of the store's copy only.
void DropContradictedChanges(Registry& registry, const FactDelta& snapshot,
                             TimePoint now);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_REGISTRY_DEFERRED_CHANGES_H_
