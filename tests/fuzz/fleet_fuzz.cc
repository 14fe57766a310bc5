#include <string>

#include "core/fleet/fleet.h"
#include "drivers/fleet_codec.h"

// A decoded message must survive another round trip, and no message from an
// unknown sender may crash a VM.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace knapweedlift;
  const TimePoint now{Duration(1'000'000)};
  const std::string bytes(reinterpret_cast<const char*>(data), size);
  const auto message = DecodeFleetMessage(bytes, now);
  if (!message.has_value()) return 0;
  const auto again = DecodeFleetMessage(EncodeFleetMessage(*message, now), now);
  if (!again.has_value()) __builtin_trap();
  FleetState state = StartFleet({.id = 1, .domain = "a"}, {}, 1, now);
  Registry registry;
  FleetOutbox out;
  HandleFleetMessage(state, registry, message->sender, message->message, now,
                     out);
  TickFleet(state, registry, now + Duration(1'000), out);
  return 0;
}
