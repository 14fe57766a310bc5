#ifndef REVIEW_STANDINS_2_CLIENTS_H_
#define REVIEW_STANDINS_2_CLIENTS_H_

#include <functional>
#include <map>
#include <string>

#include "loop.h"
#include "packet.h"
#include "vms.h"

// A client's machine, whose flows follow PROTOCOL.md, "Flows".
class Client {
 public:
  using Done = std::function<void()>;
  // Judges a reset, by the system or by an endpoint, on a flow that is open.
  using OnReset = std::function<void(const FlowId& flow, bool by_system,
                                     const Vm* taken_by)>;

  Client(Loop& loop, Platform& platform, std::string zone, uint32_t ip,
         OnReset on_reset);
  bool bound() const { return fd_ >= 0; }

  // Opens a flow to a route. `opened` is called once the flow is open, `failed`
  // if it does not open or when it ends later.
  FlowId Open(const Address& route, Done opened, Done failed);
  // Sends a request on an open flow; `answered` is called with its answer.
  void Request(const FlowId& flow, Done answered);
  bool IsOpen(const FlowId& flow) const;
  void CloseFlow(const FlowId& flow);
  // When the flow's last packet was sent or came.
  Millis last_used(const FlowId& flow) const;
  Millis opened_at(const FlowId& flow) const;

 private:
  struct Flow {
    bool open = false;
    uint32_t first = 0;
    uint32_t server_first = 0;
    uint32_t sent = 0;
    uint32_t next = 0;
    uint32_t echo = 0;
    uint32_t copies = 0;
    std::string request;
    std::string attempt;
    std::string input;
    int retransmits = 0;
    uint64_t timer = 0;
    Millis opened_at = 0;
    Millis last_used = 0;
    const Vm* taken_by = nullptr;
    Done opened;
    Done failed;
    Done answered;
  };

  void Receive();
  void Handle(const Packet& packet);
  void HandleData(const FlowId& id, Flow& flow, const Packet& packet);
  void SendSyn(const FlowId& id);
  void SendRequest(const FlowId& id);
  void Send(const FlowId& id, Flow& flow, uint8_t flags, uint32_t seq,
            uint32_t ack, const std::string& data);
  void Fail(const FlowId& id, const char* reason);

  Loop& loop_;
  Platform& platform_;
  std::string zone_;
  uint32_t ip_ = 0;
  int fd_ = -1;
  uint16_t next_port_ = 1024;
  OnReset on_reset_;
  std::map<FlowId, Flow> flows_;
};

#endif  // REVIEW_STANDINS_2_CLIENTS_H_
