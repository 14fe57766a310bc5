#include <span>
#include <vector>

#include "platform/packet_codec.h"

// Parsing arbitrary bytes must not crash, a written mark must be parsed back,
// and a written reset must be a valid packet.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace knapweedlift;
  const platform::PacketCodec codec;
  std::vector<uint8_t> bytes(data, data + size);
  const auto packet = codec.Parse(bytes);
  codec.RequestId(bytes);
  if (!packet.has_value()) return 0;
  constexpr Mark kMark = 7;
  codec.WriteMark(bytes, kMark);
  const auto marked = codec.Parse(bytes);
  if (!marked.has_value() || marked->mark != kMark) __builtin_trap();
  std::vector<uint8_t> reset(64);
  reset.resize(codec.WriteReset(*packet, reset));
  const auto read = codec.Parse(reset);
  if (!read.has_value() || !read->rst) __builtin_trap();
  return 0;
}
