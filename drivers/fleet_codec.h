#ifndef KNAPWEEDLIFT_DRIVERS_FLEET_CODEC_H_
#define KNAPWEEDLIFT_DRIVERS_FLEET_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/fleet/messages.h"

namespace knapweedlift {

// A message between VMs with its deployment and sender.
struct SentFleetMessage {
  uint64_t deployment = 0;
  VmId sender = kNoVm;
  FleetMessage message;

  auto operator<=>(const SentFleetMessage&) const = default;
};

// Encodes a message in Thrift's compact protocol. Deadlines are encoded as the
// time remaining at `now`, because the clocks of VMs differ.
std::string EncodeFleetMessage(const SentFleetMessage& message, TimePoint now);

// Decodes a message and adds `now` to the remaining times. Returns nothing if
// the bytes are malformed or a field is out of range.
std::optional<SentFleetMessage> DecodeFleetMessage(const std::string& bytes,
                                                   TimePoint now);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_DRIVERS_FLEET_CODEC_H_
