#ifndef KNAPWEEDLIFT_TESTS_SUPPORT_REVISIONS_H_
#define KNAPWEEDLIFT_TESTS_SUPPORT_REVISIONS_H_

#include "core/registry/facts.h"

// Arithmetic within an era, for tests that number the changes of a store.
namespace knapweedlift {

constexpr Revision operator+(Revision revision, uint64_t count) {
  return {revision.era, revision.number + count};
}

constexpr Revision operator-(Revision revision, uint64_t count) {
  return {revision.era, revision.number - count};
}

constexpr Revision& operator++(Revision& revision) {
  return revision = revision + 1;
}

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_TESTS_SUPPORT_REVISIONS_H_
