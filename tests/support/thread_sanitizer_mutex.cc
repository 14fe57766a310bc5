#include <sanitizer/tsan_interface.h>

#include <chrono>
#include <thread>

#include "absl/synchronization/mutex.h"

// The packaged absl is built without ThreadSanitizer, which therefore does not
// see that its mutexes order the accesses of threads. In builds with
// ThreadSanitizer the linker redirects their methods to these functions
// (--wrap in CMakeLists.txt), which report the order.
extern "C" {

void __real__ZN4absl7debian35Mutex4LockEv(absl::Mutex* mutex);
void __real__ZN4absl7debian35Mutex6UnlockEv(absl::Mutex* mutex);
void __wrap__ZN4absl7debian35Mutex4LockEv(absl::Mutex* mutex) {
  __real__ZN4absl7debian35Mutex4LockEv(mutex);
  __tsan_acquire(mutex);
}

void __wrap__ZN4absl7debian35Mutex6UnlockEv(absl::Mutex* mutex) {
  __tsan_release(mutex);
  __real__ZN4absl7debian35Mutex6UnlockEv(mutex);
}

// absl would evaluate the condition where the order is not reported.
void __wrap__ZN4absl7debian35Mutex5AwaitERKNS0_9ConditionE(
    absl::Mutex* mutex, const absl::Condition& condition) {
  while (!condition.Eval()) {
    mutex->Unlock();
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
    mutex->Lock();
  }
}

}  // extern "C"
