#ifndef KNAPWEEDLIFT_LAB_REPORT_H_
#define KNAPWEEDLIFT_LAB_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/sheet/sheet.h"

namespace knapweedlift::lab {

// Sends a POST request to an administrative target of the simulated platform.
// The body is the file at `path`, or empty if `path` is empty. Returns the exit
// code: 1 if the request failed.
int RunPost(const Endpoint& endpoint, const std::string& target,
            const std::string& path);

// Merges the results of clients and backend servers and prints them as a table,
// followed by the totals as one JSON object in the last line. Returns the exit
// code: 1 if a guarantee was violated (such as a broken flow, a lost response
// or a request executed twice) or no request was answered.
int RunReport(const std::vector<std::string>& paths,
              uint32_t control_bytes_per_vm_s);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_REPORT_H_
