#ifndef KNAPWEEDLIFT_TESTS_FUZZ_FIBER_STACK_H_
#define KNAPWEEDLIFT_TESTS_FUZZ_FIBER_STACK_H_

#include <functional>

namespace knapweedlift::fuzz {

// Runs a function on a stack as small as that of a fiber, on which the daemon
// parses what other programs send. A stack overflow ends the program.
void RunOnFiberStack(const std::function<void()>& function);

}  // namespace knapweedlift::fuzz

#endif  // KNAPWEEDLIFT_TESTS_FUZZ_FIBER_STACK_H_
