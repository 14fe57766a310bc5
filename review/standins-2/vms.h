#ifndef REVIEW_STANDINS_2_VMS_H_
#define REVIEW_STANDINS_2_VMS_H_

#include <sys/types.h>

#include <string>
#include <vector>

#include "loop.h"
#include "packet.h"

// Ports that are the same on all machines.
struct Ports {
  uint16_t data = 0;
  uint16_t ready = 0;
  uint16_t control = 0;
  uint16_t admin = 0;
};

struct Vm {
  std::string name;
  std::string zone;
  uint32_t ip = 0;
  std::string settings_path;
  std::string log_path;
  pid_t pid = -1;
  // The platform starts the process again when it ends.
  bool keep_running = false;
  bool in_rotation = false;
  int misses = 0;
  Millis started_at = 0;
  // Last signal or start.
  Millis disturbed_at = 0;
};

// Starts the project's daemon on the machines, and does what the platform's
// routers do: it probes readiness twice a second, and selects a daemon for each
// packet of a client by a hash over the daemons in rotation.
class Platform {
 public:
  Platform(Loop& loop, std::string folder, const Ports& ports,
           const Address& store);

  void AddVm(const std::string& zone, uint32_t ip);
  // Renders the settings from deploy/vm.toml.template and starts all machines.
  bool StartAll();
  void Signal(size_t vm, int signal);
  // SIGTERM, then SIGKILL after the grace time; the process starts again.
  void StopInTurn(size_t vm);
  // Ends all processes.
  void EndAll();

  bool AllReady() const;
  // The machine that takes a packet of the flow from a client in `zone`.
  const Vm* Route(const FlowId& flow, const std::string& zone) const;
  const std::vector<Vm>& vms() const { return vms_; }
  const Ports& ports() const { return ports_; }
  // Processes that ended although nobody told them to.
  int own_ends() const { return own_ends_; }

 private:
  bool Start(size_t vm);
  void Reap();
  void Probe(size_t vm);
  void RecordProbe(size_t vm, bool ready);

  Loop& loop_;
  std::string folder_;
  Ports ports_;
  Address store_;
  std::vector<Vm> vms_;
  int own_ends_ = 0;
  bool ending_ = false;
};

#endif  // REVIEW_STANDINS_2_VMS_H_
