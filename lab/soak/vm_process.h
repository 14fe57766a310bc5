#ifndef KNAPWEEDLIFT_LAB_SOAK_VM_PROCESS_H_
#define KNAPWEEDLIFT_LAB_SOAK_VM_PROCESS_H_

#include <sys/types.h>

#include <string>

#include "absl/status/status.h"

namespace knapweedlift::lab {

// A daemon that runs as a process of its own. It is killed with this object.
class VmProcess {
 public:
  VmProcess() = default;
  ~VmProcess() { Kill(); }
  VmProcess(const VmProcess&) = delete;
  VmProcess& operator=(const VmProcess&) = delete;

  // Starts `binary` with the settings file. Its output goes to a new file at
  // `log_path`.
  absl::Status Start(const std::string& binary,
                     const std::string& settings_path,
                     const std::string& log_path);

  // Sends a signal. Does nothing if the process has ended.
  void Signal(int signal) const;
  // Kills the process and waits for its end.
  void Kill();
  // Notices the end of the process. Returns true if it ended since the last
  // call.
  bool Reap();

  bool running() const { return pid_ > 0; }
  // Of the last process: true if it exited with code 0, or was asked to end
  // before it had begun to handle signals.
  bool ended_as_asked() const { return ended_as_asked_; }

 private:
  pid_t pid_ = 0;
  bool ended_as_asked_ = false;
};

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_SOAK_VM_PROCESS_H_
