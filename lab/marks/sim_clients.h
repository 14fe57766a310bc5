#ifndef KNAPWEEDLIFT_LAB_MARKS_SIM_CLIENTS_H_
#define KNAPWEEDLIFT_LAB_MARKS_SIM_CLIENTS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "drivers/packet_batch.h"
#include "lab/marks/flow_endpoint.h"
#include "lab/marks/flow_records.h"
#include "lab/marks/sim_router.h"

namespace knapweedlift::lab {

// A service and the virtual address at which clients reach it.
struct ServiceAddress {
  std::string name;
  Endpoint address;

  auto operator<=>(const ServiceAddress&) const = default;
};

// Counters of one service, as its clients see it.
struct ClientTotals {
  uint64_t flows = 0;
  uint64_t established = 0;
  uint64_t responses = 0;
  // Established flows that were reset before the server had closed them.
  uint64_t reset_flows = 0;
  // Those of them that a VM reset, and not a server.
  uint64_t flows_reset_by_vms = 0;
  // Flows that were reset before they were established.
  uint64_t refused_flows = 0;
  // Flows that ended because a handshake, a response or an acknowledgement did
  // not arrive in time.
  uint64_t timeouts = 0;
  uint64_t wrong_service = 0;
  uint64_t wrong_responses = 0;
  std::vector<double> latency_ms;
};

// Adds `totals` to `sum`.
void AddTotals(ClientTotals& sum, const ClientTotals& totals);

// The clients of one failure domain. They run long flows, which pause between
// requests, and short flows of one request each.
class SimClients {
 public:
  SimClients(std::string domain, const IpAddress& address, uint16_t port,
             const std::vector<ServiceAddress>& services, uint64_t seed);

  // Binds the socket. Returns false on failure.
  bool Open();

  void StartLongFlows(int flows_per_service);
  // Starts `per_second` short flows a second, from `now` on.
  void SetShortFlowRate(double per_second, TimePoint now);
  // Stops starting flows and sending requests.
  void Finish() { finishing_ = true; }

  // Processes received packets and sends what is due.
  void Run(TimePoint now, const SimRouter& router);

  // True if every flow is established and has no outstanding request.
  bool idle() const;
  // Totals in the order of the services.
  const std::vector<ClientTotals>& totals() const { return totals_; }
  // Appends the flows that were opened, among them those that are still open at
  // `now`.
  void AppendFlowRecords(TimePoint now,
                         std::vector<ClientFlowRecord>& records) const;

 private:
  struct Flow {
    size_t service = 0;
    FlowKey key;
    bool long_lived = false;
    uint32_t sequence = 0;
    int syn_count = 0;
    TimePoint next_syn_at;
    // Null until the SYN-ACK has arrived.
    std::unique_ptr<FlowEndpoint> endpoint;
    std::string received;
    std::string request;
    TimePoint request_sent_at;
    TimePoint next_request_at;
    bool closed = false;
    uint32_t server_sequence = 0;
    TimePoint opened_at;
    FlowEnd end = FlowEnd::kClosed;
  };

  static ClientFlowRecord RecordOf(const Flow& flow, FlowEnd end,
                                   TimePoint now);
  void StartFlow(size_t service, bool long_lived, TimePoint now);
  void SendSyn(Flow& flow, TimePoint now, const SimRouter& router);
  void HandleSegment(const Segment& segment, TimePoint now,
                     const SimRouter& router);
  void HandleReset(Flow& flow, bool sent_by_vm);
  void RunFlow(Flow& flow, TimePoint now, const SimRouter& router);
  void HandleResponses(Flow& flow, TimePoint now);
  void SendRequest(Flow& flow, TimePoint now);
  void FailFlow(Flow& flow, uint64_t ClientTotals::*counter);
  void Send(const Segment& segment, const SimRouter& router);

  std::string domain_;
  IpAddress address_;
  uint16_t port_;
  std::vector<ServiceAddress> services_;
  std::mt19937_64 random_;
  FileDescriptor socket_;
  std::vector<ClientTotals> totals_;
  std::map<uint16_t, Flow> flows_;
  std::vector<ClientFlowRecord> ended_flows_;
  std::vector<size_t> failed_long_flows_;
  uint16_t next_port_ = 1'024;
  uint64_t next_request_ = 1;
  double short_flow_rate_ = 0;
  TimePoint next_short_flow_at_ = TimePoint::max();
  bool finishing_ = false;
  ReceiveBatch batch_;
};

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_MARKS_SIM_CLIENTS_H_
