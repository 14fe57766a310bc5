#ifndef KNAPWEEDLIFT_LAB_SOAK_CONFIG_SOAK_H_
#define KNAPWEEDLIFT_LAB_SOAK_CONFIG_SOAK_H_

#include <compare>
#include <cstdint>
#include <string>

namespace knapweedlift::lab {

struct ConfigSoakOptions {
  // The program that each VM runs.
  std::string binary;
  // Directory for settings, logs and records; created if it does not exist.
  std::string directory;
  uint64_t first_seed = 1;
  uint32_t seeds = 1;
  uint32_t vms = 16;
  uint32_t rounds = 6;
  // Part of a core that each VM gets.
  uint32_t core_percent = 100;

  auto operator<=>(const ConfigSoakOptions&) const = default;
};

// Plays seeded histories of the configuration against daemons that run as
// processes of their own, with faults of the store, of processes and of their
// speed, and checks what clients and backend servers see. Prints one line of
// JSON for each seed, and keeps the schedule, the history and the daemons' logs
// in the directory. Returns the exit code: 1 if a rule was broken, 2 if the
// soak cannot start.
int RunConfigSoak(const ConfigSoakOptions& options);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_SOAK_CONFIG_SOAK_H_
