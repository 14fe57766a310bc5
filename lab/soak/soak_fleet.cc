#include "lab/soak/soak_fleet.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "lab/text_file.h"

namespace knapweedlift::lab {
namespace {

constexpr Duration kRestartDelay{300};
// The platform kills a process that has not ended this long after SIGTERM.
constexpr Duration kGraceTime{6'000};
// Routers notice the end of readiness after two probes.
constexpr Duration kRotationDelay{1'000};
// A VM with a part of a core runs for that part of each period.
constexpr Duration kSharePeriod{100};
constexpr uint32_t kSlowPercent = 10;
constexpr uint32_t kFullPercent = 100;

}  // namespace

SoakFleet::SoakFleet(const MarksPlan& plan, SoakFleetSettings settings,
                     const std::vector<size_t>& seed_vms,
                     const std::vector<Endpoint>& listeners)
    : plan_(plan), settings_(std::move(settings)) {
  for (size_t i = 0; i < plan_.vms.size(); ++i) {
    vms_.push_back(std::make_unique<Vm>());
    WriteTextFile(
        absl::StrCat(settings_.directory, "/vm-", i, ".toml"),
        FormatVmSettings(plan_, i, listeners[i % listeners.size()], seed_vms) +
            settings_.more_settings);
  }
}

absl::Status SoakFleet::Start(TimePoint now) {
  for (size_t i = 0; i < vms_.size(); ++i) {
    absl::Status status = StartProcess(i, now);
    if (!status.ok()) return status;
  }
  return absl::OkStatus();
}

absl::Status SoakFleet::StartProcess(size_t vm, TimePoint now) {
  Vm& started = *vms_[vm];
  ++started.incarnation;
  started.frozen = false;
  started.standing_still = false;
  started.terminated_at = TimePoint::max();
  started.restart_at = TimePoint::max();
  restarted_.push_back(vm);
  RecordDisturbance(DisturbanceKind::kRestart, vm, now);
  return started.process.Start(
      settings_.binary, absl::StrCat(settings_.directory, "/vm-", vm, ".toml"),
      LogPath(vm, started.incarnation));
}

std::string SoakFleet::LogName(size_t vm, uint32_t incarnation) const {
  return absl::StrCat("vm-", vm, "-", incarnation, ".log");
}

std::string SoakFleet::LogPath(size_t vm, uint32_t incarnation) const {
  return absl::StrCat(settings_.directory, "/", LogName(vm, incarnation));
}

void SoakFleet::RecordDisturbance(DisturbanceKind kind, size_t vm,
                                  TimePoint now) {
  disturbances_.push_back({.kind = kind, .vm = vm, .from = now, .until = now});
}

void SoakFleet::Terminate(size_t vm, TimePoint now) {
  Vm& stopped = *vms_[vm];
  if (!stopped.process.running() || stopped.terminated_at != TimePoint::max()) {
    return;
  }
  RecordDisturbance(DisturbanceKind::kRestart, vm, now);
  stopped.terminated_at = now;
  stopped.process.Signal(SIGTERM);
}

void SoakFleet::Kill(size_t vm, TimePoint now) {
  Vm& killed = *vms_[vm];
  if (!killed.process.running()) return;
  RecordDisturbance(DisturbanceKind::kRestart, vm, now);
  killed.process.Kill();
  killed.restart_at = now + kRestartDelay;
}

void SoakFleet::Freeze(size_t vm, TimePoint now) {
  RecordDisturbance(DisturbanceKind::kSlowed, vm, now);
  vms_[vm]->frozen = true;
  UpdateStandstill(*vms_[vm]);
}

void SoakFleet::Thaw(size_t vm, TimePoint now) {
  if (!vms_[vm]->frozen) return;
  RecordDisturbance(DisturbanceKind::kSlowed, vm, now);
  vms_[vm]->frozen = false;
  UpdateStandstill(*vms_[vm]);
}

void SoakFleet::SetSlow(size_t vm, bool slow, TimePoint now) {
  RecordDisturbance(DisturbanceKind::kSlowed, vm, now);
  vms_[vm]->slow = slow;
  vms_[vm]->next_phase_at = now;
  if (!slow) vms_[vm]->standing_still = false;
  UpdateStandstill(*vms_[vm]);
}

void SoakFleet::UpdateStandstill(Vm& vm) const {
  vm.process.Signal(vm.frozen || vm.standing_still ? SIGSTOP : SIGCONT);
}

uint32_t SoakFleet::RunningPercent(const Vm& vm) const {
  return vm.slow ? std::min(kSlowPercent, settings_.core_percent)
                 : settings_.core_percent;
}

void SoakFleet::RunSlowPhase(size_t index, TimePoint now) {
  Vm& vm = *vms_[index];
  const uint32_t percent = RunningPercent(vm);
  if (percent == kFullPercent || now < vm.next_phase_at) return;
  vm.standing_still = !vm.standing_still;
  const Duration running = kSharePeriod * percent / kFullPercent;
  vm.next_phase_at =
      now + (vm.standing_still ? kSharePeriod - running : running);
  if (vm.slow) RecordDisturbance(DisturbanceKind::kSlowed, index, now);
  UpdateStandstill(vm);
}

void SoakFleet::HandleEnd(size_t index, TimePoint now) {
  Vm& vm = *vms_[index];
  if (!vm.process.Reap()) return;
  const bool expected =
      vm.terminated_at != TimePoint::max() && vm.process.ended_as_asked();
  if (!expected) ++unexpected_ends_;
  RecordDisturbance(DisturbanceKind::kRestart, index, now);
  vm.restart_at = now + kRestartDelay;
}

void SoakFleet::Run(TimePoint now) {
  for (size_t i = 0; i < vms_.size(); ++i) {
    Vm& vm = *vms_[i];
    RunSlowPhase(i, now);
    HandleEnd(i, now);
    const bool overdue = vm.process.running() &&
                         vm.terminated_at != TimePoint::max() &&
                         now >= vm.terminated_at + kGraceTime;
    if (overdue) Kill(i, now);
    if (now >= vm.restart_at) StartProcess(i, now).IgnoreError();
  }
}

void SoakFleet::EndFaults(TimePoint now) {
  for (size_t i = 0; i < vms_.size(); ++i) {
    if (vms_[i]->slow) SetSlow(i, false, now);
    Thaw(i, now);
  }
}

void SoakFleet::RunAtFullSpeed() {
  settings_.core_percent = kFullPercent;
  for (const auto& vm : vms_) {
    vm->standing_still = false;
    UpdateStandstill(*vm);
  }
}

bool SoakFleet::IsInRotation(size_t vm, TimePoint now) const {
  const Vm& queried = *vms_[vm];
  return queried.process.running() &&
         (queried.terminated_at == TimePoint::max() ||
          now < queried.terminated_at + kRotationDelay);
}

std::vector<size_t> SoakFleet::TakeRestarted() {
  return std::exchange(restarted_, {});
}

void SoakFleet::ForEachLogLine(
    const std::string& text,
    const std::function<void(const std::string&, const std::string&)>& handle)
    const {
  for (size_t i = 0; i < vms_.size(); ++i) {
    for (uint32_t run = 1; run <= vms_[i]->incarnation; ++run) {
      std::ifstream log(LogPath(i, run));
      std::string line;
      while (std::getline(log, line)) {
        if (line.find(text) != std::string::npos) handle(LogName(i, run), line);
      }
    }
  }
}

size_t SoakFleet::CountLogLines(const std::string& text) const {
  size_t count = 0;
  ForEachLogLine(text,
                 [&count](const std::string&, const std::string&) { ++count; });
  return count;
}

std::vector<std::string> SoakFleet::FindLogLines(const std::string& text,
                                                 size_t limit) const {
  std::vector<std::string> lines;
  ForEachLogLine(text, [&](const std::string& log, const std::string& line) {
    if (lines.size() < limit) lines.push_back(absl::StrCat(log, ": ", line));
  });
  return lines;
}

}  // namespace knapweedlift::lab
