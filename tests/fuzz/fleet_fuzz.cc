#include <string>

#include "core/fleet/fleet.h"
#include "drivers/fleet_codec.h"
#include "tests/fuzz/fiber_stack.h"

namespace knapweedlift {
namespace {

void Receive(const std::string& bytes) {
  const TimePoint now{Duration(1'000'000)};
  const auto message = DecodeFleetMessage(bytes, now);
  if (!message.has_value()) return;
  const auto again = DecodeFleetMessage(EncodeFleetMessage(*message, now), now);
  if (!again.has_value()) __builtin_trap();
  FleetState state = StartFleet({.id = 1, .domain = "a"}, {}, 1, now);
  Registry registry;
  FleetOutbox out;
  // The first message makes the sender known, which the second one needs.
  for (int i = 0; i < 2; ++i) {
    HandleFleetMessage(state, registry, message->sender, message->message, now,
                       out);
  }
  TickFleet(state, registry, now + Duration(1'000), out);
}

}  // namespace
}  // namespace knapweedlift

// A decoded message must survive another round trip, and no message may crash a
// VM.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string bytes(reinterpret_cast<const char*>(data), size);
  knapweedlift::fuzz::RunOnFiberStack([&] { knapweedlift::Receive(bytes); });
  return 0;
}
