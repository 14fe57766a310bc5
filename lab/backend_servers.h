#ifndef KNAPWEEDLIFT_LAB_BACKEND_SERVERS_H_
#define KNAPWEEDLIFT_LAB_BACKEND_SERVERS_H_

#include <string>

#include "core/sheet/sheet.h"

namespace knapweedlift::lab {

struct BackendServerOptions {
  // The sheet with all backend servers to simulate.
  std::string sheet_path;
  // The platform, which is polled for the servers' states.
  Endpoint platform;
  // Receives the responses to clients.
  Endpoint client_endpoint;
  // The result file, written at the end: a JSON array with one object for each
  // service.
  std::string result_path;

  auto operator<=>(const BackendServerOptions&) const = default;
};

// Simulates all backend servers of a deployment: decapsulates Geneve, drops
// packets with the VNI or address of another service, responds to a packet of
// an unknown connection with RST as TCP does, and counts how often each request
// is executed, by its id. Runs until the process receives a stop signal.
// Returns the exit code: 1 if the sheet is invalid or a socket cannot be bound.
int RunBackendServers(const BackendServerOptions& options);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_BACKEND_SERVERS_H_
