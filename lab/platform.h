#ifndef KNAPWEEDLIFT_LAB_PLATFORM_H_
#define KNAPWEEDLIFT_LAB_PLATFORM_H_

#include <string>

#include "core/sheet/sheet.h"

namespace knapweedlift::lab {

// Simulates the platform's configuration service and VM list. Serves /v1/sheet
// and /v1/vms with long polling. POST /admin/sheet and /admin/vms replace them;
// POST /admin/mode?mode=normal|down|stale|slow|garbage injects a fault: errors,
// the previous revision, delayed responses or truncated JSON. /admin/calls
// returns the number of requests, without the administrative POSTs. Runs until
// the process receives a stop signal. Returns the exit code: 1 if it cannot
// listen.
int RunPlatform(const Endpoint& listen, const std::string& sheet_path,
                const std::string& vms_path);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_PLATFORM_H_
