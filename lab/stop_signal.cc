#include "lab/stop_signal.h"

#include <csignal>

namespace knapweedlift::lab {
namespace {

volatile std::sig_atomic_t stop_requested = 0;

void RequestStop(int) { stop_requested = 1; }

}  // namespace

void CatchStopSignals() {
  std::signal(SIGTERM, RequestStop);
  std::signal(SIGINT, RequestStop);
}

bool StopRequested() { return stop_requested != 0; }

}  // namespace knapweedlift::lab
