#ifndef KNAPWEEDLIFT_CORE_REGISTRY_FACT_SOURCE_H_
#define KNAPWEEDLIFT_CORE_REGISTRY_FACT_SOURCE_H_

#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core/registry/facts.h"

namespace knapweedlift {

// A configuration as it was set at a revision.
struct ConfigChange {
  Revision revision = 0;
  ConfigFact config;

  auto operator<=>(const ConfigChange&) const = default;
};

// What a source said in one answer.
struct SourceUpdate {
  Revision after = 0;
  Revision as_of = 0;
  // Everything there is; what it does not name is gone.
  bool is_snapshot = false;
  std::vector<ServerChange> servers;
  std::optional<ConfigChange> config;
  // Entries that could not be read, one line each.
  std::vector<std::string> entry_errors;

  auto operator<=>(const SourceUpdate&) const = default;
};

// Where facts come from. Calls suspend the calling fiber, one call at a time.
class FactSource {
 public:
  virtual ~FactSource() = default;

  // Reads everything. Fails with kPlatformUnreachable, kPlatformAnswer or
  // kPlatformRefused.
  virtual absl::StatusOr<SourceUpdate> ReadAll(TimePoint now) = 0;

  // Waits for changes after a revision, until `wait_until` at most; the news
  // may be empty. Fails as ReadAll does, and with kPlatformHistoryGone where
  // the changes cannot be told any more.
  virtual absl::StatusOr<SourceUpdate> WaitForChanges(Revision after,
                                                      TimePoint wait_until,
                                                      TimePoint now) = 0;
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_REGISTRY_FACT_SOURCE_H_
