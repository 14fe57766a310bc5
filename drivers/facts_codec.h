#ifndef KNAPWEEDLIFT_DRIVERS_FACTS_CODEC_H_
#define KNAPWEEDLIFT_DRIVERS_FACTS_CODEC_H_

#include <vector>

#include "core/fleet/messages.h"
#include "drivers/gen/fleet_types.h"

// The part of the codec of messages between VMs that converts facts.
namespace knapweedlift {

gen::FleetEndpointT EndpointToWire(const Endpoint& endpoint);

// Throws InvalidMessage if the address or port is out of range.
Endpoint EndpointFromWire(const gen::FleetEndpointT& wire);

std::vector<gen::RevisionSpanT> SpansToWire(
    const std::vector<RevisionSpan>& spans);

// Throws InvalidMessage if a revision is out of range.
std::vector<RevisionSpan> SpansFromWire(
    const std::vector<gen::RevisionSpanT>& wire);

// Deadlines are encoded as the time that remains at `now`.
gen::FactsNoticeT FactsNoticeToWire(const FactsNotice& notice, TimePoint now);

// Throws InvalidMessage if a field is out of range.
FactsNotice FactsNoticeFromWire(const gen::FactsNoticeT& wire, TimePoint now);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_DRIVERS_FACTS_CODEC_H_
