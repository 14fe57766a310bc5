#ifndef REVIEW_STANDINS_2_ENDPOINTS_H_
#define REVIEW_STANDINS_2_ENDPOINTS_H_

#include <deque>
#include <map>
#include <string>
#include <utility>

#include "loop.h"
#include "packet.h"
#include "store.h"

// What a run needs to know of an endpoint, for its settings and its entry.
struct EndpointSettings {
  std::string id;
  std::string service;
  std::string zone;
  Address address;
  uint16_t client_port = 0;  // Where packets for clients go.
  int heartbeat_ms = 1200;
  // From its start to its first entry in the store.
  int first_entry_ms = 0;
  int work_ms = 15;
  // Requests that it works on at once; 0 for any number. With `queue` more it
  // is full: it rejects requests at once and refuses connections.
  size_t slots = 0;
  size_t queue = 0;
};

// An endpoint of a service as PROTOCOL.md, "Flows" and "Endpoints", describes
// it: it serves one request at a time on a flow, and two at a time in all.
class Endpoint {
 public:
  Endpoint(Loop& loop, Store& store, EndpointSettings settings);

  // Each start is a new incarnation, under the same id.
  bool Start();
  // Ends without a word: its flows are gone, and its ports are closed.
  void Crash();
  // Its links are cut: connections are refused and packets are lost, and its
  // flows stay.
  void Cut();
  void Heal();

  // True if the flow is open here.
  bool Holds(const FlowId& flow) const;
  const EndpointSettings& settings() const { return settings_; }
  // When a crash, start or cut last disturbed it.
  Millis disturbed_at() const { return disturbed_at_; }
  bool running() const { return running_; }

 private:
  struct Flow {
    bool open = false;
    uint32_t client_seq = 0;  // Of the SYN.
    uint32_t next = 0;        // Next byte that is expected.
    uint32_t first = 0;       // Own SYN's number.
    uint32_t sent = 0;        // Next byte to be sent.
    uint32_t echo = 0;
    std::string input;
    std::string unacknowledged;
    int retransmits = 0;
    uint64_t timer = 0;
  };

  bool OpenPorts();
  bool Listen();
  void ClosePorts();
  void Receive();
  void Handle(const Packet& packet);
  void HandleSyn(const FlowId& id, const Packet& packet);
  void HandleData(const FlowId& id, Flow& flow, const Packet& packet);
  void TakeRequest(const FlowId& id);
  void StartWaiting();
  void UpdateListener();
  bool IsFull() const;
  void Answer(const FlowId& id, const std::string& status,
              const std::string& request);
  void Respond(const FlowId& id, uint64_t incarnation,
               const std::string& request);
  void SendResponse(const FlowId& id, Flow& flow);
  void RepeatSynAck(const FlowId& id, uint32_t first, int retransmits);
  void ScheduleRetransmit(const FlowId& id, Flow& flow);
  void Reset(const FlowId& id, const Packet& packet);
  void SendPacket(const FlowId& id, const Flow& flow, uint8_t flags,
                  uint32_t seq, const std::string& data);
  void WriteEntry(uint64_t incarnation);

  Loop& loop_;
  Store& store_;
  EndpointSettings settings_;
  uint64_t instance_ = 0;
  bool running_ = false;
  uint64_t incarnation_ = 0;
  int64_t born_ = 0;
  uint64_t sequence_ = 0;
  int udp_ = -1;
  int tcp_ = -1;
  std::map<FlowId, Flow> flows_;
  std::deque<std::pair<FlowId, std::string>> waiting_;
  size_t running_requests_ = 0;
  Millis disturbed_at_ = -1'000'000;
};

#endif  // REVIEW_STANDINS_2_ENDPOINTS_H_
