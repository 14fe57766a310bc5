#include "drivers/peer_codec.h"

#include "tests/support/properties.h"

using namespace knapweedlift;

namespace {

std::vector<Message> MessagesOfEachKind() {
  const GenerationId generation{.revision = 7, .sequence = 3, .coordinator = 2};
  return {
      Gossip{.sender = {.id = 4, .domain = "a"},
             .sheet_revision = 7,
             .heartbeats = {{.vm = 4,
                             .incarnation = 9,
                             .count = 2,
                             .phase = MemberPhase::kServing}},
             .tables = {{.service = 1, .generation = generation}}},
      SheetRequest{},
      SheetReply{{"one", "two"}},
      TableRequest{.service = 5},
      TableReply{.version = {1, generation}, .sheet_revision = 7, .delta = "d"},
      StepMessage{{.service = 1,
                   .base = generation,
                   .generation = generation,
                   .kind = StepKind::kSwitch,
                   .forced = true,
                   .range = {1, 9},
                   .vetoes = "v",
                   .queried_vms = {{1, 9}, {4, 8}}}},
      StepReply{.version = {1, generation}, .incarnation = 2, .occupied = "o"},
      OccupancyNotice{.service = 1,
                      .origin = 3,
                      .incarnation = 4,
                      .lifetime_s = 60,
                      .replaces_earlier = true,
                      .occupied = "p"},
      FlowAssignmentNotice{.service = 1, .assignments = {{~uint64_t{0}, 3}}},
  };
}

}  // namespace

Test(peer_codec, round_trip_preserves_every_message) {
  for (const Message& message : MessagesOfEachKind()) {
    const PeerMessage sent{.deployment = 5, .sender = 4, .message = message};
    cr_expect(DecodePeerMessage(EncodePeerMessage(sent)) == sent);
  }
}

Test(peer_codec, does_not_crash_on_altered_or_truncated_messages) {
  std::vector<std::string> encoded;
  for (const Message& message : MessagesOfEachKind()) {
    encoded.push_back(EncodePeerMessage({.sender = 4, .message = message}));
  }
  ExpectProperty(
      "altered or truncated messages",
      [&](uint8_t which, uint16_t at, uint8_t value, uint16_t cut) {
        std::string bytes = encoded[which % encoded.size()];
        bytes[at % bytes.size()] = static_cast<char>(value);
        bytes.resize(bytes.size() - cut % bytes.size());
        const auto message = DecodePeerMessage(bytes);
        if (message.has_value()) {
          RC_ASSERT(DecodePeerMessage(EncodePeerMessage(*message)) == message);
        }
      });
  ExpectProperty("arbitrary bytes", [](const std::string& bytes) {
    RC_ASSERT(DecodePeerMessage(bytes) == DecodePeerMessage(bytes));
  });
}
