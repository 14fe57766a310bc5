#include "servers/packet_workers.h"

#include <utility>

#include "drivers/clock.h"

namespace knapweedlift {

PacketWorkers::PacketWorkers(const Endpoint& endpoint, size_t worker_count,
                             size_t max_datagram_bytes)
    : endpoint_(endpoint),
      worker_count_(worker_count),
      max_datagram_bytes_(max_datagram_bytes) {}

absl::Status PacketWorkers::Open() {
  for (size_t i = 0; i < worker_count_; ++i) {
    auto bound = BindUdp(endpoint_, {.reuse_port = worker_count_ > 1});
    if (!bound.ok()) return bound.status();
    // If the kernel chooses the port, the other sockets use that of the first.
    endpoint_ = LocalEndpoint(*bound);
    sockets_.push_back(*std::move(bound));
  }
  last_ingress_packet_ms_ = Now().time_since_epoch().count();
  return absl::OkStatus();
}

void PacketWorkers::Start(const HandlerFactory& make_handler) {
  for (size_t i = 0; i < worker_count_; ++i) {
    threads_.emplace_back(
        [this, i, handler = make_handler(i)] { Run(i, *handler); });
  }
}

void PacketWorkers::Stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

TimePoint PacketWorkers::last_ingress_packet_at() const {
  return TimePoint(
      Duration(last_ingress_packet_ms_.load(std::memory_order_relaxed)));
}

void PacketWorkers::Run(size_t worker, DatagramHandler& handler) {
  const FileDescriptor& socket = sockets_[worker];
  ReceiveBatch receive(max_datagram_bytes_);
  SendBatch send;
  while (!stopping_) {
    const size_t count = receive.Receive(socket);
    if (count == 0) continue;
    const TimePoint now = Now();
    handler.BeginBatch(now);
    bool from_ingress = false;
    for (size_t i = 0; i < count; ++i) {
      from_ingress |= handler.Handle(receive.datagram(i), send);
    }
    send.Flush(socket);
    if (from_ingress) last_ingress_packet_ms_ = now.time_since_epoch().count();
  }
}

}  // namespace knapweedlift
