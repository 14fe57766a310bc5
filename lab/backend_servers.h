#ifndef KNAPWEEDLIFT_LAB_BACKEND_SERVERS_H_
#define KNAPWEEDLIFT_LAB_BACKEND_SERVERS_H_

#include <string>

#include "core/sheet/sheet.h"

namespace knapweedlift::lab {

struct BackendServerOptions {
  // The sheet that names all backend servers to stand in for.
  std::string sheet_path;
  // Where their states are watched.
  Endpoint platform;
  // Where answers to callers go.
  Endpoint client_endpoint;
  // Where the result is written at the end, as one JSON object.
  std::string result_path;

  auto operator<=>(const BackendServerOptions&) const = default;
};

// Stand-in for all backend servers of a deployment: unwraps Geneve, refuses a
// foreign VNI or address, answers a packet of an unknown connection with RST as
// TCP does, runs each request once and counts it by id. Runs until the process
// is stopped.
int RunBackendServers(const BackendServerOptions& options);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_BACKEND_SERVERS_H_
