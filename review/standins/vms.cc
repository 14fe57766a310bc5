#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>
#include <thread>

#include "net.h"
#include "world.h"

namespace review {

void World::AddVm(const std::string& zone) {
  const size_t number = vms.size() + 1;
  vms.push_back({.name = "frontend-" + zone + "-" + std::to_string(number),
                 .zone = zone,
                 .address = net_ | (1 << 8) | static_cast<uint32_t>(number)});
}

std::string World::Settings(const Vm& vm) const {
  std::ifstream file(options_.settings_template);
  std::stringstream stream;
  stream << file.rdbuf();
  std::string text = stream.str();
  std::string seeds;
  for (size_t i = 0; i < std::min<size_t>(3, vms.size()); ++i) {
    if (i > 0) seeds += ",";
    seeds += Quoted(Text(vms[i].address, control_port_));
  }
  Replace(text, "{{nodeId|json}}", Quoted(vm.name));
  Replace(text, "{{zone|json}}", Quoted(vm.zone));
  Replace(text, "{{listenAddrs.control|json}}",
          Quoted(Text(vm.address, control_port_)));
  Replace(text, "{{listenAddrs.datagramAddr|json}}",
          Quoted(Text(vm.address, data_port_)));
  Replace(text, "{{listenAddrs.readyAddr|json}}",
          Quoted(Text(vm.address, ready_port_)));
  Replace(text, "{{ip}}:9100", Text(vm.address, admin_port_));
  Replace(text, "{{seeds|json}}", "[" + seeds + "]");
  Replace(text, "{{platform.address|json}}",
          Quoted(Text(net_ | (2 << 8) | 1, store_port_)));
  Replace(text,
          "{{#bounds.addrReuseS}}address_reuse_s = {{.}}{{/bounds.addrReuseS}}",
          "address_reuse_s = 2");
  Replace(text, "{{#heartbeatMs}}server_heartbeat_ms = {{.}}{{/heartbeatMs}}",
          "server_heartbeat_ms = " + std::to_string(kHeartbeat));
  Replace(text, "{{#bounds.graceS}}grace_s = {{.}}{{/bounds.graceS}}",
          "grace_s = 6");
  return text;
}

void World::StartVms() {
  for (Vm& vm : vms) {
    StartVm(vm);
    // The first one is the one that has run for longest.
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

void World::StartVm(Vm& vm) {
  const std::string settings = options_.directory + "/" + vm.name + ".toml";
  std::ofstream(settings) << Settings(vm);
  const std::string log = options_.directory + "/" + vm.name + ".log";
  int pipe_ends[2] = {-1, -1};
  if (!vm.output_is_read && pipe2(pipe_ends, O_CLOEXEC) != 0) std::exit(2);
  vm.restart_at = kNever;
  const pid_t pid = fork();
  if (pid == 0) {
    // Ends with this program, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output =
        pipe_ends[1] >= 0
            ? pipe_ends[1]
            : open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    const std::string boot = "KNAPWEEDLIFT_BOOT=" + settings;
    const std::string path =
        std::string("PATH=") + (getenv("PATH") ? getenv("PATH") : "/usr/bin");
    char* const environment[] = {const_cast<char*>(boot.c_str()),
                                 const_cast<char*>(path.c_str()), nullptr};
    char* const arguments[] = {const_cast<char*>(options_.binary.c_str()),
                               const_cast<char*>("serve"),
                               const_cast<char*>("--settings"),
                               const_cast<char*>(settings.c_str()), nullptr};
    execve(options_.binary.c_str(), arguments, environment);
    _exit(127);
  }
  if (pipe_ends[1] >= 0) close(pipe_ends[1]);
  vm.output = pipe_ends[0];
  vm.pid = pid;
  Note("process of " + vm.name + " started");
}

void World::WatchVms() {
  for (Vm& vm : vms) {
    if (vm.pid == 0 && Now() >= vm.restart_at) StartVm(vm);
    int status = 0;
    if (vm.pid == 0 || waitpid(vm.pid, &status, WNOHANG) != vm.pid) continue;
    ++vm.own_ends;
    Note("process of " + vm.name + " ended by itself, " +
         (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                              : "exit " + std::to_string(WEXITSTATUS(status))));
    vm.pid = 0;
    vm.restart_at = Now() + kRestartDelay;
    if (vm.output >= 0) close(vm.output);
    vm.output = -1;
  }
}

void World::ProbeVms() {
  const Ms now = Now();
  for (Vm& vm : vms) {
    if (vm.probe < 0 && now >= vm.probe_at) {
      vm.probe_at = now + kProbeInterval;
      vm.probe_sent = false;
      vm.probe = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      const sockaddr_in to = SocketAddress(vm.address, ready_port_);
      connect(vm.probe, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    }
    if (vm.probe < 0) continue;
    if (!vm.probe_sent) {
      constexpr char kRequest[] =
          "GET /-/readiness HTTP/1.1\r\nHost: vm\r\n\r\n";
      vm.probe_sent =
          send(vm.probe, kRequest, sizeof(kRequest) - 1, MSG_NOSIGNAL) > 0;
      if (!vm.probe_sent && errno != EAGAIN && errno != ENOTCONN) {
        FinishProbe(vm, false);
        continue;
      }
    }
    char buffer[512];
    const ssize_t count =
        vm.probe_sent ? recv(vm.probe, buffer, sizeof(buffer) - 1, 0) : -1;
    if (count > 0) {
      buffer[count] = '\0';
      FinishProbe(vm, std::strstr(buffer, " 200 ") != nullptr);
    } else if (count == 0 || now >= vm.probe_at) {
      FinishProbe(vm, false);
    }
  }
}

void World::FinishProbe(Vm& vm, bool ready) {
  close(vm.probe);
  vm.probe = -1;
  vm.missed_probes = ready ? 0 : vm.missed_probes + 1;
  const bool in_rotation = ready || (vm.in_rotation && vm.missed_probes < 2);
  if (ready) ++probes_answered[vm.name];
  if (in_rotation != vm.in_rotation) {
    Note(vm.name + (in_rotation ? " is in rotation" : " is out of rotation"));
  }
  vm.in_rotation = in_rotation;
}

}  // namespace review
