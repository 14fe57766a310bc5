#ifndef KNAPWEEDLIFT_CORE_REGISTRY_FACT_SOURCE_H_
#define KNAPWEEDLIFT_CORE_REGISTRY_FACT_SOURCE_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core/registry/facts.h"

namespace knapweedlift {

// A configuration and the revision at which the operator set it.
struct ConfigChange {
  Revision revision = 0;
  ConfigFact config;

  auto operator<=>(const ConfigChange&) const = default;
};

// The content of one response of a source.
struct SourceUpdate {
  // Era of all its revisions, and whether the source has stated it.
  uint64_t era = 0;
  bool states_era = true;
  // The update covers the changes after `after` up to `as_of`.
  Revision after = 0;
  Revision as_of = 0;
  // The update holds all entries; those that it lacks are removed.
  bool is_snapshot = false;
  // More pages follow. The update is empty, and the next read continues.
  bool is_partial = false;
  std::vector<ServerChange> servers;
  std::optional<ConfigChange> config;
  std::vector<EvacuationChange> evacuations;
  // One line for each entry that could not be parsed.
  std::vector<std::string> entry_errors;

  auto operator<=>(const SourceUpdate&) const = default;
};

// Sets the era of all revisions.
void SetEra(SourceUpdate& update, uint64_t era);

// For reads that are not limited to a number of pages.
inline constexpr size_t kAllPages = SIZE_MAX;

// Source of facts. Calls suspend the calling fiber; only one call may be in
// progress at a time.
class FactSource {
 public:
  virtual ~FactSource() = default;

  // Reads a snapshot of all entries, at most `max_pages` of it in this call.
  // `known_era` is that of the caller's facts; 0 if it has none. Fails with
  // kPlatformUnreachable, kPlatformAnswer, kPlatformRefused or, if the response
  // is of an earlier era, kPlatformEarlierEra.
  virtual absl::StatusOr<SourceUpdate> ReadAll(size_t max_pages,
                                               uint64_t known_era,
                                               TimePoint now) = 0;

  // Waits for changes after a revision, until `wait_until` at most; the update
  // may be empty. Fails as ReadAll does, with kPlatformHistoryGone if the
  // source no longer has the changes after that revision, and with
  // kPlatformNewEra if it has begun a new era since.
  virtual absl::StatusOr<SourceUpdate> WaitForChanges(Revision after,
                                                      TimePoint wait_until,
                                                      TimePoint now) = 0;
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_REGISTRY_FACT_SOURCE_H_
