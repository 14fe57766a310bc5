#ifndef KNAPWEEDLIFT_LAB_SOAK_SOAK_FLEET_H_
#define KNAPWEEDLIFT_LAB_SOAK_SOAK_FLEET_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/marks/testbed.h"
#include "lab/soak/config_history.h"
#include "lab/soak/vm_process.h"

namespace knapweedlift::lab {

struct SoakFleetSettings {
  // The program that each VM runs.
  std::string binary;
  // For settings and logs; it must exist.
  std::string directory;
  // Part of a core that each VM gets.
  uint32_t core_percent = 100;
  // Lines at the end of each VM's settings.
  std::string more_settings = {};

  auto operator<=>(const SoakFleetSettings&) const = default;
};

// The VMs of a soak. Each runs as a process of its own, which is started again
// when it ends, as the platform does.
class SoakFleet {
 public:
  // VMs reach the store at `listeners` in turn.
  SoakFleet(const MarksPlan& plan, SoakFleetSettings settings,
            const std::vector<size_t>& seed_vms,
            const std::vector<Endpoint>& listeners);

  // Starts all VMs.
  absl::Status Start(TimePoint now);

  void Terminate(size_t vm, TimePoint now);
  void Kill(size_t vm, TimePoint now);
  void Freeze(size_t vm, TimePoint now);
  void Thaw(size_t vm, TimePoint now);
  void SetSlow(size_t vm, bool slow, TimePoint now);

  // Restarts VMs that have ended and alternates slow ones between running and
  // standing still.
  void Run(TimePoint now);

  // Ends the faults of VMs that stand still or are slow.
  void EndFaults(TimePoint now);
  // Gives each VM all of a core from now on.
  void RunAtFullSpeed();

  size_t size() const { return vms_.size(); }
  uint32_t incarnation(size_t vm) const { return vms_[vm]->incarnation; }
  // True if callers still send packets to the VM: it runs, and the routers have
  // not had time to take it out of rotation.
  bool IsInRotation(size_t vm, TimePoint now) const;
  // VMs whose process started since the last call.
  std::vector<size_t> TakeRestarted();
  // Restarts, stops and pauses of processes so far.
  const std::vector<Disturbance>& disturbances() const { return disturbances_; }
  // Processes that ended though nobody asked them to.
  size_t unexpected_ends() const { return unexpected_ends_; }
  // Lines with a text in the logs of all processes.
  size_t CountLogLines(const std::string& text) const;
  // The first such lines, at most `limit`, each after the name of its log.
  std::vector<std::string> FindLogLines(const std::string& text,
                                        size_t limit) const;

 private:
  struct Vm {
    VmProcess process;
    uint32_t incarnation = 0;
    bool frozen = false;
    bool slow = false;
    bool standing_still = false;
    TimePoint next_phase_at;
    // max() unless the process was asked to end.
    TimePoint terminated_at = TimePoint::max();
    TimePoint restart_at = TimePoint::max();
  };

  absl::Status StartProcess(size_t vm, TimePoint now);
  std::string LogName(size_t vm, uint32_t incarnation) const;
  std::string LogPath(size_t vm, uint32_t incarnation) const;
  // Calls `handle` with the name of the log and each line that has the text.
  void ForEachLogLine(
      const std::string& text,
      const std::function<void(const std::string&, const std::string&)>& handle)
      const;
  void RecordDisturbance(DisturbanceKind kind, size_t vm, TimePoint now);
  // Part of the time in which the VM runs, in percent.
  uint32_t RunningPercent(const Vm& vm) const;
  void RunSlowPhase(size_t index, TimePoint now);
  void HandleEnd(size_t index, TimePoint now);
  // Stops or continues the process as its faults require.
  void UpdateStandstill(Vm& vm) const;

  MarksPlan plan_;
  SoakFleetSettings settings_;
  std::vector<std::unique_ptr<Vm>> vms_;
  std::vector<Disturbance> disturbances_;
  std::vector<size_t> restarted_;
  size_t unexpected_ends_ = 0;
};

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_SOAK_SOAK_FLEET_H_
