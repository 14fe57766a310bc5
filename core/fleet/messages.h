#ifndef KNAPWEEDLIFT_CORE_FLEET_MESSAGES_H_
#define KNAPWEEDLIFT_CORE_FLEET_MESSAGES_H_

#include <compare>
#include <optional>
#include <variant>
#include <vector>

#include "core/flow/opening.h"
#include "core/membership/members.h"
#include "core/placement/load.h"
#include "core/registry/facts.h"

// Messages between VMs when packets carry marks. Forwarding a packet does not
// depend on any of them, except that a copy of a SYN waits for an OpeningReply.
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
  // Of the facts at revision `as_of`.
  FactsDigest digest = kNoDigest;
  // The sender has the single changes after the revisions in these spans of
  // earlier eras, too.
  std::vector<RevisionSpan> past_spans;
  // False if the sender's program does not know eras, so that its revisions
  // state none.
  bool knows_eras = true;

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
  // When the sender's facts were last confirmed to be current; the epoch if
  // that is unknown.
  TimePoint confirmed_at;

  auto operator<=>(const FactsNotice&) const = default;
};

// Requests the changes after a revision; 0 requests a snapshot.
struct FactsRequest {
  Revision after = 0;
  // The address of a VM that the receiver may not know, for requests of first
  // facts.
  std::optional<VmAddress> requester;
  // A snapshot is wanted only if the receiver's facts are confirmed.
  bool confirmed_only = false;
  // The receiver may let the requester wait until it has facts itself.
  bool may_wait = false;
  // False if the requester's program does not know eras.
  bool knows_eras = true;

  auto operator<=>(const FactsRequest&) const = default;
};

// Reply to a request for a snapshot that the sender does not serve at once.
struct FactsReferral {
  // The sender's address; the receiver may not know the sender.
  VmAddress sender;
  // The VM to ask instead. The sender itself if the requester is to wait for
  // the sender's snapshot; nothing if it is to read the platform.
  std::optional<Endpoint> peer;
  // The peer is waiting for facts that the sender will pass on. Only such a VM
  // may let the requester wait: two restarted VMs that were referred to each
  // other would wait forever.
  bool may_wait = false;

  auto operator<=>(const FactsReferral&) const = default;
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

// Reports to a failure domain that servers which another VM suspects have
// answered the sender's callers.
struct AnswerNotice {
  VmId root = kNoVm;
  std::vector<Mark> marks;
  // The earliest of these answers.
  TimePoint answered_at;

  auto operator<=>(const AnswerNotice&) const = default;
};

// Reports flows that are still opening to a VM that keeps them.
struct OpeningNotice {
  std::vector<Opening> openings;

  auto operator<=>(const OpeningNotice&) const = default;
};

// Asks where the first copy of a SYN went.
struct OpeningQuery {
  OpeningId id;
  // Its address, as the receiver may not know a VM that has just started.
  VmAddress requester;
  // A VM that is no keeper of the flow has passed the query on to one that is.
  bool forwarded = false;

  auto operator<=>(const OpeningQuery&) const = default;
};

// Reply to an OpeningQuery.
struct OpeningReply {
  OpeningId id;
  // The sender's address; the receiver may not know the sender.
  VmAddress sender;
  // The query was forwarded, so that others may reply as well.
  bool forwarded = false;
  // Nothing if the sender does not keep the opening.
  std::optional<Opening> opening;

  auto operator<=>(const OpeningReply&) const = default;
};

using FleetMessage =
    std::variant<FleetGossip, FactsNotice, FactsRequest, WatchLease,
                 SuspicionNotice, LoadNotice, FactsReferral, AnswerNotice,
                 OpeningNotice, OpeningQuery, OpeningReply>;

// The address that the sender's message carries, so that unknown VMs become
// known; null if it carries none.
const VmAddress* SenderAddress(const FleetMessage& message);

// A message and the endpoints that it is sent to.
struct FleetEnvelope {
  std::vector<Endpoint> recipients;
  FleetMessage message;

  auto operator<=>(const FleetEnvelope&) const = default;
};

using FleetOutbox = std::vector<FleetEnvelope>;

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_FLEET_MESSAGES_H_
