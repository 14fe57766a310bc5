#ifndef KNAPWEEDLIFT_CORE_JSON_LIMITS_H_
#define KNAPWEEDLIFT_CORE_JSON_LIMITS_H_

namespace knapweedlift {

// Nesting of arrays and objects that is accepted in JSON of other programs.
// Code that handles JSON recurses, and fibers have small stacks.
inline constexpr int kMaxJsonDepth = 64;

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_JSON_LIMITS_H_
