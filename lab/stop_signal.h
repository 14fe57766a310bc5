#ifndef KNAPWEEDLIFT_LAB_STOP_SIGNAL_H_
#define KNAPWEEDLIFT_LAB_STOP_SIGNAL_H_

namespace knapweedlift::lab {

// Installs handlers for SIGTERM and SIGINT that request a stop.
void CatchStopSignals();

bool StopRequested();

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_STOP_SIGNAL_H_
