#ifndef KNAPWEEDLIFT_LAB_SOAK_STORE_RETURNS_H_
#define KNAPWEEDLIFT_LAB_SOAK_STORE_RETURNS_H_

#include <nlohmann/json.hpp>
#include <vector>

#include "core/time.h"
#include "lab/marks/fake_store.h"

namespace knapweedlift::lab {

// Counts the calls of a fleet to the store after its returns from a copy.
class StoreReturns {
 public:
  // Records that the store has returned.
  void Add(TimePoint now, const FakeStore& store);
  // Ends the counts that are due.
  void Run(TimePoint now, const FakeStore& store);

  // For each return its time since `started_at`, and the calls and pages of
  // complete reads within kCountedTime.
  nlohmann::json Describe(TimePoint started_at) const;

 private:
  struct Return {
    TimePoint at;
    uint64_t calls_before = 0;
    uint64_t pages_before = 0;
    // Until the count ends, and while it is open, of the last Run.
    uint64_t calls = 0;
    uint64_t pages = 0;
  };

  std::vector<Return> returns_;
};

inline constexpr Duration kCountedTime{10'000};

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_SOAK_STORE_RETURNS_H_
