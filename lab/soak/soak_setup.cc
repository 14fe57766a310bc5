#include "lab/soak/soak_setup.h"

#include <unistd.h>

#include <filesystem>
#include <system_error>

#include "absl/strings/str_cat.h"

namespace knapweedlift::lab {
namespace {

constexpr uint32_t kMaxVms = 250;
constexpr uint32_t kMaxCorePercent = 100;
constexpr uint64_t kVmMemoryBytes = 24'000'000;

uint64_t HalfOfMemory() {
  return static_cast<uint64_t>(sysconf(_SC_PHYS_PAGES)) *
         static_cast<uint64_t>(sysconf(_SC_PAGESIZE)) / 2;
}

}  // namespace

absl::Status CheckSoakRequirements(const SoakRequirements& requirements) {
  std::error_code error;
  const bool is_program =
      std::filesystem::is_regular_file(requirements.binary, error) &&
      access(requirements.binary.c_str(), X_OK) == 0;
  if (!is_program) {
    return absl::InvalidArgumentError(
        absl::StrCat("--binary ", requirements.binary, " is no program"));
  }
  const bool numbers_valid = requirements.vms > 0 &&
                             requirements.vms <= kMaxVms &&
                             requirements.rounds > 0 && requirements.seeds > 0;
  if (!numbers_valid) {
    return absl::InvalidArgumentError(
        absl::StrCat("--vms must be from 1 to ", kMaxVms,
                     ", and --rounds and --seeds at least 1"));
  }
  if (requirements.core_percent == 0 ||
      requirements.core_percent > kMaxCorePercent) {
    return absl::InvalidArgumentError("--core-percent must be from 1 to 100");
  }
  if (requirements.vms * kVmMemoryBytes > HalfOfMemory()) {
    return absl::ResourceExhaustedError(absl::StrCat(
        requirements.vms, " VMs need more than half of the memory"));
  }
  std::filesystem::create_directories(requirements.directory, error);
  if (error || access(requirements.directory.c_str(), W_OK) != 0) {
    return absl::InvalidArgumentError(absl::StrCat(
        "--directory ", requirements.directory, " cannot be written"));
  }
  return absl::OkStatus();
}

std::vector<size_t> SoakSeedVms(size_t vms) {
  if (vms < 3) return {0};
  return {0, vms / 2, vms - 1};
}

std::vector<Endpoint> AddSoakListeners(FakeStore& store) {
  std::vector<Endpoint> listeners;
  for (size_t i = 0; i < kSoakStoreListeners; ++i) {
    listeners.push_back(store.AddListener());
  }
  return listeners;
}

std::string PrepareSeedDirectory(const std::string& directory, uint64_t seed) {
  std::string path = absl::StrCat(directory, "/seed-", seed);
  std::filesystem::remove_all(path);
  std::filesystem::create_directories(path);
  return path;
}

}  // namespace knapweedlift::lab
