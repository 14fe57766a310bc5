#ifndef KNAPWEEDLIFT_SERVERS_MARKS_FLEET_MESSENGER_H_
#define KNAPWEEDLIFT_SERVERS_MARKS_FLEET_MESSENGER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/fleet/fleet.h"
#include "drivers/peer_transport.h"

namespace knapweedlift {

// This VM's connection to the other VMs. Used by the control thread alone.
class FleetMessenger {
 public:
  // The references must outlive the link.
  FleetMessenger(Reactor& reactor, Registry& registry)
      : reactor_(reactor), registry_(registry) {}

  // Binds to `control`; other VMs of the deployment are found through `seeds`.
  absl::Status Open(uint64_t deployment, const Endpoint& control,
                    const std::string& domain,
                    const std::vector<Endpoint>& seeds);

  // Receive until the reactor is stopped, each in the calling fiber.
  using UpdateHandler = std::function<void(const FleetNews&)>;
  void ReceiveDatagrams(const UpdateHandler& handle_update);
  void ReceiveStreams(const UpdateHandler& handle_update);

  // Sends what is due.
  void Tick(TimePoint now);

  // Each of these tells other VMs.
  void EnterPhase(MemberPhase phase);
  void SetWatching(bool watching);
  void SendFacts(Revision before);
  void SendSuspicions(const std::vector<Mark>& marks);

  // Where peers' messages are received.
  Endpoint endpoint() const { return transport_->endpoint(); }

  FleetState& state() { return state_; }
  const FleetState& state() const { return state_; }
  uint64_t sent_bytes() const { return sent_bytes_; }
  uint64_t received_bytes() const { return received_bytes_; }
  uint64_t bad_messages() const { return bad_messages_; }

 private:
  void HandleMessage(const std::string& bytes,
                     const UpdateHandler& handle_update);
  void Send(const FleetOutbox& out);

  Reactor& reactor_;
  Registry& registry_;
  std::unique_ptr<PeerTransport> transport_;
  FleetState state_;
  uint64_t deployment_ = 0;
  uint64_t sent_bytes_ = 0;
  uint64_t received_bytes_ = 0;
  uint64_t bad_messages_ = 0;
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_SERVERS_MARKS_FLEET_MESSENGER_H_
