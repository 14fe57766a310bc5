#ifndef KNAPWEEDLIFT_CORE_RESULT_CODE_H_
#define KNAPWEEDLIFT_CORE_RESULT_CODE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"

namespace knapweedlift {

// Numeric outcome of a forwarding decision, a validation or an operation. The
// numbers are stable: the number of a removed code is never reused.
// docs/RESULT_CODES.md lists all codes.
enum class ResultCode : uint16_t {
  // Packets forwarded to a backend server or to another VM.
  kForwardedKnownFlow = 100,
  kForwardedByTable = 101,
  kForwardedByHome = 102,
  kForwardedOldest = 103,
  kForwardedQuotedFlow = 104,
  kForwardedByMark = 105,
  kForwardedPlaced = 106,
  kForwardedKnownOpening = 107,
  kForwardedMoved = 108,
  kForwardedWithoutRoute = 109,
  kHandedToHome = 110,
  kHandedUnconfirmed = 111,
  kForwardedToRestarted = 112,
  // Valid packets that are dropped or answered with a reset.
  kDropUnknownService = 200,
  kDropServerGone = 201,
  kDropViewStale = 202,
  kDropHomeUnclear = 203,
  kDropFlowTableFull = 204,
  kDropNoServer = 205,
  kDropIsolated = 206,
  kDropUnknownMark = 207,
  kDropNoMark = 208,
  kDropColdServer = 209,
  kResetNoRoute = 220,
  kResetNoServer = 221,
  kResetServerGone = 222,
  kResetNoRoom = 223,
  kResetServerRestarted = 224,
  // Malformed packets that are dropped.
  kBadGeneveShort = 300,
  kBadGeneveVersion = 301,
  kBadGeneveOption = 302,
  kBadGeneveProtocol = 303,
  kBadIpShort = 310,
  kBadIpVersion = 311,
  kBadIpLength = 312,
  kBadFragment = 313,
  kBadTransportShort = 320,
  kBadTransportProtocol = 321,
  kBadTcpFlags = 322,
  kBadIcmpType = 330,
  kBadMarkedPacket = 340,
  // Rejected sheets.
  kSheetTooLarge = 400,
  kSheetNotJson = 401,
  kSheetField = 402,
  kSheetUnknownField = 403,
  kSheetRevisionNotNewer = 404,
  kSheetDuplicateService = 405,
  kSheetDuplicateVni = 406,
  kSheetAddressOverlap = 407,
  kSheetDuplicateServer = 408,
  kSheetUnknownDomain = 409,
  kSheetZeroSlots = 410,
  kSheetBucketCount = 411,
  kSheetVniReused = 412,
  kSheetLimit = 413,
  // Errors of settings, the platform, peers and sockets.
  kSettingsInvalid = 500,
  kPlatformUnreachable = 510,
  kPlatformAnswer = 511,
  kPlatformRefused = 512,
  kPlatformHistoryGone = 513,
  kPlatformEntry = 514,
  kPlatformNewEra = 515,
  kPlatformEarlierEra = 516,
  kPeerMessage = 520,
  kPeerBudget = 521,
  kSocket = 530,
};

// Name and description of one result code.
struct ResultCodeRow {
  ResultCode code;
  absl::string_view name;
  absl::string_view meaning;
  bool operator==(const ResultCodeRow&) const = default;
};

// All result codes in ascending order.
const std::vector<ResultCodeRow>& ResultCodeTable();

// Returns the name of `code` in snake_case, or "unknown".
absl::string_view ResultCodeName(ResultCode code);

// Returns an error status that carries `code`. Its message has the form
// "NUMBER NAME: MESSAGE".
absl::Status MakeStatus(ResultCode code, absl::string_view message);

// Returns the result code that `status` carries, or 0 if it carries none.
uint16_t CodeOfStatus(const absl::Status& status);

inline bool HasCode(const absl::Status& status, ResultCode code) {
  return CodeOfStatus(status) == static_cast<uint16_t>(code);
}

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_RESULT_CODE_H_
