#include <string>

#include "core/fleet/fleet.h"
#include "drivers/fleet_codec.h"
#include "tests/fuzz/fiber_stack.h"

namespace knapweedlift {
namespace {

// A VM with facts of era 1.
Registry RegistryWithFacts(TimePoint now) {
  FactDelta facts{.as_of = {1, 10}, .is_snapshot = true};
  facts.servers.push_back(
      {.name = "i-101", .revision = {1, 9}, .server = ServerFact{.mark = 7}});
  facts.evacuations.push_back(
      {.domain = "a", .revision = {1, 8}, .active = true});
  facts.limits = {.revision = {1, 7}, .limits = {.version = 3}};
  Registry registry;
  MergeDelta(registry, facts, now);
  return registry;
}

// `sender_known` is false if messages that do not make their sender known are
// to be ignored.
void Handle(const SentFleetMessage& message, Registry registry,
            bool sender_known, TimePoint now) {
  FleetState state = StartFleet({.id = 1, .domain = "a"}, {}, 1, now);
  FleetOutbox out;
  if (sender_known) {
    UpdateAddress(state.members, {.id = message.sender, .domain = "a"});
  }
  // The first message makes the sender known, which the second one needs.
  for (int i = 0; i < 2; ++i) {
    const Revision before = registry.as_of;
    HandleFleetMessage(state, registry, message.sender, message.message, now,
                       out);
    if (registry.as_of < before) __builtin_trap();
  }
  TickFleet(state, registry, now + Duration(1'000), out);
  ApplyDeferredChanges(registry, now + Duration(100'000));
  (void)DeltaSince(registry, {1, 10});
  PruneTombstones(registry, now + Duration(200'000));
}

void Receive(const std::string& bytes) {
  const TimePoint now{Duration(1'000'000)};
  const auto message = DecodeFleetMessage(bytes, now);
  if (!message.has_value()) return;
  const auto again = DecodeFleetMessage(EncodeFleetMessage(*message, now), now);
  if (!again.has_value()) __builtin_trap();
  Handle(*message, Registry(), false, now);
  Handle(*message, Registry(), true, now);
  Handle(*message, RegistryWithFacts(now), true, now);
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
