#ifndef KNAPWEEDLIFT_LAB_MARKS_SIM_SERVER_H_
#define KNAPWEEDLIFT_LAB_MARKS_SIM_SERVER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "drivers/packet_batch.h"
#include "lab/marks/flow_endpoint.h"
#include "lab/marks/flow_records.h"

namespace knapweedlift::lab {

// Counters of backend servers. All but `executed` count violations of the load
// balancer's guarantees.
struct ServerTotals {
  // Executed requests.
  uint64_t executed = 0;
  // Requests that had been executed before.
  uint64_t duplicates = 0;
  // Packets that are malformed or have a wrong checksum.
  uint64_t invalid_packets = 0;
  // Flows opened on a draining server after its grace period.
  uint64_t late_flows = 0;
  // Packets of flows that the server never held, which it answers with a reset.
  uint64_t foreign_packets = 0;

  auto operator<=>(const ServerTotals&) const = default;
};

enum class SimServerState : uint8_t {
  kServing,
  // Closes each flow after its next response. New flows are still accepted;
  // late ones are counted in ServerTotals.
  kDraining,
  // Drops every packet and refuses connections.
  kUnreachable,
  // Refuses connections, as a server at its limit does, and answers the
  // requests of all flows but one.
  kOverloaded,
  // Neither answers packets nor accepts or refuses connections, as behind a cut
  // network. Keeps its flows.
  kCutOff,
  // Answers requests one after the other, at intervals of kSlowServiceTime.
  // While kMaxRequests are in progress it is full: it refuses connections and
  // answers further requests with 503.
  kSlow,
  // Answers SYNs late by kLateAnswer and accepts connections only in a part of
  // each kAcceptPeriod.
  kAcceptsLate,
  // Handles no events. The kernel still accepts connections, and packets wait.
  kPaused,
};

// Requests in progress and in the queue of a server with 2 slots.
inline constexpr size_t kMaxRequests = 10;
// The last request of a full queue waits for a second.
inline constexpr Duration kSlowServiceTime{100};
// Longer than the first retransmission time-out of a SYN, and shorter than the
// time after which a caller gives up.
inline constexpr Duration kLateAnswer{350};
inline constexpr Duration kAcceptPeriod{400};
inline constexpr Duration kAcceptTime{80};

// Simulates a backend server that speaks the platform's packet protocol.
class SimServer {
 public:
  SimServer(std::string id, uint64_t instance, std::string service,
            const Endpoint& endpoint, uint16_t client_port);

  // Binds the sockets. Returns false on failure.
  bool Open();

  void SetState(SimServerState state, TimePoint now);

  // Time from a request to its response; zero at first.
  void SetResponseDelay(Duration delay) { response_delay_ = delay; }

  // Sees each SYN that this server gets, and returns false to drop it, as a
  // server without room does.
  using SynFilter = std::function<bool(const platform::PacketHeader& syn,
                                       const SimServer& server, TimePoint now)>;
  void SetSynFilter(const SynFilter& filter) { syn_filter_ = filter; }

  // Processes received packets and sends what is due. `executed_requests` holds
  // the ids of the requests that any server has executed.
  void Run(TimePoint now, ServerTotals& totals,
           std::set<std::string>& executed_requests);

  const std::string& id() const { return id_; }
  const std::string& service() const { return service_; }
  Endpoint endpoint() const { return endpoint_; }
  size_t flows() const { return flows_.size(); }
  const std::set<std::string>& requests() const { return requests_; }
  SimServerState state() const { return state_; }
  const std::vector<ForeignPacketRecord>& foreign_packets() const {
    return foreign_packets_;
  }
  // Appends the flows that this server accepted.
  void AppendFlowRecords(std::vector<ServedFlowRecord>& records) const;

 private:
  using FlowId = FlowAddresses;
  // A flow, and the first sequence number of this server.
  using ServedFlowId = std::pair<FlowId, uint32_t>;

  struct QueuedRequest {
    ServedFlowId flow;
    std::string id;
  };
  struct LateAnswer {
    TimePoint due;
    Segment syn_ack;
  };
  // How the TCP port treats connections.
  enum class Listener : uint8_t { kAccepts, kRefuses, kSilent };

  struct Flow {
    uint32_t client_sequence = 0;
    uint32_t server_sequence = 0;
    platform::PacketHeader header;
    // Null until the handshake is complete.
    std::unique_ptr<FlowEndpoint> endpoint;
    std::string input;
    // Ids of the executed requests, and when their responses are due.
    std::deque<std::pair<TimePoint, std::string>> responses;
    TimePoint last_seen;
  };

  void ReceivePackets(TimePoint now, ServerTotals& totals);
  void HandleSegment(const Segment& segment, TimePoint now,
                     ServerTotals& totals);
  void HandleUnknownFlow(const Segment& segment, const FlowId& id,
                         TimePoint now, ServerTotals& totals);
  void HandleSyn(const Segment& segment, const FlowId& id, TimePoint now,
                 ServerTotals& totals);
  void ServeFlow(Flow& flow, TimePoint now, ServerTotals& totals,
                 std::set<std::string>& executed_requests);
  void RespondTo(Flow& flow, const std::string& response);
  // Answers the queued requests that are due; all of them once the server is no
  // longer slow.
  void ServeQueue(TimePoint now);
  void SendLateAnswers(TimePoint now);
  // Records the contact of a packet with a cut.
  void RecordCutContact(const ServedFlowId& id, TimePoint now);
  void RecordWaitingOutput(TimePoint now);
  void Send(const Segment& segment);
  // Sets the TCP port to what the state requires.
  void UpdateListener(TimePoint now);
  void SetListener(Listener listener);
  void AcceptHealthChecks();

  std::string id_;
  uint64_t instance_;
  std::string service_;
  Endpoint endpoint_;
  uint16_t client_port_;
  FileDescriptor udp_;
  FileDescriptor tcp_;
  // A connection that fills the accept queue, so that the kernel drops others.
  FileDescriptor blocker_;
  Listener listener_ = Listener::kAccepts;
  SimServerState state_ = SimServerState::kServing;
  TimePoint draining_since_;
  Duration response_delay_{0};
  SynFilter syn_filter_;
  // The flow whose requests are not answered while overloaded.
  const Flow* unanswered_ = nullptr;
  std::deque<QueuedRequest> queue_;
  TimePoint next_service_at_;
  std::deque<LateAnswer> late_answers_;
  uint32_t next_server_sequence_;
  std::map<FlowId, Flow> flows_;
  // Flows that this server held at any time, with the times of their contacts
  // with cuts.
  std::map<ServedFlowId, std::vector<TimePoint>> served_flows_;
  std::set<FlowId> opened_flows_;
  std::vector<ForeignPacketRecord> foreign_packets_;
  std::set<std::string> requests_;
  ReceiveBatch batch_;
};

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_MARKS_SIM_SERVER_H_
