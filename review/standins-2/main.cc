#include <signal.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <string>

#include "cases.h"

// Plays one case against the project's daemons. Exits with 1 if its rule was
// broken, with 0 if it held, and with 2 if the case could not run.
int main(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: world CASE RECORD, in the repository root\n");
    return kCannotRun;
  }
  signal(SIGPIPE, SIG_IGN);
  const char* trouble = std::getenv("TROUBLE");
  std::string folder =
      std::filesystem::temp_directory_path() / "review-world-XXXXXX";
  if (mkdtemp(folder.data()) == nullptr) return kCannotRun;
  OpenRecord(argv[2]);
  World world(folder, trouble == nullptr || std::string(trouble) != "0");
  int result = Play(world, argv[1]);
  if (result != kCannotRun && world.platform().own_ends() > 0) {
    Record("FAULT      %d processes ended by themselves",
           world.platform().own_ends());
  }
  world.platform().EndAll();
  if (std::getenv("KEEP_LOGS") != nullptr) {
    std::printf("logs in %s\n", folder.c_str());
  } else {
    std::filesystem::remove_all(folder);
  }
  Record("result     %d flows broken, exit %d", world.broken(), result);
  std::printf("%d flows broken, exit %d\n", world.broken(), result);
  return result;
}
