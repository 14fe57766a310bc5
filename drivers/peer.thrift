// Messages between VMs where packets are forwarded by bucket tables, in
// Thrift's compact protocol. Field numbers are never reused. Regenerate with
// misc/scripts/generate.sh.
namespace cpp knapweedlift.gen

struct EndpointT {
  1: binary address
  2: i32 port
}

struct VmAddressT {
  1: i64 id
  2: EndpointT control
  3: EndpointT data
  4: string domain
}

struct HeartbeatT {
  1: i64 vm
  2: i64 incarnation
  3: i64 count
  4: i32 phase
}

struct OrderT {
  1: i64 revision
  2: i64 sequence
  3: i64 maker
}

struct VersionT {
  1: i64 service_number
  2: OrderT order
}

struct GossipT {
  1: VmAddressT sender
  2: i64 sheet_revision
  3: list<HeartbeatT> heartbeats
  4: list<VersionT> tables
  5: bool reply_wanted
  6: i64 echo
}

struct SheetRequestT {
}

struct SheetReplyT {
  1: list<binary> chunks
}

struct TableRequestT {
  1: i64 service_number
}

struct TableReplyT {
  1: VersionT version
  2: i64 sheet_revision
  3: binary delta
}

struct VmLifeT {
  1: i64 vm
  2: i64 incarnation
}

struct StepT {
  1: i64 service_number
  2: OrderT base
  3: OrderT order
  4: i32 kind
  5: bool forced
  6: i64 first
  7: i64 last
  8: binary vetoes
  9: list<VmLifeT> asked
}

struct AnswerT {
  1: VersionT version
  2: binary occupied
  3: i64 incarnation
}

struct OwnerT {
  1: i64 fingerprint
  2: i32 server
  // Absent if false, which saves two bytes per flow.
  3: optional bool opening
}

struct OwnerNoticeT {
  1: i64 service_number
  2: list<OwnerT> owners
}

struct OccupancyT {
  1: i64 service_number
  2: bool restart
  3: binary occupied
  4: i64 origin
  5: i64 incarnation
  6: i64 lifetime_s
}

union BodyT {
  1: GossipT gossip
  2: SheetRequestT sheet_request
  3: SheetReplyT sheet_reply
  4: TableRequestT table_request
  5: TableReplyT table_reply
  6: StepT step
  7: AnswerT answer
  8: OwnerNoticeT owner_notice
  9: OccupancyT occupancy
}

struct PeerMessageT {
  // Separates deployments that share a network by mistake.
  1: i64 deployment
  2: i64 sender
  3: BodyT body
}
