#ifndef KNAPWEEDLIFT_DRIVERS_PEER_CODEC_H_
#define KNAPWEEDLIFT_DRIVERS_PEER_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/control/messages.h"

namespace knapweedlift {

// A message between VMs with its deployment and sender.
struct PeerMessage {
  uint64_t deployment = 0;
  VmId sender = kNoVm;
  Message message;

  auto operator<=>(const PeerMessage&) const = default;
};

// Encodes a message in Thrift's compact protocol.
std::string EncodePeerMessage(const PeerMessage& message);

// Decodes a message. Returns nothing if the bytes are malformed or a field is
// out of range.
std::optional<PeerMessage> DecodePeerMessage(const std::string& bytes);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_DRIVERS_PEER_CODEC_H_
