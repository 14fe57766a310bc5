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

// Processes the datagrams of one worker thread. Implemented by each transport.
class DatagramHandler {
 public:
  virtual ~DatagramHandler() = default;

  // Called before the datagrams of each batch.
  virtual void BeginBatch(TimePoint now) = 0;

  // Handles one datagram and adds at most one to `batch`, which is sent once
  // all received datagrams have been handled. Returns true if the datagram
  // entered the fleet at this VM, and false if another VM relayed it.
  virtual bool Handle(std::span<uint8_t> datagram, SendBatch& batch) = 0;
};

// Threads that receive datagrams, pass them to a handler and send its output.
// Each thread has its own socket on the same port; the kernel distributes the
// datagrams among them.
class PacketWorkers {
 public:
  // `max_datagram_bytes` is the size of the buffer for one datagram.
  PacketWorkers(const Endpoint& endpoint, size_t worker_count,
                size_t max_datagram_bytes);
  ~PacketWorkers() { Stop(); }

  // Opens the sockets, which buffer datagrams until Start. Fails if one cannot
  // be bound.
  absl::Status Open();

  using HandlerFactory =
      std::function<std::unique_ptr<DatagramHandler>(size_t worker)>;
  void Start(const HandlerFactory& make_handler);
  void Stop();

  // When a datagram last entered the fleet at this VM; before the first one,
  // the time of Open.
  TimePoint last_ingress_packet_at() const;

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
  std::atomic<int64_t> last_ingress_packet_ms_{0};
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_SERVERS_PACKET_WORKERS_H_
