#include "platform/packet_codec.h"

#include <vector>

#include "platform/packet_header.h"
#include "tests/support/properties.h"

using namespace knapweedlift;
using namespace knapweedlift::platform;

namespace {

// The example of the platform's specification: a SYN from 100.64.0.7:40001 to
// 198.18.0.1:443.
std::vector<uint8_t> ExampleSyn() {
  return {0x00, 0x00, 0xd5, 0xc3, 0xb2, 0xa1, 0x02, 0x00, 0x00, 0x00, 0x00,
          0x00, 0x44, 0x33, 0x22, 0x11, 0x00, 0x00, 0x00, 0x00, 0x07, 0x00,
          0x40, 0x64, 0xbb, 0x01, 0x01, 0x00, 0x12, 0xc6, 0x41, 0x9c};
}

// The specification's example of a reset in response to that SYN.
std::vector<uint8_t> ExampleReset() {
  return {0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x20, 0x00, 0x00, 0x00, 0x00,
          0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x01, 0x00,
          0x12, 0xc6, 0x41, 0x9c, 0x07, 0x00, 0x40, 0x64, 0xbb, 0x01};
}

}  // namespace

Test(packet_codec, parses_the_platforms_example) {
  const auto packet = PacketCodec().Parse(ExampleSyn());
  cr_assert(packet.has_value());
  cr_expect(FormatIpAddress(packet->key.source) == "100.64.0.7");
  cr_expect(packet->key.source_port == 40'001);
  cr_expect(FormatIpAddress(packet->key.destination) == "198.18.0.1");
  cr_expect(packet->key.destination_port == 443);
  cr_expect(packet->syn);
  cr_expect(not packet->ack && not packet->fin && not packet->rst);
  cr_expect(packet->sequence == 0x11223344);
  cr_expect(packet->mark == kNoMark);
}

Test(packet_codec, writes_the_platforms_reset) {
  const PacketCodec codec;
  std::vector<uint8_t> reset(kMaxResetBytes, 0xFF);
  const size_t size = codec.WriteReset(*codec.Parse(ExampleSyn()), reset);
  reset.resize(size);
  cr_expect(reset == ExampleReset());
}

Test(packet_codec, a_reset_has_the_sequence_number_that_the_caller_expects) {
  const PacketCodec codec;
  std::vector<uint8_t> reset(kMaxResetBytes);
  codec.WriteReset({.acknowledged = 0xA1B2C3D4}, reset);
  const auto read = codec.Parse({reset.data(), kPacketHeaderBytes});
  cr_assert(read.has_value());
  cr_expect(read->rst);
  cr_expect(read->sequence == 0xA1B2C3D4);
}

Test(packet_codec, a_syn_carries_its_retransmission_count) {
  std::vector<uint8_t> bytes = ExampleSyn();
  bytes[16] = 2;
  const auto syn = PacketCodec().Parse(bytes);
  cr_expect(syn->retransmit_count == 2);
  cr_expect(syn->acknowledged == 0);
  bytes[6] = 16;
  const auto other = PacketCodec().Parse(bytes);
  cr_expect(other->retransmit_count == 0);
  cr_expect(other->acknowledged == 2);
}

Test(packet_codec, writing_a_mark_changes_nothing_else) {
  ExpectProperty("only the mark field changes", [](Mark mark) {
    const PacketCodec codec;
    std::vector<uint8_t> bytes = ExampleSyn();
    codec.WriteMark(bytes, mark);
    RC_ASSERT(codec.Parse(bytes)->mark == mark);
    codec.WriteMark(bytes, kNoMark);
    RC_ASSERT(bytes == ExampleSyn());
  });
}

Test(packet_codec, the_instance_header_is_a_big_endian_number) {
  std::vector<uint8_t> header(kMaxInstanceHeaderBytes);
  cr_assert(PacketCodec().WriteInstanceHeader(0x7f3a91c2, header) == 8);
  const std::vector<uint8_t> expected = {0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2};
  cr_expect(std::equal(expected.begin(), expected.end(), header.begin()));
}

Test(packet_codec, arbitrary_bytes_do_not_crash_the_parser) {
  ExpectProperty(
      "no crash, and the size matches the header",
      [](const std::vector<uint8_t>& bytes) {
        const auto packet = PacketCodec().Parse(bytes);
        if (!packet.has_value()) return;
        RC_ASSERT(bytes.size() == kPacketHeaderBytes + packet->payload_size);
      });
  ExpectProperty("truncated packets are rejected", [] {
    std::vector<uint8_t> bytes = ExampleSyn();
    bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size()));
    RC_ASSERT(!PacketCodec().Parse(bytes).has_value());
  });
}
