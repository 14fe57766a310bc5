#ifndef KNAPWEEDLIFT_LAB_MARKS_SIM_SERVERS_H_
#define KNAPWEEDLIFT_LAB_MARKS_SIM_SERVERS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "drivers/packet_batch.h"
#include "lab/marks/flow_endpoint.h"

namespace knapweedlift::lab {

// What servers saw that must not be.
struct ServerTotals {
  uint64_t runs = 0;
  uint64_t doubled = 0;
  // Packets that their sender did not write so.
  uint64_t forged = 0;
  // Requests that opened a flow later than a server may get new work.
  uint64_t late_new_work = 0;

  auto operator<=>(const ServerTotals&) const = default;
};

enum class SimState : uint8_t {
  kServing,
  // Keeps its flows, ends each after its next answer, takes no connections.
  kLeaving,
  // Answers nothing.
  kDark,
};

// A backend server that speaks the platform's packets.
class SimServer {
 public:
  SimServer(std::string id, uint64_t instance, std::string service,
            const Endpoint& endpoint, uint16_t caller_port);

  // Binds its sockets. Returns false where that fails.
  bool Open();

  void SetState(SimState state, TimePoint now);

  // Takes what has arrived and sends what is due.
  void Run(TimePoint now, ServerTotals& totals, std::set<std::string>& ran);

  const std::string& id() const { return id_; }
  const std::string& service() const { return service_; }
  Endpoint endpoint() const { return endpoint_; }
  size_t flows() const { return flows_.size(); }
  const std::set<std::string>& requests() const { return requests_; }

 private:
  // Both ends' addresses and ports, as the caller's packets carry them.
  using FlowId = std::pair<Endpoint, Endpoint>;

  struct Flow {
    uint32_t opening_sequence = 0;
    uint32_t first_sequence = 0;
    platform::PacketHeader header;
    // Null until the handshake has ended.
    std::unique_ptr<FlowEndpoint> endpoint;
    std::string input;
    TimePoint last_seen;
  };

  void HandleSegment(const Segment& segment, TimePoint now,
                     ServerTotals& totals);
  void TakeSyn(const Segment& segment, const FlowId& id, TimePoint now,
               ServerTotals& totals);
  void Serve(Flow& flow, TimePoint now, ServerTotals& totals,
             std::set<std::string>& ran);
  void Send(const Segment& segment);
  void AcceptChecks();

  std::string id_;
  uint64_t instance_;
  std::string service_;
  Endpoint endpoint_;
  uint16_t caller_port_;
  FileDescriptor udp_;
  FileDescriptor tcp_;
  SimState state_ = SimState::kServing;
  TimePoint leaving_since_;
  uint32_t next_sequence_ = 1'000'000;
  std::map<FlowId, Flow> flows_;
  std::set<std::string> requests_;
  ReceiveBatch batch_;
};

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_MARKS_SIM_SERVERS_H_
