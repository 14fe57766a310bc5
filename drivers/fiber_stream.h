#ifndef KNAPWEEDLIFT_DRIVERS_FIBER_STREAM_H_
#define KNAPWEEDLIFT_DRIVERS_FIBER_STREAM_H_

#include <boost/asio/buffer.hpp>
#include <boost/system/error_code.hpp>
#include <boost/system/system_error.hpp>
#include <cstddef>
#include <cstdint>

#include "absl/status/statusor.h"
#include "drivers/reactor.h"

namespace knapweedlift {

// A TCP connection whose reads and writes suspend the calling fiber. Models
// Beast's SyncStream concept, so that Beast's synchronous functions work in
// fibers. Every operation fails with timed_out at the deadline or when the
// reactor is stopped.
class FiberStream {
 public:
  FiberStream(Reactor& reactor, FileDescriptor socket, TimePoint deadline)
      : reactor_(&reactor), socket_(std::move(socket)), deadline_(deadline) {}

  // Opens a connection. Fails with kSocket if it is not established before the
  // deadline.
  static absl::StatusOr<FiberStream> Connect(Reactor& reactor,
                                             const Endpoint& to,
                                             TimePoint deadline);

  // Sets the deadline of subsequent operations.
  void set_deadline(TimePoint deadline) { deadline_ = deadline; }

  template <typename Buffers>
  size_t read_some(const Buffers& buffers, boost::system::error_code& error) {
    const auto first = boost::asio::buffer_sequence_begin(buffers);
    const boost::asio::mutable_buffer buffer(*first);
    return ReadBytes(buffer.data(), buffer.size(), error);
  }

  template <typename Buffers>
  size_t write_some(const Buffers& buffers, boost::system::error_code& error) {
    const auto end = boost::asio::buffer_sequence_end(buffers);
    for (auto it = boost::asio::buffer_sequence_begin(buffers); it != end;
         ++it) {
      const boost::asio::const_buffer buffer(*it);
      if (buffer.size() == 0) continue;
      return WriteBytes(buffer.data(), buffer.size(), error);
    }
    return 0;
  }

  template <typename Buffers>
  size_t read_some(const Buffers& buffers) {
    boost::system::error_code error;
    const size_t size = read_some(buffers, error);
    if (error) throw boost::system::system_error(error);
    return size;
  }

  template <typename Buffers>
  size_t write_some(const Buffers& buffers) {
    boost::system::error_code error;
    const size_t size = write_some(buffers, error);
    if (error) throw boost::system::system_error(error);
    return size;
  }

 private:
  size_t ReadBytes(void* data, size_t size, boost::system::error_code& error);
  size_t WriteBytes(const void* data, size_t size,
                    boost::system::error_code& error);

  Reactor* reactor_;
  FileDescriptor socket_;
  TimePoint deadline_;
};

enum class ConnectResult : uint8_t {
  kConnected,
  // The host refused or reset the connection: no process listens.
  kRefused,
  // No response before the deadline, or a local or routing error.
  kUnanswered,
};

// Opens a TCP connection and closes it at once, as a health check does.
ConnectResult ProbeConnection(Reactor& reactor, const Endpoint& to,
                              TimePoint deadline);

// Accepts one connection. Returns an invalid descriptor at the deadline or when
// the reactor is stopped.
FileDescriptor AcceptConnection(Reactor& reactor,
                                const FileDescriptor& listener,
                                TimePoint deadline);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_DRIVERS_FIBER_STREAM_H_
