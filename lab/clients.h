#ifndef KNAPWEEDLIFT_LAB_CLIENTS_H_
#define KNAPWEEDLIFT_LAB_CLIENTS_H_

#include <cstdint>
#include <string>

#include "core/sheet/sheet.h"

namespace knapweedlift::lab {

struct ClientOptions {
  // Where answers arrive.
  Endpoint listen;
  Endpoint fabric;
  // Names the services to call.
  std::string sheet_path;
  std::string result_path;
  // For each service: flows that stay open, and short ones opened a second.
  uint32_t long_flows = 0;
  uint32_t short_flows_per_second = 0;
  uint32_t duration_s = 0;
  uint64_t seed = 1;

  auto operator<=>(const ClientOptions&) const = default;
};

// Stand-in for the callers: opens TCP-like and UDP flows, sends requests with
// ids and checks that each answer is whole and its own. Writes one JSON object
// for each service when the duration has passed.
int RunClients(const ClientOptions& options);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_CLIENTS_H_
