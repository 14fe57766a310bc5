#ifndef KNAPWEEDLIFT_LAB_SOAK_ROUTE_PROBER_H_
#define KNAPWEEDLIFT_LAB_SOAK_ROUTE_PROBER_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "drivers/packet_batch.h"
#include "lab/marks/segment.h"
#include "lab/soak/config_history.h"

namespace knapweedlift::lab {

// A client that opens flows at one VM after the other, past the routers, and
// records which service each VM sends them to.
class RouteProber {
 public:
  RouteProber(const IpAddress& address, uint16_t port);

  // Binds the socket. Returns false on failure.
  bool Open();

  // Opens a flow to `route` through the VM with the data endpoint.
  void Probe(size_t vm, uint32_t incarnation, const Endpoint& data,
             const Endpoint& route, TimePoint now);

  // Records that a backend server of the service got a SYN. Returns true if the
  // SYN is of this client.
  bool HandleServerSyn(const platform::PacketHeader& syn,
                       const std::string& service, TimePoint now);

  // Processes received packets, and repeats SYNs that are due.
  void Run(TimePoint now);

  // Forgets the probes that a VM's process has not handled before its end.
  void ForgetPending(size_t vm);

  const std::vector<RoutedFlow>& flows() const { return flows_; }
  // Probes without any outcome.
  uint64_t unanswered() const { return unanswered_; }

 private:
  // Times at which the SYN of a probe is sent: first, and twice again.
  static constexpr size_t kMaxSyns = 3;

  struct PendingProbe {
    RoutedFlow flow;
    Endpoint data;
    uint16_t source_port = 0;
    uint32_t sequence = 0;
    std::array<TimePoint, kMaxSyns> sent_at;
    size_t syn_count = 0;
    // A backend server or the VM has decided the probe.
    bool decided = false;
  };

  // True if the last SYN of the probe had no effect in time.
  static bool IsOverdue(const PendingProbe& probe, TimePoint now);
  void SendSyn(PendingProbe& probe, TimePoint now);
  void RepeatSyn(PendingProbe& probe, TimePoint now);
  void HandleSegment(const Segment& segment, TimePoint now);
  void CloseFlow(const PendingProbe& probe, const Segment& syn_ack);
  void Send(const platform::PacketHeader& header, const Endpoint& to);

  IpAddress address_;
  uint16_t port_;
  FileDescriptor socket_;
  ReceiveBatch batch_;
  // By source port.
  std::map<uint16_t, PendingProbe> pending_;
  uint16_t next_source_port_;
  uint32_t next_sequence_ = 1;
  std::vector<RoutedFlow> flows_;
  uint64_t unanswered_ = 0;
};

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_SOAK_ROUTE_PROBER_H_
