#ifndef KNAPWEEDLIFT_LAB_BENCH_FORWARD_H_
#define KNAPWEEDLIFT_LAB_BENCH_FORWARD_H_

#include <compare>
#include <cstdint>

namespace knapweedlift::lab {

struct ForwardBenchOptions {
  // Duration of one measurement.
  uint32_t seconds = 2;
  // Number of measurements of the forwarder and of the relay, taken in turn.
  uint32_t rounds = 5;
  uint32_t flows = 10'000;

  auto operator<=>(const ForwardBenchOptions&) const = default;
};

// Measures the packets per second of one forwarder worker and of a baseline
// relay that uses the same sockets and batches, in turn, and then the p99
// latency of both at half of the relay's rate. Prints the medians as one JSON
// object: rates in packets per second, their ratio, and the latency that the
// forwarder adds in microseconds. Returns the exit code: 1 if the forwarder
// does not start.
int RunForwardBench(const ForwardBenchOptions& options);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_BENCH_FORWARD_H_
