#include "lab/soak/store_returns.h"

namespace knapweedlift::lab {

void StoreReturns::Add(TimePoint now, const FakeStore& store) {
  returns_.push_back({.at = now,
                      .calls_before = store.request_count(),
                      .pages_before = store.page_count()});
}

void StoreReturns::Run(TimePoint now, const FakeStore& store) {
  for (Return& counted : returns_) {
    if (now - counted.at > kCountedTime) continue;
    counted.calls = store.request_count() - counted.calls_before;
    counted.pages = store.page_count() - counted.pages_before;
  }
}

nlohmann::json StoreReturns::Describe(TimePoint started_at) const {
  nlohmann::json list = nlohmann::json::array();
  for (const Return& counted : returns_) {
    list.push_back({{"at_ms", (counted.at - started_at).count()},
                    {"calls", counted.calls},
                    {"pages", counted.pages}});
  }
  return list;
}

}  // namespace knapweedlift::lab
