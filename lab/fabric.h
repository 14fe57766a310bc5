#ifndef KNAPWEEDLIFT_LAB_FABRIC_H_
#define KNAPWEEDLIFT_LAB_FABRIC_H_

#include <cstdint>

#include "core/sheet/sheet.h"

namespace knapweedlift::lab {

struct FabricOptions {
  Endpoint listen;
  // Where the VM list is read from.
  Endpoint platform;
  // Share of packets that are lost, and of packets that are held back until
  // the next one has passed; 0 to 1.
  double loss_probability = 0;
  double reorder_probability = 0;
  uint64_t seed = 1;

  auto operator<=>(const FabricOptions&) const = default;
};

// Stand-in for the fabric: hands each packet to any VM of the platform's list,
// which it reads a few times a second. Runs until the process is stopped.
int RunFabric(const FabricOptions& options);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_FABRIC_H_
