#ifndef KNAPWEEDLIFT_SERVERS_MARKS_FLEET_MESSENGER_H_
#define KNAPWEEDLIFT_SERVERS_MARKS_FLEET_MESSENGER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/fleet/openings.h"
#include "drivers/peer_transport.h"

namespace knapweedlift {

// Exchanges gossip, registry changes and suspicions with the other VMs of the
// deployment. Used by the control thread only.
class FleetMessenger {
 public:
  // `reactor` and `registry` must outlive the messenger.
  FleetMessenger(Reactor& reactor, Registry& registry)
      : reactor_(reactor), registry_(registry) {}

  // Binds to `control`, TCP and UDP. Other VMs of the deployment are discovered
  // through `seeds`. Fails if a socket cannot be bound.
  absl::Status Open(uint64_t deployment, const Endpoint& control,
                    const std::string& domain,
                    const std::vector<Endpoint>& seeds);

  // Called after each valid message with the changes that it caused.
  using UpdateHandler = std::function<void(const FleetMessageResult&)>;

  // Receive messages in the calling fiber until the reactor is stopped.
  void ReceiveDatagrams(const UpdateHandler& handle_update);
  void ReceiveStreams(const UpdateHandler& handle_update);

  // Sends the messages that are due.
  void Tick(TimePoint now);

  // Each of these notifies the VMs concerned. SendFacts sends the registry
  // changes after revision `before`.
  void EnterPhase(MemberPhase phase);
  void SetWatching(bool watching);
  void SendFacts(Revision before);
  void SendSuspicions(const std::vector<Mark>& marks);
  void SendAnswers(const std::vector<Mark>& marks, TimePoint answered_at);

  // Reports flows that are still opening to their keepers.
  void SendOpenings(const std::vector<Opening>& openings);
  // Asks the keepers of an opening other than this VM. Returns their number.
  size_t SendOpeningQuery(const OpeningId& id);

  // Sends snapshots to VMs that wait for them, as far as the limits allow.
  void SendWaitingSnapshots();

  // Bound address for messages from peers.
  Endpoint endpoint() const { return transport_->endpoint(); }

  FleetState& state() { return state_; }
  const FleetState& state() const { return state_; }
  // Totals since the start. Bad messages are malformed or belong to another
  // deployment.
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
