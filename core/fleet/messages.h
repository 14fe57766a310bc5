#ifndef KNAPWEEDLIFT_CORE_FLEET_MESSAGES_H_
#define KNAPWEEDLIFT_CORE_FLEET_MESSAGES_H_

#include <compare>
#include <variant>
#include <vector>

#include "core/membership/members.h"
#include "core/placement/load.h"
#include "core/registry/facts.h"

// What VMs tell each other where packets carry marks. No message is needed for
// a packet to find its way.
namespace knapweedlift {

struct FleetPeer {
  VmAddress address;
  Heartbeat heartbeat;

  auto operator<=>(const FleetPeer&) const = default;
};

// How new the sender's facts are.
struct FactsVersion {
  // The sender knows all changes up to this revision.
  Revision as_of = 0;
  // The last of them that changed a fact.
  Revision last_change = 0;
  // The sender can tell the changes after this revision one by one.
  Revision horizon = 0;

  auto operator<=>(const FactsVersion&) const = default;
};

// What the sender's flows put on backend servers.
struct LoadNotice {
  std::vector<ServerLoad> servers;

  auto operator<=>(const LoadNotice&) const = default;
};

// Spreads signs of life. Of bounded size.
struct FleetGossip {
  // The receiver answers with its own gossip at once.
  bool reply_wanted = false;
  FactsVersion facts;
  // The lease that the sender knows, for VMs that its tree misses.
  VmId watcher = kNoVm;
  TimePoint lease_expires_at;
  // The sender comes first.
  std::vector<FleetPeer> peers;
  // The sender's failure domain, and what it heard of others.
  std::vector<DomainLoad> loads;

  auto operator<=>(const FleetGossip&) const = default;
};

// Changes of facts on their way through the fleet.
struct FactsNotice {
  // The VM whose tree of relays carries the notice; kNoVm for an answer, which
  // goes no further.
  VmId root = kNoVm;
  FactDelta delta;

  auto operator<=>(const FactsNotice&) const = default;
};

// Asks for the changes after a revision.
struct FactsRequest {
  Revision after = 0;

  auto operator<=>(const FactsRequest&) const = default;
};

// Tells the fleet that the watcher follows the platform for all, or no longer
// does. A lease: it ends unless it is renewed.
struct WatchLease {
  VmId root = kNoVm;
  VmId watcher = kNoVm;
  bool watching = false;
  FactsVersion facts;

  auto operator<=>(const WatchLease&) const = default;
};

// Tells a failure domain that servers failed the sender's checks. Receivers
// check them themselves.
struct SuspicionNotice {
  VmId root = kNoVm;
  std::vector<Mark> marks;

  auto operator<=>(const SuspicionNotice&) const = default;
};

using FleetMessage = std::variant<FleetGossip, FactsNotice, FactsRequest,
                                  WatchLease, SuspicionNotice, LoadNotice>;

// One message for several VMs.
struct FleetEnvelope {
  std::vector<Endpoint> recipients;
  FleetMessage message;

  auto operator<=>(const FleetEnvelope&) const = default;
};

using FleetOutbox = std::vector<FleetEnvelope>;

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_FLEET_MESSAGES_H_
