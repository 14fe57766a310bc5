#include "core/result_code.h"

#include <iterator>

#include "absl/strings/cord.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace knapweedlift {
namespace {

constexpr char kPayloadUrl[] = "knapweedlift/result_code";

using enum ResultCode;

constexpr ResultCodeRow kRows[] = {
    {kForwardedKnownFlow, "forwarded_known_flow",
     "The flow was known here and its backend server got the packet."},
    {kForwardedByTable, "forwarded_by_table",
     "The bucket has one backend server, which got the packet."},
    {kForwardedByHome, "forwarded_by_home",
     "A home placed a new flow of an ambiguous bucket."},
    {kForwardedOldest, "forwarded_oldest",
     "No home knew the flow, so it is older than the bucket's move."},
    {kForwardedQuotedFlow, "forwarded_quoted_flow",
     "An ICMP error was sent to the server of the flow that it quotes."},
    {kForwardedByMark, "forwarded_by_mark",
     "The packet's mark identifies its backend server, which got it."},
    {kForwardedPlaced, "forwarded_placed",
     "A new flow was placed on a backend server."},
    {kForwardedKnownOpening, "forwarded_known_opening",
     "A retransmitted SYN followed the original one."},
    {kForwardedMoved, "forwarded_moved",
     "An opening flow was moved from a server that does not respond."},
    {kForwardedWithoutRoute, "forwarded_without_route",
     "The packet's mark identifies its backend server, which got it, though "
     "this VM knows no route for the flow yet."},
    {kHandedToHome, "handed_to_home",
     "The bucket is ambiguous; the packet was relayed to a home of its flow."},
    {kHandedUnconfirmed, "handed_unconfirmed",
     "This VM's facts are not confirmed; the packet was relayed to another "
     "VM."},
    {kForwardedToRestarted, "forwarded_to_restarted",
     "The packet's mark is that of a previous incarnation of a backend server; "
     "the restarted server got it, since it may hold the flow."},
    {kDropUnknownService, "drop_unknown_service",
     "No service of the sheet has this address, port and protocol."},
    {kDropServerGone, "drop_server_gone",
     "The flow's backend server was removed from the sheet."},
    {kDropViewStale, "drop_view_stale",
     "This VM's facts are stale and no other VM is known."},
    {kDropHomeUnclear, "drop_home_unclear",
     "The VMs disagree on the flow's homes; a retransmit will be placed."},
    {kDropFlowTableFull, "drop_flow_table_full",
     "A new flow of an ambiguous bucket could not be recorded."},
    {kDropNoServer, "drop_no_server",
     "The service has no backend server that accepts new flows."},
    {kDropIsolated, "drop_isolated",
     "This VM is isolated and does not know the flow; a later retransmit is "
     "accepted."},
    {kDropUnknownMark, "drop_unknown_mark",
     "No backend server that this VM knows has the packet's mark."},
    {kDropNoMark, "drop_no_mark",
     "The packet opens no flow and carries no mark."},
    {kDropColdServer, "drop_cold_server",
     "The cold server of a retransmitted SYN may get no further one now."},
    {kResetNoRoute, "reset_no_route",
     "No route has this address and port; the flow was reset."},
    {kResetNoServer, "reset_no_server",
     "No backend server can accept the new flow; it was reset."},
    {kResetServerGone, "reset_server_gone",
     "The flow's backend server has ended or is down; the flow was reset."},
    {kResetNoRoom, "reset_no_room",
     "The service has too little capacity; admission reset the new flow."},
    {kResetServerRestarted, "reset_server_restarted",
     "The flow's backend server has restarted at another address or for "
     "another service; the flow was reset."},
    {kBadGeneveShort, "bad_geneve_short",
     "The datagram is shorter than its Geneve header."},
    {kBadGeneveVersion, "bad_geneve_version", "The Geneve version is not 0."},
    {kBadGeneveOption, "bad_geneve_option",
     "A Geneve option is critical and unknown, or malformed."},
    {kBadGeneveProtocol, "bad_geneve_protocol",
     "The Geneve payload is neither IPv4 nor IPv6."},
    {kBadIpShort, "bad_ip_short", "The inner packet is shorter than IP."},
    {kBadIpVersion, "bad_ip_version",
     "The IP version does not match the Geneve protocol type."},
    {kBadIpLength, "bad_ip_length",
     "The inner IP length does not match the datagram."},
    {kBadFragment, "bad_fragment",
     "An IP fragment without ports cannot be matched to a flow."},
    {kBadTransportShort, "bad_transport_short",
     "The transport header is truncated."},
    {kBadTransportProtocol, "bad_transport_protocol",
     "The inner packet is neither TCP, UDP nor an ICMP error."},
    {kBadTcpFlags, "bad_tcp_flags",
     "The TCP flags contradict each other (SYN with FIN or RST)."},
    {kBadIcmpType, "bad_icmp_type",
     "The ICMP message is not an error that quotes a flow."},
    {kBadMarkedPacket, "bad_marked_packet",
     "The datagram is malformed or cannot carry a mark."},
    {kSheetTooLarge, "sheet_too_large", "The sheet is larger than 1 MB."},
    {kSheetNotJson, "sheet_not_json", "The sheet is not valid JSON."},
    {kSheetField, "sheet_field",
     "A field is missing, of the wrong type or out of range."},
    {kSheetUnknownField, "sheet_unknown_field",
     "The sheet holds a field that the format does not define."},
    {kSheetRevisionNotNewer, "sheet_revision_not_newer",
     "The revision is not newer than the sheet in force."},
    {kSheetDuplicateService, "sheet_duplicate_service",
     "Two services have the same number."},
    {kSheetDuplicateVni, "sheet_duplicate_vni",
     "Two services have the same VNI."},
    {kSheetAddressOverlap, "sheet_address_overlap",
     "Two services have the same address, port and protocol."},
    {kSheetDuplicateServer, "sheet_duplicate_server",
     "Two backend servers of a service have the same number or address."},
    {kSheetUnknownDomain, "sheet_unknown_domain",
     "A backend server's failure domain is not in the sheet."},
    {kSheetZeroSlots, "sheet_zero_slots", "A backend server has no slots."},
    {kSheetBucketCount, "sheet_bucket_count",
     "The bucket count is not a power of two, or it changed."},
    {kSheetVniReused, "sheet_vni_reused",
     "A VNI was moved from one service to another."},
    {kSheetLimit, "sheet_limit",
     "The sheet holds more services or backend servers than supported."},
    {kSettingsInvalid, "settings_invalid",
     "The settings file has errors; each is listed with its key."},
    {kPlatformUnreachable, "platform_unreachable",
     "The platform's service did not respond in time."},
    {kPlatformAnswer, "platform_answer",
     "The platform's response is truncated, malformed or has an error status."},
    {kPlatformRefused, "platform_refused",
     "The platform's service rejected the call."},
    {kPlatformHistoryGone, "platform_history_gone",
     "The platform no longer has the requested changes; all facts are read."},
    {kPlatformEntry, "platform_entry",
     "An entry in the platform's store is malformed; it was ignored."},
    {kPlatformNewEra, "platform_new_era",
     "The platform's store has returned from an older copy; all facts are "
     "read."},
    {kPlatformEarlierEra, "platform_earlier_era",
     "The platform's response is of an earlier era of its store; it was "
     "ignored."},
    {kPeerMessage, "peer_message", "A peer's message could not be decoded."},
    {kPeerBudget, "peer_budget",
     "A peer message was discarded because the byte budget was spent."},
    {kSocket, "socket", "A socket could not be opened or bound."},
};

}  // namespace

const std::vector<ResultCodeRow>& ResultCodeTable() {
  static const std::vector<ResultCodeRow> table(std::begin(kRows),
                                                std::end(kRows));
  return table;
}

absl::string_view ResultCodeName(ResultCode code) {
  for (const ResultCodeRow& row : ResultCodeTable()) {
    if (row.code == code) return row.name;
  }
  return "unknown";
}

absl::Status MakeStatus(ResultCode code, absl::string_view message) {
  const auto number = static_cast<uint16_t>(code);
  absl::Status status(
      absl::StatusCode::kInvalidArgument,
      absl::StrCat(number, " ", ResultCodeName(code), ": ", message));
  status.SetPayload(kPayloadUrl, absl::Cord(absl::StrCat(number)));
  return status;
}

uint16_t CodeOfStatus(const absl::Status& status) {
  const auto payload = status.GetPayload(kPayloadUrl);
  if (!payload.has_value()) return 0;
  int number = 0;
  if (!absl::SimpleAtoi(std::string(*payload), &number)) return 0;
  return static_cast<uint16_t>(number);
}

}  // namespace knapweedlift
