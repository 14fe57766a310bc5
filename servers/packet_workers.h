#ifndef KNAPWEEDLIFT_SERVERS_PACKET_WORKERS_H_
#define KNAPWEEDLIFT_SERVERS_PACKET_WORKERS_H_

#include <atomic>
#include <functional>
#include <memory>
#include <span>
#include <thread>
#include <vector>

#include "absl/status/status.h"
#include "core/time.h"
#include "drivers/packet_batch.h"

namespace knapweedlift {

// What one worker thread does with datagrams. Each transport has its own.
class DatagramHandler {
 public:
  virtual ~DatagramHandler() = default;

  // Called before the datagrams of a batch.
  virtual void BeginBatch(TimePoint now) = 0;

  // Handles one datagram. What is added to `batch` leaves when the whole batch
  // was handled; each datagram adds one at most. Returns true where a caller's
  // router sent the datagram, and false where another VM did.
  virtual bool Handle(std::span<uint8_t> datagram, SendBatch& batch) = 0;
};

// The packet path: threads that receive, let a handler decide, and send on.
// Each owns a socket; the kernel spreads datagrams over them.
class PacketWorkers {
 public:
  // `max_datagram_bytes` is the room for one datagram.
  PacketWorkers(const Endpoint& endpoint, size_t worker_count,
                size_t max_datagram_bytes);
  ~PacketWorkers() { Stop(); }

  // Opens the sockets. Datagrams that come before Start wait there.
  absl::Status Open();

  using HandlerFactory =
      std::function<std::unique_ptr<DatagramHandler>(size_t worker)>;
  void Start(const HandlerFactory& make_handler);
  void Stop();

  // When the last datagram came from a router.
  TimePoint last_router_packet_at() const;

  Endpoint endpoint() const { return endpoint_; }
  const FileDescriptor& socket(size_t worker) const { return sockets_[worker]; }

 private:
  void Run(size_t worker, DatagramHandler& handler);

  Endpoint endpoint_;
  size_t worker_count_;
  size_t max_datagram_bytes_;
  std::vector<FileDescriptor> sockets_;
  std::vector<std::thread> threads_;
  std::atomic<bool> stopping_{false};
  std::atomic<int64_t> last_router_packet_ms_{0};
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_SERVERS_PACKET_WORKERS_H_
