#ifndef KNAPWEEDLIFT_LAB_CLIENTS_H_
#define KNAPWEEDLIFT_LAB_CLIENTS_H_

#include <cstdint>
#include <string>

#include "core/sheet/sheet.h"

namespace knapweedlift::lab {

struct ClientOptions {
  // Receives the responses.
  Endpoint listen;
  // Receives the clients' packets.
  Endpoint fabric;
  // The sheet with the services to connect to.
  std::string sheet_path;
  // The result file, written at the end: a JSON array with one object for each
  // service.
  std::string result_path;
  // Flows per service that stay open, and short flows per service that are
  // opened each second.
  uint32_t long_flows = 0;
  uint32_t short_flows_per_second = 0;
  uint32_t duration_s = 0;
  uint64_t seed = 1;

  auto operator<=>(const ClientOptions&) const = default;
};

// Simulates clients: opens TCP-like and UDP flows, sends requests with ids and
// checks that each response is intact and belongs to its request. Runs for the
// given duration or until the process receives a stop signal, then writes the
// result. Returns the exit code: 1 if the sheet is invalid or the socket cannot
// be bound.
int RunClients(const ClientOptions& options);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_CLIENTS_H_
