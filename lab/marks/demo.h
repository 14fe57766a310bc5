#ifndef KNAPWEEDLIFT_LAB_MARKS_DEMO_H_
#define KNAPWEEDLIFT_LAB_MARKS_DEMO_H_

#include <cstdint>
#include <string>

namespace knapweedlift::lab {

struct MarksDemoOptions {
  // Directory for the settings of the VMs; created if it does not exist.
  std::string directory;
  uint32_t vms = 6;
  // Duration of the traffic.
  uint32_t seconds = 30;
  std::string result_path;

  auto operator<=>(const MarksDemoOptions&) const = default;
};

// Writes the settings files vm-1.toml, vm-2.toml, ... and addresses.sh, waits
// until the daemons, which the user starts with them, are ready, and then
// changes servers and configuration under traffic. Writes the results of each
// service to `result_path`. Returns the exit code: 1 if the daemons do not
// become ready.
int RunMarksDemo(const MarksDemoOptions& options);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_MARKS_DEMO_H_
