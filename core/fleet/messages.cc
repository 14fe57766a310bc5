#include "core/fleet/messages.h"

namespace knapweedlift {

const VmAddress* SenderAddress(const FleetMessage& message) {
  if (const auto* gossip = std::get_if<FleetGossip>(&message)) {
    return gossip->peers.empty() ? nullptr : &gossip->peers.front().address;
  }
  if (const auto* request = std::get_if<FactsRequest>(&message)) {
    return request->requester.has_value() ? &*request->requester : nullptr;
  }
  if (const auto* query = std::get_if<OpeningQuery>(&message)) {
    return &query->requester;
  }
  if (const auto* reply = std::get_if<OpeningReply>(&message)) {
    return &reply->sender;
  }
  const auto* referral = std::get_if<FactsReferral>(&message);
  return referral == nullptr ? nullptr : &referral->sender;
}

}  // namespace knapweedlift
