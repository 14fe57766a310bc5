#ifndef KNAPWEEDLIFT_CORE_FLEET_MESSAGES_H_
#define KNAPWEEDLIFT_CORE_FLEET_MESSAGES_H_

#include <compare>
#include <variant>
#include <vector>

#include "core/membership/members.h"
#include "core/placement/load.h"
#include "core/registry/facts.h"

// Messages between VMs when packets carry marks. Forwarding a packet does not
// depend on any of them.
namespace knapweedlift {

// A VM as the sender of gossip knows it.
struct FleetPeer {
  VmAddress address;
  Heartbeat heartbeat;

  auto operator<=>(const FleetPeer&) const = default;
};

// Version of the sender's facts.
struct FactsVersion {
  // The sender has all changes up to this revision.
  Revision as_of = 0;
  // The last revision that changed a fact.
  Revision last_change = 0;
  // Compaction limit: the sender has the single changes after this revision.
  // Earlier ones can only be sent as part of a snapshot.
  Revision horizon = 0;

  auto operator<=>(const FactsVersion&) const = default;
};

// Load that the sender's flows put on backend servers.
struct LoadNotice {
  std::vector<ServerLoad> servers;

  auto operator<=>(const LoadNotice&) const = default;
};

// Spreads heartbeats, versions and loads. Bounded in size.
struct FleetGossip {
  // The receiver replies with its own gossip immediately.
  bool reply_wanted = false;
  FactsVersion facts;
  // The watch lease as the sender knows it, for VMs that the relay tree missed.
  VmId watcher = kNoVm;
  TimePoint lease_expires_at;
  // The first entry is the sender.
  std::vector<FleetPeer> peers;
  // Loads of the sender's failure domain and those that it knows of others.
  std::vector<DomainLoad> loads;

  auto operator<=>(const FleetGossip&) const = default;
};

// Changes of facts that are distributed through the fleet.
struct FactsNotice {
  // Root of the relay tree that carries the notice; kNoVm for a reply to a
  // request, which is not relayed.
  VmId root = kNoVm;
  FactDelta delta;

  auto operator<=>(const FactsNotice&) const = default;
};

// Requests the changes after a revision.
struct FactsRequest {
  Revision after = 0;

  auto operator<=>(const FactsRequest&) const = default;
};

// Announces that the watcher watches the platform for the fleet, or has stopped
// doing so. The lease expires unless it is renewed.
struct WatchLease {
  VmId root = kNoVm;
  VmId watcher = kNoVm;
  bool watching = false;
  FactsVersion facts;

  auto operator<=>(const WatchLease&) const = default;
};

// Reports to a failure domain that servers failed the sender's health checks.
// Receivers run their own checks before they act on it.
struct SuspicionNotice {
  VmId root = kNoVm;
  std::vector<Mark> marks;

  auto operator<=>(const SuspicionNotice&) const = default;
};

using FleetMessage = std::variant<FleetGossip, FactsNotice, FactsRequest,
                                  WatchLease, SuspicionNotice, LoadNotice>;

// A message and the endpoints that it is sent to.
struct FleetEnvelope {
  std::vector<Endpoint> recipients;
  FleetMessage message;

  auto operator<=>(const FleetEnvelope&) const = default;
};

using FleetOutbox = std::vector<FleetEnvelope>;

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_FLEET_MESSAGES_H_
