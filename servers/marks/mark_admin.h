#ifndef KNAPWEEDLIFT_SERVERS_MARKS_MARK_ADMIN_H_
#define KNAPWEEDLIFT_SERVERS_MARKS_MARK_ADMIN_H_

#include <map>
#include <string>

#include "core/placement/load_estimate.h"
#include "drivers/http.h"
#include "servers/marks/health_monitor.h"
#include "servers/marks/platform_watcher.h"

namespace knapweedlift {

// What the operators' endpoint of a daemon for packets with marks reads.
struct MarkAdminContext {
  const std::string& name;
  uint64_t hash_key;
  const Registry& registry;
  const FleetMessenger& messenger;
  const PlatformWatcher& watcher;
  const HealthMonitor& health;
  const MarkForwarder& forwarder;
  const ViewMemory& memory;
  const std::map<std::string, uint64_t>& suppressed_lines;
  // From when a change is known here until the packet path has it.
  const LogHistogram& publish_delay_ms;
  const uint64_t& views_published;
  SharedMarkView& view;
  MarkedFlowTable& flows;
};

// Answers /metrics, /v1/status and /v1/explain. Used by the control thread.
HttpAnswer HandleMarkAdminRequest(const MarkAdminContext& context,
                                  const HttpRequest& request);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_SERVERS_MARKS_MARK_ADMIN_H_
