#include "servers/marks/fleet_messenger.h"

#include "core/fleet/first_facts.h"
#include "drivers/clock.h"
#include "drivers/fleet_codec.h"

namespace knapweedlift {
namespace {

// Derives a VM's id from the IPv4 part of its control address, which is unique
// in a deployment.
VmId VmIdOf(const Endpoint& control) {
  constexpr size_t kV4Offset = 12;
  VmId id = 0;
  for (size_t i = kV4Offset; i < control.address.bytes.size(); ++i) {
    id = (id << 8) | control.address.bytes[i];
  }
  // VMs in tests share the loopback address and differ in the port.
  constexpr int kPortBits = 16;
  return IsLoopback(control.address) ? (id << kPortBits) | control.port : id;
}

}  // namespace

absl::Status FleetMessenger::Open(uint64_t deployment, const Endpoint& control,
                                  const std::string& domain,
                                  const std::vector<Endpoint>& seeds) {
  deployment_ = deployment;
  auto transport = PeerTransport::Open(reactor_, control);
  if (!transport.ok()) return transport.status();
  transport_ = *std::move(transport);
  transport_->OnStreamEnd([this] { SendWaitingSnapshots(); });
  const Endpoint bound = transport_->endpoint();
  state_ =
      StartFleet({.id = VmIdOf(bound), .control = bound, .domain = domain},
                 seeds, static_cast<uint64_t>(WallClockMilliseconds()), Now());
  return absl::OkStatus();
}

void FleetMessenger::ReceiveDatagrams(const UpdateHandler& handle_update) {
  transport_->ReceiveDatagrams(
      [&](const std::string& bytes) { HandleMessage(bytes, handle_update); });
}

void FleetMessenger::ReceiveStreams(const UpdateHandler& handle_update) {
  transport_->ReceiveStreams(
      [&](const std::string& bytes) { HandleMessage(bytes, handle_update); });
}

void FleetMessenger::Tick(TimePoint now) {
  FleetOutbox out;
  state_.snapshots_in_flight = transport_->open_streams();
  TickFleet(state_, registry_, now, out);
  Send(out);
}

void FleetMessenger::EnterPhase(MemberPhase phase) {
  FleetOutbox out;
  knapweedlift::EnterPhase(state_, registry_, phase, Now(), out);
  Send(out);
}

void FleetMessenger::SetWatching(bool watching) {
  FleetOutbox out;
  knapweedlift::SetWatching(state_, registry_, watching, Now(), out);
  Send(out);
}

void FleetMessenger::SendFacts(Revision before) {
  FleetOutbox out;
  knapweedlift::SendFacts(state_, registry_, before, Now(), out);
  Send(out);
}

void FleetMessenger::SendSuspicions(const std::vector<Mark>& marks) {
  FleetOutbox out;
  knapweedlift::SendSuspicions(state_, marks, out);
  Send(out);
}

void FleetMessenger::SendAnswers(const std::vector<Mark>& marks,
                                 TimePoint answered_at) {
  FleetOutbox out;
  knapweedlift::SendAnswers(state_, marks, answered_at, out);
  Send(out);
}

void FleetMessenger::SendOpenings(const std::vector<Opening>& openings) {
  FleetOutbox out;
  knapweedlift::SendOpenings(state_, openings, Now(), out);
  Send(out);
}

size_t FleetMessenger::SendOpeningQuery(const OpeningId& id) {
  FleetOutbox out;
  const size_t asked = knapweedlift::SendOpeningQuery(state_, id, Now(), out);
  Send(out);
  return asked;
}

void FleetMessenger::SendWaitingSnapshots() {
  FleetOutbox out;
  state_.snapshots_in_flight = transport_->open_streams();
  knapweedlift::SendWaitingSnapshots(state_, registry_, Now(), out);
  Send(out);
}

void FleetMessenger::HandleMessage(const std::string& bytes,
                                   const UpdateHandler& handle_update) {
  received_bytes_ += bytes.size();
  const TimePoint now = Now();
  const auto message = DecodeFleetMessage(bytes, now);
  if (!message.has_value() || message->deployment != deployment_) {
    ++bad_messages_;
    return;
  }
  FleetOutbox out;
  state_.snapshots_in_flight = transport_->open_streams();
  const FleetMessageResult update = HandleFleetMessage(
      state_, registry_, message->sender, message->message, now, out);
  Send(out);
  handle_update(update);
}

void FleetMessenger::Send(const FleetOutbox& out) {
  const TimePoint now = Now();
  for (const FleetEnvelope& envelope : out) {
    const auto bytes = std::make_shared<const std::string>(
        EncodeFleetMessage({.deployment = deployment_,
                            .sender = state_.self.id,
                            .message = envelope.message},
                           now));
    sent_bytes_ += bytes->size() * envelope.recipients.size();
    for (const Endpoint& to : envelope.recipients) transport_->Send(to, bytes);
  }
}

}  // namespace knapweedlift
