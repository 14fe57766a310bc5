#include "lab/soak/vm_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>

#include "absl/strings/str_cat.h"

namespace knapweedlift::lab {
namespace {

constexpr mode_t kLogFileMode = 0644;

// Actions that send the output of a new process to a file.
class OutputToFile {
 public:
  explicit OutputToFile(const std::string& path) {
    posix_spawn_file_actions_init(&actions_);
    posix_spawn_file_actions_addopen(&actions_, STDOUT_FILENO, path.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC,
                                     kLogFileMode);
    posix_spawn_file_actions_adddup2(&actions_, STDOUT_FILENO, STDERR_FILENO);
  }
  ~OutputToFile() { posix_spawn_file_actions_destroy(&actions_); }
  OutputToFile(const OutputToFile&) = delete;
  OutputToFile& operator=(const OutputToFile&) = delete;

  const posix_spawn_file_actions_t* actions() const { return &actions_; }

 private:
  posix_spawn_file_actions_t actions_{};
};

}  // namespace

absl::Status VmProcess::Start(const std::string& binary,
                              const std::string& settings_path,
                              const std::string& log_path) {
  const OutputToFile output(log_path);
  std::string program = binary;
  std::string verb = "serve";
  std::string option = "--settings";
  std::string settings = settings_path;
  const std::array<char*, 5> arguments = {
      program.data(), verb.data(), option.data(), settings.data(), nullptr};
  const int error = posix_spawn(&pid_, binary.c_str(), output.actions(),
                                nullptr, arguments.data(), environ);
  if (error == 0) return absl::OkStatus();
  pid_ = 0;
  return absl::UnavailableError(
      absl::StrCat("cannot start ", binary, ": ", std::strerror(error)));
}

void VmProcess::Signal(int signal) const {
  if (running()) kill(pid_, signal);
}

void VmProcess::Kill() {
  if (!running()) return;
  Signal(SIGKILL);
  while (waitpid(pid_, nullptr, 0) < 0 && errno == EINTR) {
  }
  pid_ = 0;
}

bool VmProcess::Reap() {
  if (!running()) return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return false;
  pid_ = 0;
  ended_as_asked_ = (WIFEXITED(status) && WEXITSTATUS(status) == 0) ||
                    (WIFSIGNALED(status) && WTERMSIG(status) == SIGTERM);
  return true;
}

}  // namespace knapweedlift::lab
