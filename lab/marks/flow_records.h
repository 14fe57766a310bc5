#ifndef KNAPWEEDLIFT_LAB_MARKS_FLOW_RECORDS_H_
#define KNAPWEEDLIFT_LAB_MARKS_FLOW_RECORDS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/sheet/sheet.h"
#include "core/time.h"

// What callers and backend servers record about flows, for checks of a history.
namespace knapweedlift::lab {

// The addresses of a flow.
struct FlowAddresses {
  Endpoint client;
  // The virtual address of the service.
  Endpoint service;

  auto operator<=>(const FlowAddresses&) const = default;
};

// How an open flow ended for its caller.
enum class FlowEnd : uint8_t {
  kOpen,
  // The caller or the server closed it.
  kClosed,
  kResetByVm,
  kResetByServer,
  // A response or an acknowledgement did not arrive in time.
  kTimedOut,
};

// An open flow, as its caller sees it.
struct ClientFlowRecord {
  FlowAddresses addresses;
  // The first sequence number of the server.
  uint32_t server_sequence = 0;
  TimePoint opened_at;
  FlowEnd end = FlowEnd::kOpen;
  // Of a flow that is still open: when the record was made.
  TimePoint ended_at;
  // When the request was sent whose response was outstanding at the end; max()
  // if there was none.
  TimePoint waiting_since = TimePoint::max();

  auto operator<=>(const ClientFlowRecord&) const = default;
};

// A flow that a server accepted.
struct ServedFlowRecord {
  FlowAddresses addresses;
  uint32_t server_sequence = 0;
  std::string server;
  // Times at which the server dropped a packet of the flow, or had one to send,
  // while it was cut off. Times within kCutContactInterval are left out.
  std::vector<TimePoint> cut_contacts;

  auto operator<=>(const ServedFlowRecord&) const = default;
};

inline constexpr Duration kCutContactInterval{50};

// A packet of a flow that its receiver never held, or that the caller opened at
// another server.
struct ForeignPacketRecord {
  FlowAddresses addresses;
  // The receiver.
  std::string server;
  TimePoint at;

  auto operator<=>(const ForeignPacketRecord&) const = default;
};

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_MARKS_FLOW_RECORDS_H_
