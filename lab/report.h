#ifndef KNAPWEEDLIFT_LAB_REPORT_H_
#define KNAPWEEDLIFT_LAB_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/sheet/sheet.h"

namespace knapweedlift::lab {

// Sends a file, or an empty body, to an administrative target of a stand-in.
int RunPost(const Endpoint& endpoint, const std::string& target,
            const std::string& path);

// Merges the results of callers and backend servers into a table; the last line
// is one JSON object. Returns 1 where a promise was broken.
int RunReport(const std::vector<std::string>& paths,
              uint32_t control_bytes_per_vm_s);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_REPORT_H_
