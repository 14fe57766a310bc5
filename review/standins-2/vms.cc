#include "vms.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>
#include <utility>

namespace {

constexpr char kProgram[] = "target/main/knapweedlift";
constexpr char kTemplate[] = "deploy/vm.toml.template";
constexpr Millis kProbePeriodMs = 500;
constexpr Millis kProbeTimeoutMs = 400;
constexpr int kMissesUntilOut = 2;
constexpr Millis kGraceMs = 6000;
constexpr Millis kRestartDelayMs = 1000;
constexpr size_t kMaxSeeds = 3;

// Fills in the placeholders that the project's template uses.
std::string Render(std::string text,
                   const std::map<std::string, std::string>& values) {
  // Sections around a value that is missing are left out.
  for (size_t begin = text.find("{{#"); begin != std::string::npos;
       begin = text.find("{{#", begin)) {
    const size_t name_end = text.find("}}", begin);
    const std::string name = text.substr(begin + 3, name_end - begin - 3);
    const std::string closing = "{{/" + name + "}}";
    const size_t end = text.find(closing, begin);
    const auto value = values.find(name);
    std::string inner;
    if (value != values.end()) {
      inner = text.substr(name_end + 2, end - name_end - 2);
      const size_t dot = inner.find("{{.}}");
      if (dot != std::string::npos) inner.replace(dot, 5, value->second);
    }
    text.replace(begin, end + closing.size() - begin, inner);
  }
  for (const auto& [name, value] : values) {
    for (const std::string& form :
         {"{{" + name + "}}", "{{" + name + "|json}}"}) {
      const bool quoted = form.ends_with("|json}}") && value[0] != '[';
      const std::string written = quoted ? "\"" + value + "\"" : value;
      for (size_t at = text.find(form); at != std::string::npos;
           at = text.find(form, at + written.size())) {
        text.replace(at, form.size(), written);
      }
    }
  }
  return text;
}

uint64_t HashOf(const FlowId& flow) {
  uint64_t hash = 0xCBF29CE484222325;
  for (const uint64_t part : {uint64_t{flow.client}, uint64_t{flow.client_port},
                              uint64_t{flow.host}, uint64_t{flow.host_port}}) {
    hash = (hash ^ part) * 0x9E3779B97F4A7C15;
    hash ^= hash >> 29;
  }
  return hash;
}

}  // namespace

Platform::Platform(Loop& loop, std::string folder, const Ports& ports,
                   const Address& store)
    : loop_(loop), folder_(std::move(folder)), ports_(ports), store_(store) {}

void Platform::AddVm(const std::string& zone, uint32_t ip) {
  const std::string name = "frontend-" + zone + "-" + std::to_string(ip & 255);
  vms_.push_back({.name = name,
                  .zone = zone,
                  .ip = ip,
                  .settings_path = folder_ + "/" + name + ".toml",
                  .log_path = folder_ + "/" + name + ".log"});
}

bool Platform::StartAll() {
  std::ifstream file(kTemplate);
  std::stringstream text;
  text << file.rdbuf();
  std::string seeds;
  for (size_t i = 0; i < std::min(kMaxSeeds, vms_.size()); ++i) {
    seeds +=
        (i == 0 ? "\"" : ",\"") + Text({vms_[i].ip, ports_.control}) + "\"";
  }
  for (size_t i = 0; i < vms_.size(); ++i) {
    const Vm& vm = vms_[i];
    std::string settings = Render(
        text.str(), {{"nodeId", vm.name},
                     {"zone", vm.zone},
                     {"ip", Text(vm.ip)},
                     {"listenAddrs.control", Text({vm.ip, ports_.control})},
                     {"listenAddrs.datagramAddr", Text({vm.ip, ports_.data})},
                     {"listenAddrs.readyAddr", Text({vm.ip, ports_.ready})},
                     {"seeds", "[" + seeds + "]"},
                     {"platform.address", Text(store_)},
                     {"bounds.addrReuseS", "2"},
                     {"bounds.graceS", "6"},
                     {"heartbeatMs", "1200"}});
    // Metrics are not asked for here; a free port takes the place of theirs.
    const size_t admin = settings.find(":9100\"");
    if (admin != std::string::npos) {
      settings.replace(admin, 6, ":" + std::to_string(ports_.admin) + "\"");
    }
    std::ofstream(vm.settings_path) << settings;
    if (!Start(i)) return false;
    loop_.After(static_cast<Millis>(Random() % kProbePeriodMs),
                [this, i] { Probe(i); });
  }
  return true;
}

bool Platform::Start(size_t index) {
  Vm& vm = vms_[index];
  const pid_t pid = fork();
  if (pid < 0) return false;
  if (pid == 0) {
    // The daemon ends with this process, whatever ends it.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log =
        open(vm.log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execl(kProgram, kProgram, "serve", "--settings", vm.settings_path.c_str(),
          static_cast<char*>(nullptr));
    _exit(127);
  }
  vm.pid = pid;
  vm.keep_running = true;
  vm.started_at = vm.disturbed_at = NowMs();
  Record("platform   starts %s", vm.name.c_str());
  loop_.After(50, [this] { Reap(); });
  return true;
}

void Platform::Reap() {
  if (ending_) return;
  int status = 0;
  for (size_t i = 0; i < vms_.size(); ++i) {
    Vm& vm = vms_[i];
    if (vm.pid < 0 || waitpid(vm.pid, &status, WNOHANG) != vm.pid) continue;
    Record("platform   %s has ended, status %d", vm.name.c_str(), status);
    vm.pid = -1;
    if (NowMs() - vm.disturbed_at > 2 * kGraceMs) ++own_ends_;
    if (vm.keep_running) {
      loop_.After(kRestartDelayMs, [this, i] {
        if (!ending_) Start(i);
      });
    }
  }
  loop_.After(50, [this] { Reap(); });
}

void Platform::Signal(size_t vm, int signal) {
  if (vms_[vm].pid < 0) return;
  Record("platform   signal %d to %s", signal, vms_[vm].name.c_str());
  vms_[vm].disturbed_at = NowMs();
  kill(vms_[vm].pid, signal);
}

void Platform::StopInTurn(size_t index) {
  Signal(index, SIGTERM);
  loop_.After(kGraceMs, [this, index, pid = vms_[index].pid] {
    if (pid > 0 && vms_[index].pid == pid) Signal(index, SIGKILL);
  });
}

void Platform::EndAll() {
  ending_ = true;
  for (Vm& vm : vms_) {
    if (vm.pid < 0) continue;
    kill(vm.pid, SIGCONT);
    kill(vm.pid, SIGKILL);
    waitpid(vm.pid, nullptr, 0);
    vm.pid = -1;
  }
}

void Platform::Probe(size_t index) {
  if (ending_) return;
  loop_.After(kProbePeriodMs, [this, index] { Probe(index); });
  const int fd = StartConnect({vms_[index].ip, ports_.ready});
  const auto done = std::make_shared<bool>(false);
  const auto finish = [this, index, fd, done](bool ready) {
    if (std::exchange(*done, true)) return;
    loop_.Close(fd);
    RecordProbe(index, ready);
  };
  loop_.After(kProbeTimeoutMs, [finish] { finish(false); });
  loop_.OnWritable(fd, [this, fd, finish] {
    constexpr char kRequest[] = "GET /-/readiness HTTP/1.1\r\nHost: vm\r\n\r\n";
    if (send(fd, kRequest, sizeof(kRequest) - 1, MSG_NOSIGNAL) < 0) {
      return finish(false);
    }
    loop_.OnReadable(fd, [fd, finish] {
      char buffer[512];
      const ssize_t size = recv(fd, buffer, sizeof(buffer), 0);
      finish(size > 12 && std::string(buffer + 9, 3) == "200");
    });
  });
}

void Platform::RecordProbe(size_t index, bool ready) {
  Vm& vm = vms_[index];
  vm.misses = ready ? 0 : vm.misses + 1;
  const bool in = ready || (vm.in_rotation && vm.misses < kMissesUntilOut);
  if (in == vm.in_rotation) return;
  vm.in_rotation = in;
  Record("router     %s is %s rotation", vm.name.c_str(), in ? "in" : "out of");
}

bool Platform::AllReady() const {
  return std::all_of(vms_.begin(), vms_.end(),
                     [](const Vm& vm) { return vm.in_rotation; });
}

const Vm* Platform::Route(const FlowId& flow, const std::string& zone) const {
  std::vector<const Vm*> all;
  std::vector<const Vm*> rotation;
  for (const Vm& vm : vms_) {
    if (vm.zone != zone) continue;
    all.push_back(&vm);
    if (vm.in_rotation) rotation.push_back(&vm);
  }
  const auto& choice = 2 * rotation.size() < all.size() ? all : rotation;
  return choice.empty() ? nullptr : choice[HashOf(flow) % choice.size()];
}
