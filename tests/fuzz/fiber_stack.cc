#include "tests/fuzz/fiber_stack.h"

#include <pthread.h>

#include <boost/context/stack_traits.hpp>
#include <cstdlib>
#include <semaphore>

namespace knapweedlift::fuzz {
namespace {

// A thread that lives as long as the program: starting one for each input would
// take most of the time.
class SmallStackThread {
 public:
  SmallStackThread() {
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes,
                              boost::context::stack_traits::default_size());
    if (pthread_create(&thread_, &attributes, Run, this) != 0) std::abort();
    pthread_attr_destroy(&attributes);
  }

  void Call(const std::function<void()>& function) {
    function_ = &function;
    called_.release();
    done_.acquire();
  }

 private:
  static void* Run(void* self) {
    auto& thread = *static_cast<SmallStackThread*>(self);
    while (true) {
      thread.called_.acquire();
      (*thread.function_)();
      thread.done_.release();
    }
  }

  pthread_t thread_{};
  const std::function<void()>* function_ = nullptr;
  std::binary_semaphore called_{0};
  std::binary_semaphore done_{0};
};

}  // namespace

void RunOnFiberStack(const std::function<void()>& function) {
  static auto* thread = new SmallStackThread();
  thread->Call(function);
}

}  // namespace knapweedlift::fuzz
