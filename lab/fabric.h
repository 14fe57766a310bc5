#ifndef KNAPWEEDLIFT_LAB_FABRIC_H_
#define KNAPWEEDLIFT_LAB_FABRIC_H_

#include <cstdint>

#include "core/sheet/sheet.h"

namespace knapweedlift::lab {

struct FabricOptions {
  // Receives the clients' packets.
  Endpoint listen;
  // The platform, which is polled for the VM list.
  Endpoint platform;
  // Probabilities from 0 to 1 that a packet is dropped, and that it is delayed
  // until after the next one.
  double loss_probability = 0;
  double reorder_probability = 0;
  uint64_t seed = 1;

  auto operator<=>(const FabricOptions&) const = default;
};

// Simulates the network fabric: forwards each packet to a random VM of the
// platform's list, which it polls about every 200 ms. Runs until the process
// receives a stop signal. Returns the exit code: 1 if the socket cannot be
// bound.
int RunFabric(const FabricOptions& options);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_FABRIC_H_
