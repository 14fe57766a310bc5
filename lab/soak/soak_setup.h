#ifndef KNAPWEEDLIFT_LAB_SOAK_SOAK_SETUP_H_
#define KNAPWEEDLIFT_LAB_SOAK_SOAK_SETUP_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "core/sheet/sheet.h"
#include "lab/marks/fake_store.h"

// What the soaks have in common before they start.
namespace knapweedlift::lab {

struct SoakRequirements {
  std::string binary;
  std::string directory;
  uint32_t vms = 0;
  uint32_t rounds = 0;
  uint32_t seeds = 0;
  // Part of a core that each VM gets.
  uint32_t core_percent = 100;

  auto operator<=>(const SoakRequirements&) const = default;
};

// Creates the directory. Returns an error that names what the soak lacks: a
// program, a directory that can be written, valid numbers or memory.
absl::Status CheckSoakRequirements(const SoakRequirements& requirements);

// The VMs that others find the fleet by.
std::vector<size_t> SoakSeedVms(size_t vms);

// The listeners of the store that VMs use in turn.
inline constexpr size_t kSoakStoreListeners = 4;
std::vector<Endpoint> AddSoakListeners(FakeStore& store);

// Returns an empty directory for the records of a seed.
std::string PrepareSeedDirectory(const std::string& directory, uint64_t seed);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_SOAK_SOAK_SETUP_H_
