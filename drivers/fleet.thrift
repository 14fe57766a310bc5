// Messages between VMs where packets carry marks, in Thrift's compact protocol.
// Field numbers are never reused. Regenerate with misc/scripts/generate.sh.
namespace cpp knapweedlift.gen

struct FleetEndpointT {
  // 4 bytes for IPv4, 16 bytes for IPv6.
  1: binary address
  2: i32 port
}

struct FleetPeerT {
  1: i64 vm
  2: FleetEndpointT control
  3: string failure_domain
  4: i64 incarnation
  5: i64 heartbeat
  6: i32 phase
}

// Revisions of one era from which single changes lead to later facts.
struct RevisionSpanT {
  1: i64 era
  2: i64 first
  3: i64 last
}

// All revisions are of the same era.
struct FactsVersionT {
  1: i64 as_of
  2: i64 last_change
  3: i64 horizon
  // Hash of the facts at revision as_of; absent if it is unknown.
  4: optional i32 digest
  // Absent if the sender does not know eras.
  5: optional i64 era
  6: optional list<RevisionSpanT> past_spans
}

struct DomainLoadT {
  1: string failure_domain
  2: string service_name
  3: i32 flows
  4: i32 waiting
  5: i32 slots
  6: i64 age_ms
}

struct FleetGossipT {
  1: optional bool reply_wanted
  2: FactsVersionT facts
  3: list<FleetPeerT> peers
  4: list<DomainLoadT> loads
  5: optional i64 watcher
  6: optional i64 lease_left_ms
}

struct ServerLoadT {
  1: i32 mark
  2: i32 flows
  3: i32 waiting
  // Newest known wait for a response, in milliseconds, and its age in tenths of
  // a second, rounded up. Absent unless the wait is unusual.
  4: optional i32 wait_ms
  5: optional i32 wait_age
}

struct LoadNoticeT {
  1: list<ServerLoadT> servers
}

struct ServerFactT {
  1: i64 instance
  2: i32 mark
  3: string service_name
  4: FleetEndpointT endpoint
  5: string failure_domain
  6: i32 slots
  7: optional bool draining
  8: optional i64 cold_left_ms
  9: optional i64 started_at_ms
}

struct ServerChangeT {
  1: string name
  2: i64 revision
  3: optional ServerFactT server
  // Absent if the revision is of the notice's era, as in the other changes.
  4: optional i64 era
  // Time until the change applies; absent if it applies at once.
  5: optional i64 applies_in_ms
}

struct RouteShareT {
  1: string service_name
  2: i64 weight
}

struct RouteChangeT {
  1: FleetEndpointT address
  2: i64 revision
  // Absent if the route was removed.
  3: optional list<RouteShareT> shares
  // Absent fields have their default values.
  4: optional i32 priority
  5: optional bool repeatable
  6: optional i64 target_latency_ms
  7: optional i64 timeout_ms
  8: optional i64 era
}

struct ServiceLimitsT {
  1: string service_name
  2: optional i64 cold_ms
  // Requests per second; absent if there is no limit.
  3: optional double cold_rate
}

struct EvacuationChangeT {
  1: string failure_domain
  2: i64 revision
  // Absent if the evacuation has ended.
  3: optional bool active
  4: optional i64 era
  5: optional i64 applies_in_ms
}

struct LimitsChangeT {
  1: i64 revision
  2: i64 version
  3: i64 idle_timeout_ms
  // Revision of the configuration that the changes of routes start from.
  4: optional i64 base_revision
  5: optional list<ServiceLimitsT> services
  6: optional i64 era
  7: optional i64 base_era
}

struct FactsNoticeT {
  1: i64 root
  2: i64 after
  3: i64 as_of
  4: optional bool whole
  5: list<ServerChangeT> servers
  6: list<RouteChangeT> routes
  7: optional LimitsChangeT limits
  8: optional i64 removals_held_ms
  // Time since the sender's facts were confirmed; absent if unknown.
  9: optional i64 confirmed_ms_ago
  10: optional list<EvacuationChangeT> evacuations
  // Of as_of, and of after if that differs.
  11: optional i64 era
  12: optional i64 after_era
  13: optional list<RevisionSpanT> spans
}

struct FleetVmT {
  1: i64 vm
  2: FleetEndpointT control
  3: string failure_domain
}

struct FactsRequestT {
  1: i64 after
  2: optional bool confirmed_only
  3: optional FleetVmT requester
  4: optional bool may_wait
  5: optional i64 era
}

struct FactsReferralT {
  1: optional FleetEndpointT peer
  2: FleetVmT sender
  3: optional bool may_wait
}

struct WatchLeaseT {
  1: i64 root
  2: bool watching
  3: FactsVersionT facts
  4: i64 watcher
}

struct SuspicionNoticeT {
  1: i64 root
  // Field 2, a single mark, is retired.
  3: list<i32> marks
}

struct AnswerNoticeT {
  1: i64 root
  2: list<i32> marks
  3: i64 answered_ms_ago
}

struct OpeningIdT {
  1: i64 flow
  2: i32 syn_sequence
}

struct OpeningT {
  1: OpeningIdT id
  2: i32 mark
  3: i64 placed_ms_ago
}

struct OpeningNoticeT {
  1: list<OpeningT> openings
}

struct OpeningQueryT {
  1: OpeningIdT id
  2: FleetVmT requester
  3: optional bool forwarded
}

struct OpeningReplyT {
  1: OpeningIdT id
  // Absent if the sender does not keep the opening.
  2: optional OpeningT opening
  3: FleetVmT sender
  4: optional bool forwarded
}

union FleetBodyT {
  1: FleetGossipT gossip
  2: FactsNoticeT facts_notice
  3: FactsRequestT facts_request
  4: WatchLeaseT watch_lease
  5: SuspicionNoticeT suspicion_notice
  6: LoadNoticeT load_notice
  7: FactsReferralT facts_referral
  8: AnswerNoticeT answer_notice
  9: OpeningNoticeT opening_notice
  10: OpeningQueryT opening_query
  11: OpeningReplyT opening_reply
}

struct FleetMessageT {
  // Separates deployments that share a network by mistake.
  1: i64 deployment
  2: i64 sender
  3: FleetBodyT body
}
