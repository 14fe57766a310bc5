#ifndef KNAPWEEDLIFT_LAB_DATAGRAMS_H_
#define KNAPWEEDLIFT_LAB_DATAGRAMS_H_

#include <cstdint>
#include <span>

#include "drivers/socket.h"

namespace knapweedlift::lab {

// Sends one datagram without blocking. Errors are ignored: a datagram that does
// not fit in the send buffer is lost, as on a network.
inline void SendDatagram(const FileDescriptor& socket,
                         const Endpoint& destination,
                         std::span<const uint8_t> bytes) {
  const SocketAddress address = ToSocketAddress(destination);
  sendto(socket.value(), bytes.data(), bytes.size(), MSG_DONTWAIT,
         reinterpret_cast<const sockaddr*>(&address.storage), address.size);
}

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_DATAGRAMS_H_
