#ifndef KNAPWEEDLIFT_DRIVERS_THRIFT_WIRE_H_
#define KNAPWEEDLIFT_DRIVERS_THRIFT_WIRE_H_

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

// Encoding and decoding shared by the codecs of messages between VMs.
namespace knapweedlift {

// Thrown for messages with fields that are out of range. Never leaves the
// codecs, which use an exception because Thrift reports malformed bytes by
// exceptions, too.
struct InvalidMessage {};

// Converts a field to a narrower unsigned type. Throws InvalidMessage for
// values that are negative or too large.
template <typename T>
T Narrow(int64_t value) {
  const bool fits = value >= 0 && std::in_range<T>(value);
  if (!fits) throw InvalidMessage{};
  return static_cast<T>(value);
}

// Encodes a generated structure in Thrift's compact protocol.
template <typename Wire>
std::string EncodeThrift(const Wire& wire) {
  using apache::thrift::transport::TMemoryBuffer;
  const auto buffer = std::make_shared<TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  wire.write(&protocol);
  return buffer->getBufferAsString();
}

// Decodes a generated structure and converts it with `convert`. Returns nothing
// if the bytes are malformed or `convert` throws InvalidMessage.
template <typename Wire, typename Convert>
auto DecodeThrift(const std::string& bytes, Convert convert)
    -> std::optional<decltype(convert(std::declval<const Wire&>()))> {
  using apache::thrift::transport::TMemoryBuffer;
  std::string copy = bytes;
  const auto buffer =
      std::make_shared<TMemoryBuffer>(reinterpret_cast<uint8_t*>(copy.data()),
                                      static_cast<uint32_t>(copy.size()));
  // Bounds length fields by the size of the message, so that a forged length
  // cannot cause a large allocation.
  const auto limit = static_cast<int32_t>(bytes.size());
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(
      buffer, limit, limit);
  try {
    Wire wire;
    wire.read(&protocol);
    return convert(wire);
  } catch (const apache::thrift::TException&) {
    return std::nullopt;
  } catch (const InvalidMessage&) {
    return std::nullopt;
  }
}

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_DRIVERS_THRIFT_WIRE_H_
